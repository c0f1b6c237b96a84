package upstreamconn

import (
	"cmp"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// IdlePool keeps the idle connections to all servers, and counts the open ones. C is the host's type of a connection.
type IdlePool[C any] struct {
	Max int // limit of open connections to all servers together

	idle map[string][]IdleConn[C] // by server, the most recently used one last
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

// Open returns the number of connections that are idle, in use or being opened.
func (ip *IdlePool[C]) Open() int { return ip.open }

// Idle returns the number of idle connections to a server.
func (ip *IdlePool[C]) Idle(server string) int { return len(ip.idle[server]) }

// Take removes and returns the most recently used idle connection to a server, if there is one.
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
		delete(ip.idle, server) // otherwise every server that was ever used would keep an entry
		return
	}
	ip.idle[server] = conns
}

// Reserve counts a new connection as open; the host then opens it. At the limit, the pool removes the connection that
// has been idle for longest. evict reports that the host must close evicted and then call Closed; until then, the
// limit is exceeded by one. ok is false if all open connections are in use.
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

// longestIdle returns the server whose connection has been idle for longest. Among equals, it returns the first server
// in the order of names; "": no connection is idle.
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

// Closed records that an open connection was closed, or that a reserved one could not be opened.
func (ip *IdlePool[C]) Closed() {
	if !mutants.On("upstreamconn/gone-uncounted") {
		ip.open--
	}
}

// TakeExpired removes and returns the connections that have been idle since before the given time, and all idle
// connections to servers that are not serving. The host closes them and calls Closed for each.
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

// Peek returns the connection that Take would return, but leaves it in the pool.
func (ip *IdlePool[C]) Peek(server string) (c C, ok bool) {
	conns := ip.idle[server]
	if len(conns) == 0 {
		return c, false
	}
	return conns[len(conns)-1].Conn, true
}
