package decision

import (
	"fmt"
	"testing"
)

// Requests of sparse customers are admitted by sampling, those of others by the slice. Each bucket holds at
// least one request, and the buckets of a customer that is not sparse hold at most two bursts together.
func TestWhichCustomersAreSparse(t *testing.T) {
	for _, tc := range []struct {
		name         string
		rate, burst  float64
		gatewayCount int
		sparse       bool
	}{
		{"small customer of a small fleet", 3, 15, 3, false},
		{"same customer of a large fleet", 3, 15, 40, true},
		{"even share of the burst below one request", 3, 10, 4, false},
		{"one request at each gateway is over two bursts", 3, 7, 4, true},
		{"large customer of a large fleet", 300, 900, 40, false},
		{"only one ingress", 0.1, 1, 1, false},
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

// Three gateways of a small customer whose demand is three times its quota must forward nearly the complete
// quota, and no more.
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

// A small customer without valid totals gets the even share. So the gateways together do not exceed its
// quota, even if many other small customers are over theirs.
func TestUnknownSmallCustomerIsNotEstimatedFromOthers(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "sparse", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1}}
	g, id := startedGateway(t, s, servingBackend("b")), uint64(0)
	sendRequests := func(customer string, from Seconds, outcome Outcome, total float64) (sent int) {
		for i := range 200 {
			now := from + float64(i)*0.1
			id++
			e := testRequest(id, "safe", "sparse")
			e.Customer, e.Gateways = customer, 4
			out := g.Handle(now, e)
			for n := 0; n < len(out); n++ { // a reply may cause another call
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
		sendRequests(fmt.Sprint("heavy", i), 1+20*float64(i), Succeeded, 100)
	}
	// The even share is a quarter of a unit per second, for 20 s.
	if sent := sendRequests("unknown", 300, ConnectionRefused, 0); sent < 4 || sent > 7 {
		t.Errorf("%d of 200 forwarded in 20 s", sent)
	}
}

// Between two totals, a gateway must admit no more of a sparse customer than its slice and its part of the
// burst. Otherwise a customer with low demand at the time of the last reply would get any later demand
// admitted.
func TestRisingDemandOfASparseCustomerIsBoundedBetweenTotals(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "sparse", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1}}
	g, id := startedGateway(t, s, servingBackend("b")), uint64(0)
	sendRequest := func(now Seconds, outcome Outcome) (sent int) {
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
	if sent := sendRequest(1, Succeeded); sent != 1 {
		t.Fatalf("%d forwarded while the counter replies", sent)
	}
	sent := 0
	for i := range 100 {
		sent += sendRequest(2+float64(i)*0.1, TimedOut)
	}
	if sent < 3 || sent > 10+2 { // no gateway may use more than the complete quota and the burst
		t.Errorf("%d of 100 forwarded in 10 s", sent)
	}
}

// A small customer without sampling gets its even share of the buckets, which hold one and a half bursts
// over all gateways. With a capacity of only one request, pairs of requests were rejected although the
// customer was far below its quota.
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

// Guards against too few or too many admitted requests when slices are smaller than one request (later
// big-1).
func TestSparseCustomerKeepsItsQuotaOver200Gateways(t *testing.T) {
	for _, tc := range []struct{ perSecond, minForwarded, maxForwarded float64 }{
		{5, 5*20 - 1, 5 * 20},                   // half the quota: all is forwarded
		{40, 0.6 * 10 * 20, 1.1*10*20 + 20 + 4}, // four times the quota: about the quota and the burst
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

// Without any counter reply, at most one request per gateway and the quota are admitted.
func TestUnknownSparseCustomerGetsTheEvenShare(t *testing.T) {
	down := func(c CounterCall) CounterReply { return CounterReply{Name: c.Name, Outcome: TimedOut} }
	if got := runFleet(testSettings(), "rate", 50, 40, 20, down); got < 40 || got > 50+10*20 {
		t.Errorf("%v forwarded without a counter, want one for each gateway and the quota at most", got)
	}
}

// While the counter is overloaded, all gateways must sample the same customers, because a total from half of
// the gateways is noise.
func TestSampledCustomersAreTheSameAtAllGateways(t *testing.T) {
	var first []bool
	for seed := range uint64(5) {
		s := testSettings()
		for i := range s.Plans {
			s.Plans[i].ExcessValue = 2 // requests are also forwarded over quota, so the reply decides nothing
		}
		g := New(s, seed)
		g.counter.callProbability = 0.75
		var sampled []bool
		n := 0
		for i := range 200 {
			r := &request{Request: Request{Customer: fmt.Sprint("c", i), Units: 4, Gateways: 200}}
			r.customer = g.customerFor(r.Request, g.plans["rate"])
			sampled = append(sampled, g.callProbability(r.customer, r) > 0)
			if sampled[i] {
				n++
			}
		}
		if n < 30 || n > 100 {
			t.Errorf("%d of 200 sampled at a call probability of 0.75", n)
		}
		if first == nil {
			first = sampled
		}
		for i := range sampled {
			if sampled[i] != first[i] {
				t.Fatalf("gateways differ on customer %d", i)
			}
		}
	}
}

// A fleet receives only a few requests at a time for half a day. No gateway may queue them because of its own
// limits: 900 of 2,400 requests were rejected in 2 s while servers were idle (zone+vast).
func TestSparseTrafficIsNotQueued(t *testing.T) {
	gateways, _ := newTestFleet(80, 60)
	g, sent := gateways[0], 0
	for i := range 60 { // three at a time, one of which is slow
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

// Requests without a counter call are decided by the results of those with a call, separately for first
// requests and retries. Without this, a sixth of the forwarded requests were over quota while the counter
// was overloaded (zone+vast).
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
	submit := func(customer string, retry bool, reply CounterReply) (sent int) {
		id++
		r := testRequest(id, "safe", "costs")
		r.Customer, r.Gateways, r.Units, r.ClientRetry = customer, 60, 2, retry
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
	first, retries := 0, 0
	for i := range 40 {
		first += submit(fmt.Sprint("met", i), false, CounterReply{Outcome: ConnectionRefused})
		retries += submit(fmt.Sprint("new", i), true, CounterReply{Outcome: ConnectionRefused})
	}
	if first < 38 || retries > 2 {
		t.Errorf(
			"of 40 each without a call, %d first requests and %d retries forwarded", first, retries,
		)
	}
}
