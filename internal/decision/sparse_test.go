package decision

import "testing"

// Who is decided by chance, request by request, and who by the pinned step: buckets hold one request each at
// the least, and that is two bursts at the most.
func TestWhichCustomersAreSparse(t *testing.T) {
	for _, tc := range []struct {
		name        string
		rate, burst float64
		doors       int
		thin        bool
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
		e.Gateways = tc.doors
		g.Handle(1, e)
		if got := g.customers["c"].sparse.active; got != tc.thin {
			t.Errorf("%s: thin %v", tc.name, got)
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
		t.Errorf("%.2f of the quota sent on", share)
	}
}
