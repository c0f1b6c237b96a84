package control

import (
	"net"
	"sync"
	"time"
)

// partitionableLinks are links that can be severed in each direction independently and without an error. Data and
// closes that are sent over a severed link are delivered once the link is restored, as over TCP.
type partitionableLinks struct {
	mu      sync.Mutex         // guards severed and ends
	severed map[[2]string]bool // severed directions, by sender and receiver
	ends    []*linkEnd
	pauses  *processPauses // pauses of the processes at both ends; nil if there are none
}

// linkEnd is one end of a connection.
type linkEnd struct {
	net.Conn
	links     *partitionableLinks
	direction [2]string  // from this end to the other
	writeMu   sync.Mutex // guards buffered, and orders the writes
	buffered  []byte     // data written while the direction is severed
	closed    bool       // guarded by links.mu
}

// severedBetween reports whether two nodes cannot connect because at least one direction between them is severed.
func (l *partitionableLinks) severedBetween(a, b string) bool {
	return l != nil && (l.isSevered([2]string{a, b}) || l.isSevered([2]string{b, a}))
}

// wrap wraps both ends of a connection.
func (l *partitionableLinks) wrap(from, to string, here, there net.Conn) (net.Conn, net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pauses != nil {
		here, there = l.pauses.buffer(from, here), l.pauses.buffer(to, there)
	}
	a := &linkEnd{Conn: here, links: l, direction: [2]string{from, to}}
	b := &linkEnd{Conn: there, links: l, direction: [2]string{to, from}}
	l.ends = append(l.ends, a, b)
	return a, b
}

// setSevered severs the directions between nodes for which severed returns true, and restores all others.
func (l *partitionableLinks) setSevered(severed func(from, to string) bool, nodes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.severed = map[[2]string]bool{}
	for _, a := range nodes {
		for _, b := range nodes {
			if a != b && severed(a, b) {
				l.severed[[2]string{a, b}] = true
			}
		}
	}
	for _, e := range l.ends {
		if !l.severed[e.direction] {
			go e.flush()
		}
	}
}

// reset closes the ends of connections whose direction is severed.
func (l *partitionableLinks) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		if l.severed[e.direction] {
			_ = e.Conn.Close()
		}
	}
}

func (l *partitionableLinks) isSevered(way [2]string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.severed[way]
}

func (e *linkEnd) Write(b []byte) (int, error) {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	if e.isClosed() {
		return 0, net.ErrClosed
	}
	if e.links.isSevered(e.direction) {
		e.buffered = append(e.buffered, b...)
		return len(b), nil
	}
	if err := e.deliver(); err != nil {
		return 0, err
	}
	return e.Conn.Write(b)
}

// deliver sends the buffered data. The caller holds e.writeMu.
func (e *linkEnd) deliver() error {
	b := e.buffered
	if e.buffered = nil; len(b) == 0 {
		return nil
	}
	_ = e.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := e.Conn.Write(b)
	return err
}

func (e *linkEnd) flush() {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	if e.deliver() != nil || e.isClosed() {
		_ = e.Conn.Close()
	}
}

func (e *linkEnd) isClosed() bool {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	return e.closed
}

func (e *linkEnd) Read(b []byte) (int, error) {
	if e.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := e.Conn.Read(b)
	e.links.pauses.await(e.direction[0])
	if e.isClosed() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (e *linkEnd) SetReadDeadline(t time.Time) error {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	if e.closed {
		return net.ErrClosed
	}
	return e.Conn.SetReadDeadline(t)
}

// Close closes this end; the other end learns of it once the direction to it is restored.
func (e *linkEnd) Close() error {
	e.links.mu.Lock()
	e.closed = true
	_ = e.Conn.SetReadDeadline(time.Now())
	severed := e.links.severed[e.direction]
	e.links.mu.Unlock()
	if severed {
		return nil
	}
	return e.Conn.Close()
}
