package decision

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// customerFleet simulates gateways that share one counter, and one customer whose requests come through all
// of them. Each gateway uses the terms that it has received.
type customerFleet struct {
	t                *testing.T
	gateways         []*Gateway
	terms            []*Terms
	counter          packedCounter
	counterSilent    bool // the counter does not reply
	now              Seconds
	pendingUnits     []float64 // units of demand that are not yet sent as requests, by gateway
	sent             float64
	answers          map[uint64]int
	id               uint64
	customerGateways int // gateways that may receive its requests; 0: all
}

func newCustomerFleet(t *testing.T, n int, terms *Terms) *customerFleet {
	f := &customerFleet{
		t: t, counter: packedCounter{}, now: 100, pendingUnits: make([]float64, n), answers: map[uint64]int{},
	}
	s := testSettings()
	s.Gateways = n
	for i := range n {
		g := New(s, uint64(i+1))
		g.Handle(f.now, Start{})
		g.Handle(
			f.now, Backends{Complete: true, List: []Backend{servingBackend("x"), servingBackend("y")}},
		)
		f.gateways, f.terms = append(f.gateways, g), append(f.terms, terms)
	}
	return f
}

// handle carries out all actions of a gateway at once.
func (f *customerFleet) handle(g *Gateway, e Event) {
	for _, a := range g.Handle(f.now, e) {
		switch a := a.(type) {
		case CounterCall:
			if reply := f.counter.add(a); f.counterSilent {
				f.handle(g, CounterReply{Name: a.Name, Outcome: TimedOut})
			} else {
				f.handle(g, reply)
			}
		case Send:
			f.sent++
			f.answers[a.ID]++
			f.handle(g, AttemptEnded{
				ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Answered: true, Duration: 0.01,
			})
		case Reject:
			f.answers[a.ID]++
		}
	}
}

// run simulates a number of seconds with a demand in units per second at each gateway, and calls afterTick
// after each tick.
func (f *customerFleet) run(seconds float64, demand []float64, afterTick func()) {
	for end := f.now + seconds; f.now < end; f.now += tickInterval {
		for i, g := range f.gateways {
			f.handle(g, Timer{"tick"})
			for f.pendingUnits[i] += demand[i] * tickInterval; f.pendingUnits[i] >= 1; f.pendingUnits[i]-- {
				f.ask(i)
			}
		}
		if afterTick != nil {
			afterTick()
		}
	}
}

func (f *customerFleet) ask(i int) {
	f.id++
	f.handle(f.gateways[i], Request{
		ID:       f.id,
		Class:    "safe",
		Plan:     "rate",
		Customer: "c",
		TimeLeft: 3,
		Units:    1,
		Gateways: cmp.Or(f.customerGateways, len(f.gateways)),
		Terms:    f.terms[i],
	})
}

func (f *customerFleet) changeTerms(i int, t *Terms) {
	f.terms[i] = t
	e := *t
	e.Customer = "c"
	f.handle(f.gateways[i], e)
}

func (f *customerFleet) slices() (sum float64) {
	for _, g := range f.gateways {
		sum += g.customers["c"].bucket.slice
	}
	return sum
}

func terms(rate, burst float64) *Terms {
	p := Plan{Rate: rate, Burst: burst, ValueWeight: 1, ExcessCost: 1}
	return &Terms{Plan: p, Tag: p.Tag()}
}

