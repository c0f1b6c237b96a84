package decision

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// campus is two to four gateways of one member, with a counter, whose answers come late; or never, while it is silent.
type campus struct {
	*testing.T
	rnd     *rand.Rand
	s       Settings
	at      []*Gateway
	m       counter
	silent  bool
	late    Seconds
	due     []answer
	now     Seconds
	next    Seconds // when it asks next
	id      uint64
	sent    map[string]float64 // units sent on, by class
	ceiling float64            // store of the hard ceiling, as one node that sees all would keep it
	lowest  float64
	asked   map[uint64]Request
	largest float64 // units of the largest that was sent on
	plain   plain   // what one gateway that sees all would send on
}

// plain is one store that sees all.
type plain struct {
	at          Seconds
	level, sent float64
}

func (s *plain) ask(p Plan, now Seconds, units float64) {
	s.level, s.at = min(p.Burst, s.level+p.Rate*(now-s.at)), now
	if s.level >= units {
		s.level, s.sent = s.level-units, s.sent+units
	}
}

type answer struct {
	at Seconds
	to int
	CounterReply
}

func newCampus(t *testing.T, seed uint64, doors int, p Plan) *campus {
	c := &campus{T: t, rnd: rand.New(rand.NewPCG(seed, 1)), m: counter{}, sent: map[string]float64{}, asked: map[uint64]Request{}, now: 100, ceiling: p.LimitBurst}
	c.s = testSettings()
	c.s.Classes[1].Value = 5.0 / 3 // keyed; the safe one is worth 1
	c.s.Gateways, c.s.MaxUnits, c.s.CounterTimeout, c.s.Plans = doors, 6, 0.08, []Plan{p}
	for range doors {
		c.at = append(c.at, nil)
		c.start(len(c.at) - 1)
	}
	return c
}

// start starts a gateway; one that runs is killed before.
func (c *campus) start(i int) {
	s := c.s
	s.Index = i
	c.at[i] = New(s, c.rnd.Uint64())
	c.at[i].Handle(c.now, Start{})
	c.at[i].Handle(c.now, Backends{Complete: true, List: []Backend{up("x", 0), up("y", 0), up("z", 0)}})
}

func (c *campus) do(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case CounterCall:
			if c.silent {
				c.due = append(c.due, answer{c.now + c.s.CounterTimeout, i, CounterReply{Name: a.Name, Outcome: TimedOut}})
			} else {
				c.due = append(c.due, answer{c.now + c.late*c.rnd.Float64(), i, c.m.add(a)})
			}
		case Send:
			r := c.asked[a.ID]
			c.sent[r.Class] += r.Units
			c.largest = max(c.largest, r.Units)
			c.ceiling -= r.Units
			c.lowest = min(c.lowest, c.ceiling)
			c.do(i, c.at[i].Handle(c.now, AttemptEnded{ID: a.ID, Backend: a.Backend, Attempt: 0, Outcome: Succeeded, Duration: 0.01, Answered: true, Units: c.settled(r.Units)}))
		}
	}
}

// all is what was sent on, in units.
func (c *campus) all() (sum float64) {
	for _, units := range c.sent {
		sum += units
	}
	return sum
}

// settled is what a request of a guessed size turns out to count: the same on average.
func (c *campus) settled(guess float64) float64 {
	if guess == 1 || guess == c.s.MaxUnits {
		return guess
	}
	return guess + float64(c.rnd.IntN(3)-1)
}

// play has the member ask so many units a second for a while: this part of it at one gateway, the rest evenly.
func (c *campus) play(span Seconds, units, crowd float64) {
	p := c.s.Plans[0]
	for until := c.now + span; c.now < until; {
		before := c.now
		c.now += 0.05
		c.ceiling = min(p.LimitBurst, c.ceiling+p.LimitRate*(c.now-before))
		due := c.due
		c.due = nil
		for _, d := range due {
			if d.at > c.now {
				c.due = append(c.due, d)
			} else {
				c.do(d.to, c.at[d.to].Handle(c.now, d.CounterReply))
			}
		}
		for i, g := range c.at {
			c.do(i, g.Handle(c.now, Timer{"tick"}))
		}
		for c.next = max(c.next, before); c.next < c.now; c.next += 3.5 / units * c.rnd.ExpFloat64() {
			i := c.rnd.IntN(len(c.at))
			if c.rnd.Float64() < crowd {
				i = 0
			}
			c.id++
			r := Request{ID: c.id, Class: []string{"safe", "keyed"}[c.rnd.IntN(2)], Plan: p.Name, Customer: "c", TimeLeft: 6, Units: float64(1 + c.rnd.IntN(6)), Gateways: len(c.at)}
			c.asked[r.ID] = r
			c.plain.ask(p, c.now, r.Units)
			c.do(i, c.at[i].Handle(c.now, r))
		}
	}
}

