package connlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// modelConn is a connection in the reference model.
type modelConn struct {
	inFlight  bool
	idleSince int // step at which it became idle
}

// model is the reference model of slots. It searches a map of all connections at each step.
type model struct {
	limit         int
	internalLimit int
	internal      int
	conns         map[*slot]*modelConn
}

func (m *model) inFlight() (count int) {
	for _, c := range m.conns {
		if c.inFlight {
			count++
		}
	}
	return count
}

// evictIfFull removes and returns the connection that must be evicted for a new one, or nil if none must.
func (m *model) evictIfFull() (evicted *slot) {
	if m.internal+len(m.conns) < m.limit {
		return nil
	}
	for s, c := range m.conns {
		if !c.inFlight && (evicted == nil || c.idleSince < m.conns[evicted].idleSince) {
			evicted = s
		}
	}
	delete(m.conns, evicted)
	return evicted
}

// admission is the decision that beginCall must return.
func (m *model) admission(c *modelConn, byOperator bool) Admission {
	free := m.limit - m.internal - m.inFlight()
	switch {
	case c == nil:
		return Evicted
	case byOperator && free > 16, free > 16+32+64:
		return Admitted
	case !byOperator && free > 16+32:
		return AdmittedIfPrompt
	}
	return Rejected
}

// Guards against the eviction of a connection that has a call in flight or has not been idle longest, against calls
// that use reserved slots, and against counts that differ from the open connections.
func TestSlotsMatchReferenceModel(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		p := newSlots(reservedForFiles + reservedForNode + minSlots + random.IntN(200))
		m := &model{limit: p.limit, internalLimit: p.internalLimit, conns: map[*slot]*modelConn{}}
		is.True(p.limit >= minSlots && p.limit-p.internalLimit >= minControlSlots)
		var known []*slot // includes closed ones
		load := 1 + random.IntN(10)
		for step := range 3000 {
			var s *slot
			if len(known) > 0 {
				s = known[random.IntN(len(known))]
			}
			switch action := random.IntN(10 + 2*load); {
			case action < 4 || s == nil: // a new connection is always accepted
				s = new(slot)
				evicted := p.add(s)
				is.Equal(evicted, m.evictIfFull())
				m.conns[s] = &modelConn{idleSince: step}
				known = append(known, s)
			case action < 6:
				allowed := m.internal < m.internalLimit && m.internal+m.inFlight() < m.limit-reservedForNew
				evicted, ok := p.addInternal()
				is.Equal(ok, allowed)
				if allowed {
					is.Equal(evicted, m.evictIfFull())
					m.internal++
				} else {
					is.Equal(evicted, nil)
				}
			case action == 6:
				if m.internal > 0 {
					m.internal--
					p.removeInternal()
				}
			case action == 7:
				p.remove(s)
				delete(m.conns, s)
			case action == 8:
				p.touch(s)
				if c := m.conns[s]; c != nil && !c.inFlight {
					c.idleSince = step
				}
			case action == 9:
				p.finishCall(s)
				if c := m.conns[s]; c != nil && c.inFlight {
					*c = modelConn{idleSince: step}
				}
			default:
				c := m.conns[s]
				if c != nil && c.inFlight {
					continue // a connection carries one call at a time
				}
				byOperator := random.IntN(4) == 0
				want := m.admission(c, byOperator)
				is.Equal(p.beginCall(s, byOperator), want)
				if want == Admitted || want == AdmittedIfPrompt {
					c.inFlight = true
				}
			}
			is.Equal(p.total(), m.internal+len(m.conns))
			is.Equal(p.inFlight, m.inFlight())
			is.Equal(p.internal, m.internal)
			is.True(p.total() <= p.limit)
			is.True(p.internal+p.inFlight <= p.limit-16)
			known = slices.DeleteFunc(known, func(s *slot) bool { return m.conns[s] == nil && random.IntN(20) == 0 })
		}
	}
}

// Guards against limits that leave too few descriptors for files and listeners, and against too few slots if the
// process may open only a few descriptors.
func TestLimitsFollowDescriptors(t *testing.T) {
	for _, test := range []struct{ maxFDs, limit, internalLimit int }{
		{maxFDs: 0, limit: 684, internalLimit: 556},
		{maxFDs: 10, limit: 256, internalLimit: 128},
		{maxFDs: 4096, limit: 3756, internalLimit: 3287},
		{maxFDs: 65536, limit: 65196, internalLimit: 57047},
	} {
		t.Run(fmt.Sprintf("%d descriptors", test.maxFDs), func(t *testing.T) {
			got := newSlots(test.maxFDs)
			if got.limit != test.limit || got.internalLimit != test.internalLimit {
				t.Errorf("got limits %d and %d, want %d and %d", got.limit, got.internalLimit, test.limit,
					test.internalLimit)
			}
		})
	}
}
