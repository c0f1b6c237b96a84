package upstreamconn

import (
	"cmp"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// IdlePool keeps the idle connections to all servers, and counts the open ones. C is what the host has for a
// connection.
type IdlePool[C any] struct {
	Max int // connections open at once, to all servers

	idle map[string][]IdleConn[C] // by server, the one used last at the end
	open int
}

// IdleConn is an idle connection.
type IdleConn[C any] struct {
	Conn      C
	IdleSince decision.Seconds
}

// NewIdlePool returns an empty pool with a limit of open connections.
func NewIdlePool[C any](maxOpen int) *IdlePool[C] {
	return &IdlePool[C]{Max: maxOpen, idle: map[string][]IdleConn[C]{}}
}

// Open returns how many connections are open, idle or in use, or being opened.
func (ip *IdlePool[C]) Open() int { return ip.open }

// Idle returns how many connections to a server are idle.
func (ip *IdlePool[C]) Idle(server string) int { return len(ip.idle[server]) }

// Take takes the connection to a server that was used last, if one is idle.
func (ip *IdlePool[C]) Take(server string) (c IdleConn[C], ok bool) {
	conns := ip.idle[server]
	if len(conns) == 0 {
		return c, false
	}
	last := len(conns) - 1
	if !mutants.On("upstreamconn/taken-stays") {
		ip.set(server, conns[:last])
	}
	return conns[last], true
}

// set replaces the idle connections to a server.
func (ip *IdlePool[C]) set(server string, conns []IdleConn[C]) {
	if len(conns) == 0 {
		delete(ip.idle, server) // else each server that ever was would keep an entry
		return
	}
	ip.idle[server] = conns
}

// Reserve counts a new connection as open, which the host is to open now. At the limit, the connection that has been
// idle for longest makes room: evict says that evicted is to be closed. Not ok: all open connections are in use.
func (ip *IdlePool[C]) Reserve() (evicted C, evict, ok bool) {
	if ip.open >= ip.Max {
		server := ip.longestIdle()
		if server == "" {
			return evicted, false, false
		}
		evicted, evict = ip.idle[server][0].Conn, true
		ip.set(server, ip.idle[server][1:])
	}
	ip.open++
	return evicted, evict, true
}

// longestIdle returns the server to which a connection has been idle for longest, and of several the first in the order
// of their names; "": none is idle.
func (ip *IdlePool[C]) longestIdle() (longest string) {
	var longestSince decision.Seconds
	for server, conns := range ip.idle {
		since := conns[0].IdleSince
		order := cmp.Or(cmp.Compare(since, longestSince), cmp.Compare(server, longest))
		if longest == "" || order < 0 {
			longest, longestSince = server, since
		}
	}
	return longest
}

// Put returns a connection to the pool.
func (ip *IdlePool[C]) Put(server string, c C, now decision.Seconds) {
	if mutants.On("upstreamconn/put-twice") {
		ip.idle[server] = append(ip.idle[server], IdleConn[C]{c, now})
	}
	ip.idle[server] = append(ip.idle[server], IdleConn[C]{c, now})
}

// Closed records that an open connection was closed, or that one that was reserved could not be opened.
func (ip *IdlePool[C]) Closed() {
	if !mutants.On("upstreamconn/gone-uncounted") {
		ip.open--
	}
}

// TakeExpired takes out the connections that have been idle since before a time, and all those to servers that are not
// serving.
func (ip *IdlePool[C]) TakeExpired(before decision.Seconds, serving func(server string) bool) (expired []C) {
	for server, conns := range ip.idle {
		n := 0
		if !serving(server) {
			n = len(conns)
		}
		for n < len(conns) && conns[n].IdleSince < before {
			n++
		}
		for _, c := range conns[:n] {
			expired = append(expired, c.Conn)
		}
		ip.set(server, conns[n:])
	}
	return expired
}

// Peek returns the connection that Take would take, and leaves it in the pool.
func (ip *IdlePool[C]) Peek(server string) (c C, ok bool) {
	conns := ip.idle[server]
	if len(conns) == 0 {
		return c, false
	}
	return conns[len(conns)-1].Conn, true
}