// A hard ceiling holds over all gateways while the member asks up to eight times its quota, crowded to one of them, the counter is silent for 14 s or slow,
// units are guesses, and gateways are killed and start anew; though a plan from which nothing is sent on beyond the quota does not start from nothing.
func TestCeilingHoldsOverRestarts(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		doors := 2 + int(seed%3)
		p := Plan{Name: "multi", Rate: 3.5 + 2.6*rnd.Float64(), ValueWeight: 1.2, ExcessCost: 0.8}
		p.Burst = max(24, p.Rate*(3.1+2.1*rnd.Float64()))
		over := 1.8 + 0.5*rnd.Float64()
		p.LimitRate, p.LimitBurst = over*p.Rate, over*p.Burst
		p.LimitSlack = max(6, 0.1*p.LimitBurst)
		c := newCampus(t, seed, doors, p)
		c.late = 0.02
		for range 6 {
			c.play(1+4*rnd.Float64(), p.Rate*(0.3+7.5*rnd.Float64()), rnd.Float64())
			switch rnd.IntN(4) {
			case 0:
				c.silent = !c.silent
			case 1:
				c.late = 0.09 * rnd.Float64()
			case 2:
				c.start(rnd.IntN(doors))
			case 3:
				c.start(0)
				c.play(0.5, 8*p.Rate, 1)
				c.start(0) // once more at once
			}
		}
		c.silent = true
		c.play(14, 8*p.Rate, 0.5)
		if c.lowest < -p.LimitSlack {
			t.Errorf("seed %d: %d gateways: the store of the ceiling came down to %.1f, slack %.1f", seed, doors, c.lowest, p.LimitSlack)
		}
	}
}

// At the start nobody is refused for a ceiling that no gateway has used yet: what is inside the quota's burst runs in the first second.
func TestBurstRunsAtTheStart(t *testing.T) {
	p := Plan{Name: "multi", Rate: 5, Burst: 24, ValueWeight: 1.2, ExcessCost: 0.8, LimitRate: 10, LimitBurst: 48, LimitSlack: 6}
	sum := 0.0
	for seed := range uint64(40) {
		c := newCampus(t, seed, 3, p)
		c.play(1, 24, 0)
		sum += c.all() / 40
	}
	if sum < 14 || sum > 24+5 {
		t.Errorf("%.1f units in the first second of a burst of 24", sum)
	}
}

// A store of small members holds one request, be it larger than the even part of the burst: none is always refused.
func TestLargestRequestIsNotRefusedForEver(t *testing.T) {
	p := Plan{Name: "small", Rate: 1.6, Burst: 12, ValueWeight: 1, ExcessCost: 1.2}
	for doors := 2; doors <= 4; doors++ {
		c := newCampus(t, uint64(doors), doors, p)
		c.play(30, 4, 0)
		c.largest = 0
		sent := c.all()
		c.play(400, 1, 0.3)
		if c.largest < 6 {
			t.Errorf("%d gateways: none larger than %v units", doors, c.largest)
		}
		inside := (c.all() - sent) / 400
		if inside < 0.55 {
			t.Errorf("%d gateways: %.2f units a second of 1 sent on, inside a quota of 1.6", doors, inside)
		}
		c.play(30, 6, 0.3)
		sent = c.all()
		if c.play(400, 6, 0.3); (c.all()-sent)/400 > 1.06*p.Rate {
			t.Errorf("%d gateways: %.2f units a second of a quota of 1.6", doors, (c.all()-sent)/400)
		}
	}
}

// A member that asks for more than its quota has more of its dear requests let through than of the others; one that does not, all of both.
func TestDearerRequestsFirst(t *testing.T) {
	p := Plan{Name: "multi", Rate: 5, Burst: 24, ValueWeight: 1, ExcessCost: 1}
	for _, tc := range []struct{ units, least, most float64 }{{15, 1.3, 2}, {2, 0.9, 1.1}} {
		c := newCampus(t, 1, 3, p)
		c.late = 0.01
		c.play(20, tc.units, 0.2)
		clear(c.sent)
		c.play(2000, tc.units, 0.2)
		if ratio := c.sent["keyed"] / c.sent["safe"]; ratio < tc.least || ratio > tc.most {
			t.Errorf("%v units a second: %.2f times as much of the dearer", tc.units, ratio)
		}
	}
}

// Stores are overbooked, what comes into them is not: over any span, what runs is within the quota and one and a half bursts, wherever it is asked; and
// in the long run near the quota.
func TestOverbookedStoresKeepTheRate(t *testing.T) {
	p := Plan{Name: "b", Rate: 6, Burst: 30, ValueWeight: 1, ExcessCost: 1}
	for seed := range uint64(20) {
		c := newCampus(t, seed, 2+int(seed%3), p)
		c.late = 0.01
		c.play(40, 1, 0.3) // stores fill up
		calm := c.all()
		c.play(2, 120, c.rnd.Float64())
		if burst := c.all() - calm; burst > 1.5*p.Burst+2*p.Rate+12 { // settled units are not the guessed ones
			t.Errorf("seed %d: %.0f units in 2 s of a quota of 6 with a burst of 30", seed, burst)
		}
		c.play(20, 30, 0.5)
		before := c.all()
		c.play(300, 30, 0.5)
		if share := (c.all() - before) / (300 * p.Rate); share < 0.95 || share > 1.15 { // a gateway that chance asks nothing in a cycle keeps its even part
			t.Errorf("seed %d: %.2f of the quota sent on", seed, share)
		}
	}
}

