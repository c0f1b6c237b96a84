package upstreamconn

import "mulleinrouter/internal/decision"

// IdlePool keeps the idle connections to all servers, and counts those that are up. C is whatever the host has for a
// connection. It is not safe for use by several goroutines at once.
type IdlePool[C any] struct {
	Max int // up at once, to all servers

	idle map[string][]IdleConn[C] // by server, the one used last at the end
	open int
}

// IdleConn is an idle connection.
type IdleConn[C any] struct {
	Conn      C
	IdleSince decision.Seconds // idle since then
}

// NewIdlePool returns an empty shelf.
func NewIdlePool[C any](most int) *IdlePool[C] {
	return &IdlePool[C]{Max: most, idle: map[string][]IdleConn[C]{}}
}

// Open is how many connections are up, idle or not, or about to be.
func (p *IdlePool[C]) Open() int { return p.open }

// Idle is how many connections to a server are idle.
func (p *IdlePool[C]) Idle(server string) int { return len(p.idle[server]) }

// Take takes the connection to a server that was used last, if one is idle.
func (p *IdlePool[C]) Take(server string) (c IdleConn[C], ok bool) {
	list := p.idle[server]
	if len(list) == 0 {
		return c, false
	}
	c = list[len(list)-1]
	if mutated("taken-stays") {
		return c, true
	}
	p.set(server, list[:len(list)-1])
	return c, true
}

func (p *IdlePool[C]) set(server string, list []IdleConn[C]) {
	if len(list) == 0 {
		delete(p.idle, server) // guards against an entry for each server that ever was
		return
	}
	p.idle[server] = list
}

// Reserve makes a place for a new connection, which counts as up from then on. Spare is one to end for it, if there is
// one; not ok: all places are taken by connections in use.
func (p *IdlePool[C]) Reserve() (spare C, end, ok bool) {
	if p.open >= p.Max {
		from := ""
		for server, list := range p.idle {
			if from == "" || list[0].IdleSince < p.idle[from][0].IdleSince {
				from = server
			}
		}
		if from == "" {
			return spare, false, false
		}
		spare, end = p.idle[from][0].Conn, true
		p.set(from, p.idle[from][1:])
	}
	p.open++
	return spare, end, true
}

// Put puts a connection back.
func (p *IdlePool[C]) Put(server string, c C, now decision.Seconds) {
	if mutated("put-twice") {
		p.idle[server] = append(p.idle[server], IdleConn[C]{c, now})
	}
	p.idle[server] = append(p.idle[server], IdleConn[C]{c, now})
}

// Closed tells that a connection that was up is no more, or that one never came up.
func (p *IdlePool[C]) Closed() {
	if !mutated("gone-uncounted") {
		p.open--
	}
}

// TakeExpired takes out the connections that have been idle since before a time, and those to servers that are to get nothing
// new.
func (p *IdlePool[C]) TakeExpired(before decision.Seconds, serving func(server string) bool) (old []C) {
	for server, list := range p.idle {
		n := 0
		if !serving(server) {
			n = len(list)
		}
		for n < len(list) && list[n].IdleSince < before {
			n++
		}
		for _, c := range list[:n] {
			old = append(old, c.Conn)
		}
		p.set(server, list[n:])
	}
	return old
}

// Last is the idle connection to a server that was used last, to look at.
func (p *IdlePool[C]) Peek(server string) (c C, ok bool) {
	if list := p.idle[server]; len(list) > 0 {
		return list[len(list)-1].Conn, true
	}
	return c, false
}
