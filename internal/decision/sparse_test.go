package decision

import (
	"fmt"
	"testing"
)

// Sparse customers are decided by sampling, others by the pinned step: buckets hold one request each at
// least, and all together two bursts at most.
func TestWhichCustomersAreSparse(t *testing.T) {
	for _, tc := range []struct {
		name         string
		rate, burst  float64
		gatewayCount int
		sparse       bool
	}{
		{"a small member of a small fleet", 3, 15, 3, false},
		{"the same in a large fleet", 3, 15, 40, true},
		{"an even part of the burst that holds no request", 3, 10, 4, false},
		{"a request at each that is over two bursts", 3, 7, 4, true},
		{"a large member of a large fleet", 300, 900, 40, false},
		{"one ingress alone", 0.1, 1, 1, false},
	} {
		s := testSettings()
		s.MaxUnits = 4
		s.Plans = []Plan{{Name: "p", Rate: tc.rate, Burst: tc.burst, ValueWeight: 1, ExcessCost: 1}}
		g := startedGateway(t, s, servingBackend("b"))
		e := testRequest(1, "safe", "p")
		e.Gateways = tc.gatewayCount
		g.Handle(1, e)
		if got := g.customers["c"].sparse.active; got != tc.sparse {
			t.Errorf("%s: sparse %v", tc.name, got)
		}
	}
}

// Three gateways of a small customer that asks three times its quota forward nearly all of it, and no more.
func TestSmallCustomerOfASmallFleetGetsItsQuota(t *testing.T) {
	plan := Plan{Name: "b", Rate: 3, Burst: 15, ValueWeight: 1, ExcessCost: 1}
	f := newCustomerFleet(t, 3, &Terms{Customer: "c", Plan: plan, Tag: plan.Tag()})
	f.run(30, []float64{5, 3, 1}, nil) // the burst is used up
	before := f.sent
	f.run(200, []float64{5, 3, 1}, nil)
	if share := (f.sent - before) / (200 * plan.Rate); share < 0.93 || share > 1.05 {
		t.Errorf("%.2f of the quota forwarded", share)
	}
}

// A small customer of which nothing is known gets the even share: no sum of gateways passes the quota by it,
// however many of its like are beyond theirs.
func TestUnknownSmallCustomerIsNotEstimatedFromOthers(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "sparse", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1}}
	g, id := startedGateway(t, s, servingBackend("b")), uint64(0)
	tries := func(customer string, from Seconds, outcome Outcome, total float64) (sent int) {
		for i := range 200 {
			now := from + float64(i)*0.1
			id++
			e := testRequest(id, "safe", "sparse")
			e.Customer, e.Gateways = customer, 4
			out := g.Handle(now, e)
			for n := 0; n < len(out); n++ { // an answer may be followed by another call
				if a, ok := out[n].(CounterCall); ok {
					reply := CounterReply{Name: a.Name, Outcome: outcome, Total: total}
					out = append(out, g.Handle(now, reply)...)
				}
			}
			for _, a := range actionsOf[Send](out) {
				sent++
				g.Handle(now, AttemptEnded{
					ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
				})
			}
		}
		return sent
	}
	for i := range 10 {
		tries(fmt.Sprint("heavy", i), 1+20*float64(i), Succeeded, 100)
	}
	// 20 s at a quarter of a unit a second.
	if sent := tries("unknown", 300, ConnectionRefused, 0); sent < 4 || sent > 7 {
		t.Errorf("%d of 200 forwarded in 20 s", sent)
	}
}

// Between two totals a sparse customer's ratio lets in no more than its slice and its part of the burst. Else
// a customer that asked little when the counter fell silent got in whatever it asked for afterwards.
func TestRisingDemandOfASparseCustomerIsBoundedBetweenTotals(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "sparse", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1}}
	g, id := startedGateway(t, s, servingBackend("b")), uint64(0)
	try := func(now Seconds, outcome Outcome) (sent int) {
		id++
		e := testRequest(id, "safe", "sparse")
		e.Gateways = 5
		out := g.Handle(now, e)
		for _, a := range actionsOf[CounterCall](out) {
			out = append(out, g.Handle(now, CounterReply{Name: a.Name, Outcome: outcome, Total: 1})...)
		}
		for _, a := range actionsOf[Send](out) {
			sent++
			g.Handle(now, AttemptEnded{
				ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
			})
		}
		return sent
	}
	if sent := try(1, Succeeded); sent != 1 {
		t.Fatalf("%d forwarded while the counter answers", sent)
	}
	sent := 0
	for i := range 100 {
		sent += try(2+float64(i)*0.1, TimedOut)
	}
	if sent < 3 || sent > 10+2 { // the full quota and the burst are the most that any gateway may use
		t.Errorf("%d of 100 forwarded in 10 s", sent)
	}
}

// Not watched, a small customer still has its even part of the buckets: those of all gateways are one and a
// half bursts, no more. With a capacity of one request only, pairs of requests were rejected far within
// quotas.
func TestUnsampledSmallCustomerHasItsShareOfTheBurst(t *testing.T) {
	s := testSettings()
	s.HasCounter = false
	s.Plans = []Plan{{Name: "sparse", Rate: 1, Burst: 20, ValueWeight: 1, ExcessCost: 1}}
	g, sent := startedGateway(t, s, servingBackend("a"), servingBackend("b")), 0
	for id := range uint64(10) {
		e := testRequest(id+1, "safe", "sparse")
		e.Gateways = 4
		for _, a := range actionsOf[Send](g.Handle(1, e)) {
			sent++
			g.Handle(1, AttemptEnded{
				ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
			})
		}
	}
	if sent != 7 {
		t.Errorf("%d of 10 forwarded at once, want a quarter of one and a half bursts of 20", sent)
	}
}

