package upstreamconn

import "mulleinrouter/internal/decision"

// IdlePool keeps the idle connections to all servers, and counts those that are up. C is whatever the host has for a
// connection. It is not safe for use by several goroutines at once.
type IdlePool[C any] struct {
	Max int // up at once, to all servers

	idle map[string][]IdleConn[C] // by server, the one used last at the end
	up   int
}

// IdleConn is an idle connection.
type IdleConn[C any] struct {
	Conn  C
	Since decision.Seconds // idle since then
}

// NewIdlePool returns an empty shelf.
func NewIdlePool[C any](most int) *IdlePool[C] {
	return &IdlePool[C]{Max: most, idle: map[string][]IdleConn[C]{}}
}

// Open is how many connections are up, idle or not, or about to be.
func (s *IdlePool[C]) Open() int { return s.up }

// Idle is how many connections to a server are idle.
func (s *IdlePool[C]) Idle(server string) int { return len(s.idle[server]) }

// Take takes the connection to a server that was used last, if one is idle.
func (s *IdlePool[C]) Take(server string) (c IdleConn[C], ok bool) {
	list := s.idle[server]
	if len(list) == 0 {
		return c, false
	}
	c = list[len(list)-1]
	if mutated("taken-stays") {
		return c, true
	}
	s.set(server, list[:len(list)-1])
	return c, true
}

func (s *IdlePool[C]) set(server string, list []IdleConn[C]) {
	if len(list) == 0 {
		delete(s.idle, server) // guards against an entry for each server that ever was
		return
	}
	s.idle[server] = list
}

// Reserve makes a place for a new connection, which counts as up from then on. Spare is one to end for it, if there is
// one; not ok: all places are taken by connections in use.
func (s *IdlePool[C]) Reserve() (spare C, end, ok bool) {
	if s.up >= s.Max {
		from := ""
		for server, list := range s.idle {
			if from == "" || list[0].Since < s.idle[from][0].Since {
				from = server
			}
		}
		if from == "" {
			return spare, false, false
		}
		spare, end = s.idle[from][0].Conn, true
		s.set(from, s.idle[from][1:])
	}
	s.up++
	return spare, end, true
}

// Put puts a connection back.
func (s *IdlePool[C]) Put(server string, c C, now decision.Seconds) {
	if mutated("put-twice") {
		s.idle[server] = append(s.idle[server], IdleConn[C]{c, now})
	}
	s.idle[server] = append(s.idle[server], IdleConn[C]{c, now})
}

// Closed tells that a connection that was up is no more, or that one never came up.
func (s *IdlePool[C]) Closed() {
	if !mutated("gone-uncounted") {
		s.up--
	}
}

// TakeExpired takes out the connections that have been idle since before a time, and those to servers that are to get nothing
// new.
func (s *IdlePool[C]) TakeExpired(before decision.Seconds, serving func(server string) bool) (old []C) {
	for server, list := range s.idle {
		n := 0
		if !serving(server) {
			n = len(list)
		}
		for n < len(list) && list[n].Since < before {
			n++
		}
		for _, c := range list[:n] {
			old = append(old, c.Conn)
		}
		s.set(server, list[n:])
	}
	return old
}

// Last is the idle connection to a server that was used last, to look at.
func (s *IdlePool[C]) Last(server string) (c C, ok bool) {
	if list := s.idle[server]; len(list) > 0 {
		return list[len(list)-1].Conn, true
	}
	return c, false
}