// A change of terms reaches three gateways at different times. The slices must never sum to more than the
// larger quota while the terms differ, and must sum to the new quota two cycles after the last gateway has
// received it.
func TestTermsChangeReceivedAtDifferentTimes(t *testing.T) {
	demands := map[string][]float64{"over": {90, 60, 30}, "between": {30, 25, 20}, "uneven": {100, 15, 22}}
	for name, demand := range demands {
		for _, to := range []float64{100, 30} { // from 60
			for _, silent := range []bool{false, true} {
				for _, delays := range [][]float64{{0, 2, 5}, {5, 0, 2}, {0, 0.4, 0.4}, {0, 0, 0}} {
					t.Run(fmt.Sprintf("%s to %v silent %v %v", name, to, silent, delays), func(t *testing.T) {
						oldTerms, newTerms := terms(60, 120), terms(to, 2*to)
						f := newCustomerFleet(t, 3, oldTerms)
						f.run(20, demand, nil)
						worst, before, begun := 0.0, f.slices(), f.now
						if f.gateways[0].customers["c"].sparse.active || math.Abs(before-60) > 1.5 {
							t.Fatalf("slices sum to %v before the change", before)
						}
						f.counterSilent = silent
						for f.now < begun+6 {
							for i, d := range delays {
								if f.terms[i] == oldTerms && f.now >= begun+d {
									f.changeTerms(i, newTerms)
								}
							}
							f.run(tickInterval, demand, func() { worst = max(worst, f.slices()) })
						}
						f.counterSilent = false
						if limit := max(60, to) * 1.03; worst > limit {
							t.Errorf("slices summed to %v, want %v at most", worst, limit)
						}
						f.run(2*f.gateways[0].customers["c"].cycle.period+1, demand, nil)
						if sum := f.slices(); math.Abs(sum-to) > 0.02*to {
							t.Errorf(
								"slices sum to %v two cycles after the last change, want %v", sum,
								to,
							)
						}
						sent := f.sent
						f.run(20, demand, nil)
						usable := min(to, demand[0]+demand[1]+demand[2])
						if used := (f.sent - sent) / 20; used > 1.02*to || used < 0.95*usable {
							t.Errorf(
								"%v units per second used, with quota %v and demand %v", used, to, demand,
							)
						}
					})
				}
			}
		}
	}
}

// One gateway never receives a change of terms. For three cycles the slices stay below the larger quota.
// After that, the sum of each side's slices is bounded by its own quota.
func TestTermsChangeNeverReceivedAtOneGateway(t *testing.T) {
	for _, to := range []float64{100, 30} {
		oldTerms, newTerms := terms(60, 120), terms(to, 2*to)
		f := newCustomerFleet(t, 3, oldTerms)
		demand := []float64{90, 60, 70}
		f.run(20, demand, nil)
		f.changeTerms(0, newTerms)
		f.changeTerms(1, newTerms)
		soon, late := 0.0, 0.0
		f.run(
			3*f.gateways[0].customers["c"].cycle.period-0.5, demand, func() { soon = max(soon, f.slices()) },
		)
		f.run(40, demand, func() { late = max(late, f.slices()) })
		if soon > 1.03*max(60, to) || late > 1.03*(60+to) {
			t.Errorf("to %v: slices summed to %v, then to %v", to, soon, late)
		}
	}
}

// A customer's first request and a change of its terms come in the same cycle. Gateways that do not know the
// customer must ignore the change, and the slices must then sum to the new quota.
func TestCustomerArrivesWithATermsChange(t *testing.T) {
	f := newCustomerFleet(t, 3, terms(60, 120))
	f.ask(0)
	f.now += 0.1
	for i := range f.gateways {
		f.changeTerms(i, terms(30, 60)) // two of them do not know the customer yet
	}
	if f.gateways[1].customers["c"] != nil {
		t.Error("a customer without requests was created")
	}
	f.run(20, []float64{40, 40, 40}, nil)
	if sum := f.slices(); math.Abs(sum-30) > 0.6 {
		t.Errorf("slices sum to %v, want 30", sum)
	}
}

// A customer that switches between two plans must not get more requests forwarded than with the better plan
// alone.
func TestChangingTermsBackAndForthGainsNothing(t *testing.T) {
	small := Plan{Rate: 10, Burst: 20, ValueWeight: 1, ExcessCost: 1}
	large := Plan{Rate: 30, Burst: 40, ValueWeight: 1, ExcessCost: 1}
	limited := Plan{
		Rate: 10, Burst: 20, ValueWeight: 1, ExcessValue: 1, LimitRate: 25, LimitBurst: 40, LimitSlack: 4,
	}
	lowerLimit := Plan{
		Rate: 5, Burst: 10, ValueWeight: 1, ExcessValue: 1, LimitRate: 12, LimitBurst: 20, LimitSlack: 2,
	}
	sent := func(every float64, plans ...Plan) float64 {
		g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
		n, id := 0.0, uint64(0)
		for now := 50.0; now < 80; now += 0.01 {
			p := plans[int(now/every)%len(plans)]
			id++
			r := testRequest(id, "safe", "rate")
			r.Gateways, r.Terms = 1, &Terms{Plan: p, Tag: p.Tag()}
			for _, s := range actionsOf[Send](g.Handle(now, r)) {
				n++
				g.Handle(now, AttemptEnded{
					ID: s.ID, Backend: s.Backend, Outcome: Succeeded, Answered: true, Duration: 0.001,
				})
			}
		}
		return n
	}
	for _, pair := range [][2]Plan{{small, large}, {limited, lowerLimit}} {
		best := max(sent(1, pair[0]), sent(1, pair[1]))
		for _, every := range []float64{0.02, 0.1, 0.5, 1, 3} {
			if got := sent(every, pair[0], pair[1]); got > best+1 {
				t.Errorf("%v s on each of %v: %v sent, %v on the better one alone", every, pair, got, best)
			}
		}
	}
	// If only one of the two plans has a rate limit, the bound is the rate and burst of that limit, and
	// what the other plan admits while it is in force.
	for _, every := range []float64{0.1, 0.5, 1, 3} {
		if got, limit := sent(every, limited, small), 25.0*30+44+20+10*30; got > limit {
			t.Errorf("%v s with a rate limit and without in turn: %v sent, %v at most", every, got, limit)
		}
	}
}