// Later big-1: slices below one request.
func TestSparseCustomerKeepsItsQuotaOver200Gateways(t *testing.T) {
	for _, tc := range []struct{ perSecond, minForwarded, maxForwarded float64 }{
		{5, 5*20 - 1, 5 * 20},                   // half the quota: all is forwarded
		{40, 0.6 * 10 * 20, 1.1*10*20 + 20 + 4}, // four times the quota: no more than it and the burst
	} {
		counter := packedCounter{}
		got := runFleet(testSettings(), "rate", 200, tc.perSecond, 20, counter.add)
		if got < tc.minForwarded || got > tc.maxForwarded {
			t.Errorf(
				"%v a second for 20 s: %v forwarded, want %v to %v",
				tc.perSecond, got, tc.minForwarded, tc.maxForwarded,
			)
		}
	}
}

// No answer, ever: one request for each gateway at most.
func TestUnknownSparseCustomerGetsTheEvenShare(t *testing.T) {
	down := func(c CounterCall) CounterReply { return CounterReply{Name: c.Name, Outcome: TimedOut} }
	if got := runFleet(testSettings(), "rate", 50, 40, 20, down); got < 40 || got > 50+10*20 {
		t.Errorf("%v forwarded without a counter, want one for each gateway and the quota at most", got)
	}
}

func TestSampledCustomersAreTheSameAtAllGateways(t *testing.T) {
	var first []bool
	for seed := range uint64(5) {
		s := testSettings()
		for i := range s.Plans {
			s.Plans[i].ExcessValue = 2 // forwarded over quota too: an answer decides nothing
		}
		g := New(s, seed)
		g.counter.callProbability = 0.75
		var watched []bool
		n := 0
		for i := range 200 {
			r := &request{Request: Request{Customer: fmt.Sprint("c", i), Units: 4, Gateways: 200}}
			r.customer = g.customerFor(r.Request, g.plans["rate"])
			watched = append(watched, g.callProbability(r.customer, r) > 0)
			if watched[i] {
				n++
			}
		}
		if n < 30 || n > 100 {
			t.Errorf("%d of 200 watched at a chance of 0.75", n)
		}
		if first == nil {
			first = watched
		}
		for i := range watched {
			if watched[i] != first[i] {
				t.Fatalf("gateways differ on customer %d", i)
			}
		}
	}
}

// Half a day of a fleet's requests come a few at a time: no gateway may hold those back for a brake of its
// own.
// Zone+vast: 900 of 2,400 rejected in 2 s with servers idle.
func TestSparseTrafficIsNotQueued(t *testing.T) {
	gateways, _ := newTestFleet(80, 60)
	g, sent := gateways[0], 0
	for i := range 60 { // in threes, answered slowly one time in three
		out := g.Handle(1+float64(i/3)/2, testRequest(uint64(i+1), "safe", "free"))
		for _, send := range actionsOf[Send](out) {
			sent++
			took := 0.1
			if i%3 == 0 {
				took = 0.4
			}
			g.Handle(
				1+float64(i/3)/2+took,
				AttemptEnded{
					ID: send.ID, Backend: send.Backend, Outcome: Succeeded, Answered: true, Duration: took,
				},
			)
		}
	}
	if sent < 57 {
		t.Errorf("%d of 60 sent at once", sent)
	}
}

// What no call decides is decided by what came of those asked about: first tries and repeats, each by their
// kind.
// With an overloaded counter, a sixth was forwarded over quota (zone+vast).
func TestUnsampledRetriesAreEstimatedFromSampledOnes(t *testing.T) {
	s := testSettings()
	s.Gateways, s.MaxUnits = 80, 4
	s.Plans = []Plan{{Name: "costs", Rate: 3, Burst: 15, ValueWeight: 1, ExcessCost: 1}}
	g, id := New(s, 1), uint64(0)
	g.Handle(0, Start{})
	g.Handle(
		0,
		Backends{
			Complete: true,
			List:     []Backend{servingBackend("x"), servingBackend("y"), servingBackend("z")},
		},
	)
	submit := func(customer string, repeat bool, reply CounterReply) (sent int) {
		id++
		r := testRequest(id, "safe", "costs")
		r.Customer, r.Gateways, r.Units, r.ClientRetry = customer, 60, 2, repeat
		out := g.Handle(float64(id)/10, r)
		for n := 0; n < len(out); n++ {
			switch a := out[n].(type) {
			case CounterCall:
				reply.Name = a.Name
				out = append(out, g.Handle(float64(id)/10, reply)...)
			case Send:
				sent++
				g.Handle(
					float64(id)/10,
					AttemptEnded{
						ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
					},
				)
			}
		}
		return sent
	}
	for i := range 20 {
		submit(fmt.Sprint("calm", i), false, CounterReply{Outcome: Succeeded, Total: 2})
		submit(fmt.Sprint("heavy", i), true, CounterReply{Outcome: Succeeded, Total: 200})
	}
	first, again := 0, 0
	for i := range 40 {
		first += submit(fmt.Sprint("met", i), false, CounterReply{Outcome: ConnectionRefused})
		again += submit(fmt.Sprint("new", i), true, CounterReply{Outcome: ConnectionRefused})
	}
	if first < 38 || again > 2 {
		t.Errorf(
			"of 40 each that were not asked about, %d first requests and %d retries forwarded", first, again,
		)
	}
}