// A server that has just started is not pushed over by all gateways together, though each hears of it at another time and servers are nearly full: in no
// 1.5 s is it sent three times what it can do then, at 0.18 of its capacity and warm after 17 s; and it is used.
func TestColdServerIsNotPushedOverByAFewGateways(t *testing.T) {
	for seed := range uint64(12) {
		rnd, doors := rand.New(rand.NewPCG(seed, 3)), 2+int(seed%3)
		s := testSettings()
		s.Gateways, s.SlowStartShare, s.SlowStartTime, s.OverloadFactor, s.OverloadFor = doors, 0.18, 17, 3, 1.5
		var gateways []*Gateway
		var heard []Seconds
		warm := []Backend{}
		for j := range 9 {
			warm = append(warm, up(fmt.Sprint("w", j), 0))
		}
		for i := range doors {
			s.Index = i
			g := New(s, seed)
			g.Handle(0, Start{})
			g.Handle(0, Backends{Complete: true, List: warm})
			gateways, heard = append(gateways, g), append(heard, 5+3.5*rnd.Float64())
		}
		const each = 7.0 // requests a second that a warm server can do: 0.95 of it is asked
		type end struct {
			at Seconds
			g  *Gateway
			e  AttemptEnded
		}
		var due []end
		var cold []Seconds
		out, id, next := 0, uint64(0), 0.0
		for now := 0.05; now < 24; now += 0.05 {
			live := due[:0]
			for _, d := range due {
				if d.at <= now {
					d.g.Handle(now, d.e)
					if d.e.Backend == "cold" {
						out--
					}
				} else {
					live = append(live, d)
				}
			}
			due = live
			for i, g := range gateways {
				if heard[i] > 0 && now >= heard[i] {
					heard[i] = 0
					g.Handle(now, Backends{Complete: true, List: append(slices.Clone(warm), Backend{ID: "cold", Zone: "a", Serving: true, StartedAt: 5})})
				}
				g.Handle(now, Timer{"tick"})
			}
			for ; next < now; next += rnd.ExpFloat64() / (0.95 * 9 * each) {
				id++
				g := gateways[rnd.IntN(doors)]
				for _, a := range of[Send](g.Handle(now, ask(id, "safe", "free"))) {
					took := 0.1 + 0.3*rnd.Float64()
					if a.Backend == "cold" {
						cold = append(cold, now)
						out++
						took *= 1 + float64(out)
					}
					due = append(due, end{now + took, g, AttemptEnded{ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: took, Answered: true}})
				}
			}
		}
		for i, at := range cold {
			can := each * (0.18 + 0.82*min(1, (at-5)/17))
			n := 0
			for _, b := range cold[i:] {
				if b <= at+1.5 {
					n++
				}
			}
			if float64(n) > 3*can*1.5 {
				t.Fatalf("seed %d: %d gateways sent %d in 1.5 s from %.1f s on; it can do %.1f", seed, doors, n, at, can*1.5)
			}
		}
		if len(cold) < 5 {
			t.Errorf("seed %d: sent %d in 19 s", seed, len(cold))
		}
	}
}

// The smallest quotas of the second user, 1.2 units a second where a request counts 1 to 6, against one store that sees all, over 1,000 s in which the busy
// gateway's part changes every 10 s: a member inside its quota gets most of what that would let through, one that asks more gets the quota, and never much more.
func TestTinyQuotasAgainstOneStore(t *testing.T) {
	for _, tc := range []struct{ asks, least, most float64 }{{0.3, 0.72, 1.1}, {0.7, 0.7, 1.1}, {1, 0.68, 1.15}, {3, 0.9, 1.15}} {
		for doors := 2; doors <= 3; doors++ {
			sent, plain := 0.0, 0.0
			for seed := range uint64(4) {
				p := Plan{Name: "small", Rate: 1.2, Burst: 12, ValueWeight: 0.88, ExcessCost: 1.2}
				c := newCampus(t, seed, doors, p)
				c.late = 0.02
				for range 100 {
					c.play(10, tc.asks*p.Rate, c.rnd.Float64()) // the busy one is asked another part of it each time
				}
				sent, plain = sent+c.all(), plain+c.plain.sent
			}
			if sent < tc.least*plain || sent > tc.most*plain {
				t.Errorf("asked %.1f of the quota through %d: %.2f of what one store lets through", tc.asks, doors, sent/plain)
			}
		}
	}
}