// A change to a larger plan must keep the saved tokens, and the change back must not give a second burst.
func TestUpgradeKeepsTokens(t *testing.T) {
	plus := Plan{
		Rate: 30, Burst: 60, ValueWeight: 1, ExcessCost: 1, LimitRate: 60, LimitBurst: 120, LimitSlack: 6,
	}
	basic := Plan{Rate: 10, Burst: 20, ValueWeight: 1, ExcessCost: 1}
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.now = 50
	c := g.customerFor(Request{Customer: "c", Gateways: 1}, &Terms{Plan: basic, Tag: "basic"})
	c.bucket.refilledAt, c.bucket.tokens = 50, 15
	g.changeTerms(c, &Terms{Plan: plus, Tag: "plus"})
	if c.bucket.tokens != 15 || c.limit.tokens < 15 || c.bucket.slice != 30 {
		t.Errorf(
			"tokens %v, limit tokens %v, slice %v after the upgrade", c.bucket.tokens, c.limit.tokens,
			c.bucket.slice,
		)
	}
	c.limit.tokens, c.limit.refilledAt = 100, 50
	g.changeTerms(c, &Terms{Plan: basic, Tag: "basic"})
	if c.bucket.tokens != 15 || c.bucket.slice != 10 { // no second burst, and the saved tokens are kept
		t.Errorf("tokens %v, slice %v after the downgrade", c.bucket.tokens, c.bucket.slice)
	}
}

// A lower rate limit must apply at once to the tokens that were saved under the higher one, and a bucket in
// debt must stay in debt.
func TestRateLimitLoweredBelowTokens(t *testing.T) {
	high := Plan{Rate: 30, Burst: 60, ValueWeight: 1, LimitRate: 60, LimitBurst: 120, LimitSlack: 6}
	low := Plan{Rate: 5, Burst: 10, ValueWeight: 1, LimitRate: 6, LimitBurst: 12, LimitSlack: 1}
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.now = 50
	c := g.customerFor(Request{Customer: "c", Gateways: 2}, &Terms{Plan: high, Tag: "high"})
	// The bucket is in debt, because requests were larger than estimated.
	c.bucket.tokens, c.bucket.refilledAt, c.limit.tokens, c.limit.refilledAt = -3, 50, 60, 50
	g.changeTerms(c, &Terms{Plan: low, Tag: "low"})
	g.refillLimit(c)
	if c.bucket.tokens != -3 || c.limit.tokens != 0.75*6.5 { // this gateway's own part has ownShare of it
		t.Errorf(
			"tokens %v, limit tokens %v; want the debt kept and the new rate limit in force",
			c.bucket.tokens,
			c.limit.tokens,
		)
	}
}

