package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Gate applies the limit to real connections: it tracks each one's slot and closes the connections that are evicted.
type Gate struct {
	mu    sync.Mutex // guards slots and the fields of each tracked connection's slot
	slots *slots
}

// NewGate makes a gate for a process that may open maxFDs file descriptors. If maxFDs is 0 (unknown), it
// assumes defaultFDs.
func NewGate(maxFDs int) *Gate { return &Gate{slots: newSlots(maxFDs)} }

// Stats counts the connections of a gate.
type Stats struct {
	InFlight int // HTTP connections with a call in flight
	Idle     int // HTTP connections without one
	Internal int // connections of agents and control nodes
	Limit    int // limit on all connections together
}

// Total is the number of open connections.
func (s Stats) Total() int { return s.InFlight + s.Idle + s.Internal }

// Stats returns the current counts.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{
		InFlight: g.slots.inFlight,
		Idle:     g.slots.idle.Len(),
		Internal: g.slots.internal,
		Limit:    g.slots.limit,
	}
}

// Listen wraps the listener for HTTP connections. The http.Server that serves it must use ConnState and ConnContext of
// this gate.
func (g *Gate) Listen(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// trackedConn is an HTTP connection.
type trackedConn struct {
	net.Conn
	gate *Gate
	slot slot
}

// Accept accepts every connection. If the limit is reached, it evicts the connection that has been idle longest.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc, gate: l.gate}
	c.slot.close = c.Conn.Close
	l.gate.mu.Lock()
	evicted := l.gate.slots.add(&c.slot)
	l.gate.mu.Unlock()
	evicted.closeConn()
	return c, nil
}

// closeConn closes the connection of a slot that was evicted. If a call is arriving on it at this moment, its
// client retries on another node. A nil slot is ignored.
func (s *slot) closeConn() {
	if s != nil {
		_ = s.close()
	}
}

func (t *trackedConn) Close() error {
	t.gate.mu.Lock()
	t.gate.slots.remove(&t.slot)
	t.gate.mu.Unlock()
	return t.Conn.Close()
}

// CloseWrite half-closes the connection. The HTTP server calls it before it closes a connection on which more data may
// arrive.
func (t *trackedConn) CloseWrite() error {
	if nc, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return nc.CloseWrite()
	}
	return nil
}

// ConnState is the http.Server's callback of the same name. A connection becomes idle once the response is written.
func (g *Gate) ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*trackedConn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive:
		g.slots.touch(&c.slot)
	case http.StateIdle:
		g.slots.finishCall(&c.slot)
	}
}

type connKey struct{}

// ConnContext is the http.Server's callback of the same name. It lets BeginCall find the connection of a request.
func (g *Gate) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// BeginCall decides on a call whose header has been read. Requests that did not come over a tracked connection are
// admitted.
func (g *Gate) BeginCall(r *http.Request, byOperator bool) Admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
		return g.slots.beginCall(&c.slot, byOperator)
	}
	return Admitted
}

// FinishCall marks the call's connection as idle before its response is written. Without FinishCall, ConnState does so
// afterwards.
func (g *Gate) FinishCall(r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
		g.slots.finishCall(&c.slot)
	}
}

// AcquireInternal takes a slot for an internal connection, and reports false if none is free. A caller that got one
// must call ReleaseInternal once the connection is closed.
func (g *Gate) AcquireInternal() bool {
	g.mu.Lock()
	evicted, ok := g.slots.addInternal()
	g.mu.Unlock()
	evicted.closeConn()
	return ok
}

// ReleaseInternal frees the slot of an internal connection.
func (g *Gate) ReleaseInternal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots.removeInternal()
}
