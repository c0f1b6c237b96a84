package upstreamconn

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// poolModel is the expected content of an IdlePool of numbered connections.
type poolModel struct {
	rng       *rand.Rand
	next      int // number of the next connection
	busy      map[int]string
	idle      map[int]string
	idleSince map[int]float64
}

// randomConn returns a random connection of a set; -1: none.
func (m *poolModel) randomConn(set map[int]string) int {
	for id := range m.next {
		if _, ok := set[id]; ok && m.rng.IntN(2) == 0 {
			return id
		}
	}
	return -1
}

// After any random sequence of operations, the open connections of a pool are those that were reserved and not reported
// as closed, and never more than the limit.
func TestIdlePool(t *testing.T) {
	const limit = 5
	rng := rand.New(rand.NewPCG(1, 1))
	m := &poolModel{rng: rng, busy: map[int]string{}, idle: map[int]string{}, idleSince: map[int]float64{}}
	p, full, evictions := NewIdlePool[int](limit), 0, 0
	for now := 0.0; now < 5000; now++ {
		server := fmt.Sprint("s", rng.IntN(3))
		switch rng.IntN(5) {
		case 0:
			if c, ok := p.Take(server); ok {
				if m.idle[c.Conn] != server {
					t.Fatalf("connection %d taken, which is not idle at %s", c.Conn, server)
				}
				delete(m.idle, c.Conn)
				m.busy[c.Conn] = server
			}
		case 1:
			evicted, evict, ok := p.Reserve()
			if !ok {
				full++
				if len(m.idle) > 0 || len(m.busy) < limit {
					t.Fatalf("nothing reserved with %d idle and %d busy of %d", len(m.idle), len(m.busy), limit)
				}
				continue
			}
			if evict {
				evictions++
				for id := range m.idle {
					if m.idleSince[id] < m.idleSince[evicted] {
						t.Fatalf("connection %d evicted, but %d has been idle for longer", evicted, id)
					}
				}
				delete(m.idle, evicted)
				p.Closed()
			}
			m.busy[m.next] = server
			m.next++
		case 2:
			if id := m.randomConn(m.busy); id >= 0 {
				p.Put(m.busy[id], id, now)
				m.idle[id], m.idleSince[id] = m.busy[id], now
				delete(m.busy, id)
			}
		case 3:
			if id := m.randomConn(m.busy); id >= 0 {
				delete(m.busy, id)
				p.Closed()
			}
		case 4:
			serving := func(server string) bool { return server != "s2" || rng.IntN(2) == 0 }
			for _, id := range p.TakeExpired(now-20, serving) {
				if _, ok := m.idle[id]; !ok || m.idle[id] != "s2" && m.idleSince[id] >= now-20 {
					t.Fatalf("connection %d expired, idle since %g at %g", id, m.idleSince[id], now)
				}
				delete(m.idle, id)
				p.Closed()
			}
		}
		if p.Open() != len(m.idle)+len(m.busy) || p.Open() > limit {
			t.Fatalf("%d open, want %d idle and %d busy, at most %d", p.Open(), len(m.idle), len(m.busy), limit)
		}
		if idle := p.Idle("s0") + p.Idle("s1") + p.Idle("s2"); idle != len(m.idle) {
			t.Fatalf("%d idle, want %d", idle, len(m.idle))
		}
	}
	if full == 0 || evictions == 0 {
		t.Errorf("full %d times, %d evictions, want some of each", full, evictions)
	}
}

// Connections that have been idle for equally long are evicted in the order of their servers' names.
func TestIdlePoolEvictsTiesByServer(t *testing.T) {
	servers := []string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"}
	p := NewIdlePool[string](len(servers))
	for _, server := range slices.Backward(servers) {
		p.Reserve()
		p.Put(server, server, 1)
	}
	for _, want := range servers {
		evicted, evict, ok := p.Reserve()
		p.Closed()
		if evicted != want || !evict || !ok {
			t.Fatalf("got %q evicted (%v, %v), want %q", evicted, evict, ok, want)
		}
	}
}