// For sparse customers each request is a report, and some calls are in flight when the terms change. Their
// usage is limited by sampling, so it is compared with the usage of a fleet that has had the new terms from
// the start.
func TestTermsChangeOfSparseCustomers(t *testing.T) {
	const n, seconds = 48, 500
	demand := make([]float64, n)
	for i := range demand {
		demand[i] = 40.0 / n
	}
	for _, to := range []float64{20, 5} {
		always, f := newCustomerFleet(t, n, terms(to, 2*to)), newCustomerFleet(t, n, terms(10, 20))
		f.run(20, demand, nil)
		always.run(20, demand, nil)
		if !f.gateways[0].customers["c"].sparse.active {
			t.Fatal("not sparse")
		}
		begun := f.sent
		for i := range f.gateways { // the change arrives over five seconds
			f.changeTerms(i, terms(to, 2*to))
			f.run(5.0/n, demand, nil)
		}
		if limit := 5*(10+to) + 2*max(10, to); f.sent-begun > limit {
			t.Errorf("to %v: %v sent while gateways differ, %v at most", to, f.sent-begun, limit)
		}
		f.run(2*f.gateways[0].customers["c"].cycle.period, demand, nil)
		sent, control := f.sent, always.sent
		f.run(seconds, demand, nil)
		always.run(seconds, demand, nil)
		used, want := (f.sent-sent)/seconds, (always.sent-control)/seconds
		t.Logf("to %v: %v units per second used after the change, %v without one", to, used, want)
		if math.Abs(used-want) > 0.03*to {
			t.Errorf("to %v: %v units per second used after the change, %v without one", to, used, want)
		}
		for id := range f.id {
			if f.answers[id+1] != 1 {
				t.Fatalf("request %d has %d answers", id+1, f.answers[id+1])
			}
		}
	}
}

// A request that waits for a counter reply while the terms change must be decided exactly once.
func TestTermsChangeDuringACounterCall(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	r := testRequest(1, "safe", "rate")
	r.Gateways = 50
	calls := actionsOf[CounterCall](g.Handle(1, r))
	if len(calls) != 1 {
		t.Fatalf("%d calls", len(calls))
	}
	out := g.Handle(
		1.01, Terms{Customer: "c", Plan: Plan{Rate: 5000, Burst: 5000, ValueWeight: 1}, Tag: "other"},
	)
	out = append(out, g.Handle(1.02, CounterReply{Name: calls[0].Name, Outcome: Succeeded, Total: 1})...)
	if len(actionsOf[Send](out))+len(actionsOf[Reject](out)) != 1 {
		t.Errorf("%v: want one answer or attempt", out)
	}
}

// The terms change at random between plans without a quota, with a limit on attempts in flight, and with a
// rate. No value may become NaN or a slice negative, and each request must be answered exactly once.
func TestTermsChangesAmongAllKindsOfPlans(t *testing.T) {
	s := testSettings()
	kinds := []Plan{{ValueWeight: 1}, {MaxInFlight: 3, ValueWeight: 1}, {
		Rate: 10, Burst: 20, ValueWeight: 1,
	}, {
		Rate: 5000, Burst: 9000, ValueWeight: 1,
	},
		{Rate: 10, Burst: 20, ValueWeight: 1, LimitRate: 20, LimitBurst: 40, LimitSlack: 4}}
	rng := rand.New(rand.NewPCG(5, 5))
	g := startedGateway(t, s, servingBackend("x"))
	m, answered, id := packedCounter{}, map[uint64]int{}, uint64(0)
	var handle func(now Seconds, e Event)
	handle = func(now Seconds, e Event) {
		for _, a := range g.Handle(now, e) {
			switch a := a.(type) {
			case CounterCall:
				handle(now, m.add(a))
			case Send:
				answered[a.ID]++
				handle(now, AttemptEnded{
					ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Answered: true, Duration: 0.01,
				})
			case Reject:
				answered[a.ID]++
			}
		}
	}
	for now := 1.0; now < 200; now += 0.05 {
		handle(now, Timer{"tick"})
		p := kinds[rng.IntN(len(kinds))]
		if rng.IntN(3) == 0 {
			handle(now, Terms{Customer: "c", Plan: p, Tag: p.Tag()})
			continue
		}
		id++
		r := testRequest(id, "safe", "free")
		r.Gateways, r.Terms = 8, &Terms{Plan: p, Tag: p.Tag()}
		handle(now, r)
		c := g.customers["c"]
		sum := c.bucket.tokens + c.bucket.slice + c.limit.tokens + c.sparse.admitRatio + c.sparse.demandShare
		if math.IsNaN(sum) || c.bucket.slice < 0 {
			t.Fatalf(
				"tokens %v, slice %v, limit tokens %v, ratio %v, share %v", c.bucket.tokens, c.bucket.slice,
				c.limit.tokens, c.sparse.admitRatio, c.sparse.demandShare,
			)
		}
	}
	handle(201, Timer{"tick"})
	for i := range id {
		if answered[i+1] != 1 {
			t.Fatalf("request %d has %d answers", i+1, answered[i+1])
		}
	}
}
