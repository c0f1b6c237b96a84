package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// fleet plays a member's requests over the doors of a split and returns what was let through, and how far the store that
// the rule is about came down at most: below minus the slack is a broken rule.
type fleet struct {
	s         Split
	left, at  []float64
	counter   map[string]float64
	store, to float64
	lowest    float64
	sent      float64
}

func newFleet(s Split) *fleet {
	n := int(s.Gateways)
	return &fleet{s: s, left: make([]float64, n), at: make([]float64, n), counter: map[string]float64{}, store: s.Burst}
}

// ask has a request of some units come to a door; the answer of the counter and the send come late.
func (f *fleet) ask(now float64, door int, units, late float64) bool {
	f.left[door], f.at[door] = f.s.OwnTokens(f.left[door], now-f.at[door], 1), now
	if f.left[door] >= units {
		f.left[door] -= units
		f.send(now, units)
		return true
	}
	name, room, _, ok := f.s.SharedSpan(now)
	if !ok {
		return false
	}
	if f.counter[name] += units; f.counter[name] > room {
		return false
	}
	f.send(now+late, units)
	return true
}

// send may come out of order by less than Late: the store is kept by the later of the times, which only lowers it.
func (f *fleet) send(now, units float64) {
	f.store = min(f.s.Burst, f.store+f.s.Rate*max(0, now-f.to)) - units
	f.to = max(f.to, now)
	f.lowest, f.sent = min(f.lowest, f.store), f.sent+units
}

// Whatever comes through which door, and when the counter comes back empty, the ceiling holds, and is not given away.
func TestCeilingHoldsOverAllDoors(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		rate := 30 + 40*rng.Float64()
		depth := rate * (1.1 + 1.4*rng.Float64())
		s := Split{Rate: rate, Burst: depth, Slack: max(4, 0.1*depth), Gateways: math.Floor(depth / 8), Counter: true}
		f, door := newFleet(s), 0
		for now := 0.0; now < 30; now += 0.2 * rng.Float64() * rng.Float64() / rate * 10 {
			if rng.IntN(200) == 0 {
				door = rng.IntN(int(s.Gateways)) // the busy door moves
			}
			if now > 10 && now < 10+maxSpan+1 {
				clear(f.counter) // it is lost, and no call is answered meanwhile
				s.Counter = false
			} else {
				s.Counter = true
			}
			at := door
			if rng.IntN(3) == 0 || seed%3 == 0 {
				at = rng.IntN(int(s.Gateways))
			}
			if !s.Counter {
				f.left[at], f.at[at] = f.s.OwnTokens(f.left[at], now-f.at[at], 1), now
				if f.left[at] < 4 {
					continue
				}
			}
			f.ask(now, at, float64(1+rng.IntN(4)), rng.Float64()*GrantValidity)
		}
		if f.lowest < -s.Slack {
			t.Errorf("seed %d: the store came down to %.1f, slack %.1f", seed, f.lowest, s.Slack)
		}
		if f.sent < 0.7*rate*27 {
			t.Errorf("seed %d: %.0f units let through of %.0f", seed, f.sent, rate*30)
		}
	}
}

// A member inside its quota, nearly half of it through one of eight ingresses: by even parts alone a fifth is refused.
func TestBusyDoorGetsWhatOthersLeave(t *testing.T) {
	refused := map[bool]float64{}
	for _, counter := range []bool{true, false} {
		rng := rand.New(rand.NewPCG(1, 1))
		f := newFleet(Split{Rate: 40, Burst: 60, Slack: 6, Gateways: 8, Counter: counter})
		asked := 0.0
		for now := 5.0; now < 65; now += rng.ExpFloat64() / 9 { // 22.5 units a second
			door := rng.IntN(8)
			if rng.IntN(5) < 2 {
				door = 0
			}
			units := float64(1 + rng.IntN(4))
			asked += units
			f.ask(now, door, units, 0.01)
		}
		refused[counter] = 1 - f.sent/asked
	}
	if refused[true] > 0.12 || refused[false] < 0.2 {
		t.Errorf("refused inside the quota: %.3f with a common part, %.3f without", refused[true], refused[false])
	}
}

func TestNoCommonPart(t *testing.T) {
	for _, s := range []Split{
		{Rate: 40, Burst: 60, Slack: 6, Gateways: 8},
		{Rate: 40, Burst: 60, Slack: 6, Gateways: 1, Counter: true},
		{Rate: 40, Burst: 40 * GrantValidity, Slack: 6, Gateways: 8, Counter: true},
	} {
		if name, room, _, ok := s.SharedSpan(100); ok {
			t.Errorf("%+v: %s, %v", s, name, room)
		}
		if got := fmt.Sprint(s.OwnTokens(0, 1e6, 1)); got != fmt.Sprint((s.Burst+s.Slack)/s.Gateways) {
			t.Errorf("%+v: own part %s", s, got)
		}
	}
}
