package decision

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The slices that all reporting gateways compute from the same totals must sum to what they may admit
// together.
func TestSlicesSumToTheQuota(t *testing.T) {
	for _, tc := range []struct {
		name     string
		rates    []float64 // demand at each reporting gateway
		gateways float64   // number of gateways that the customer may use
	}{
		{"two reporters, below the quota", []float64{4, 2}, 2},
		{"a reporter joins", []float64{4, 2, 3}, 3},
		{"a reporter leaves", []float64{6, 2}, 3},
		{"over the quota", []float64{30, 10}, 2},
		{"over the quota, one idle", []float64{30, 10}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			totalRate, sum, reporters := 0.0, 0.0, float64(len(tc.rates))
			for _, rate := range tc.rates {
				totalRate += rate
			}
			for _, rate := range tc.rates {
				g := New(testSettings(), 1)
				c := g.customerFor(Request{Customer: "c", Gateways: int(tc.gateways)}, g.plans["rate"])
				c.cycle.localRate = rate
				g.applyTotals(c, totalRate, reporters)
				sum += c.bucket.slice
				ratio := c.quota / totalRate
				if ratio < 1 && tc.gateways == reporters && math.Abs(c.bucket.slice/rate-ratio) > 1e-9 {
					t.Errorf("slice %v for demand %v: not the common ratio", c.bucket.slice, rate)
				}
			}
			// Idle gateways keep their part, which is never available to others.
			want := 10 * (1 - idleFraction*(tc.gateways-reporters)/tc.gateways)
			if math.Abs(sum-want) > 1e-9 {
				t.Errorf("slices sum to %v, want %v", sum, want)
			}
		})
	}
}

// A counter may restart empty or lose reports. A total that cannot be right must not change the slice.
func TestImpossibleTotalsLeaveTheSlice(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		totalRate, reporters float64
	}{
		{"counter restarted empty", 0, 0},
		{"own report lost", 2, 1},
		{"more reporters than gateways", 8, 5},
		{"far below the last total", 4.5, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := New(testSettings(), 1)
			g.now = 10
			c := g.customerFor(Request{Customer: "c", Gateways: 2}, g.plans["rate"])
			c.cycle.localRate, c.cycle.totalRate, c.cycle.reporters, c.cycle.totalAt = 4.4, 12, 2, 9
			c.bucket.slice = 3
			g.applyTotals(c, tc.totalRate, tc.reporters)
			if c.bucket.slice != 3 {
				t.Errorf("slice moved to %v", c.bucket.slice)
			}
		})
	}
}

// A customer that is hardly used must cause no counter calls, and its state must be deleted after idleExpiry.
// Otherwise calls and memory would grow with the number of customers.
func TestIdleCustomersMakeNoCallsAndExpire(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.Handle(0, testRequest(1, "safe", "rate"))
	g.Handle(0.1, AttemptEnded{ID: 1, Backend: "x", Outcome: Succeeded, Answered: true, Duration: 0.1})
	if calls := actionsOf[CounterCall](runTicks(g, 0.1, idleExpiry-1)); len(calls) > 0 {
		t.Errorf("%d calls for one request", len(calls))
	}
	if len(g.customers) != 1 {
		t.Fatal("customer deleted too early")
	}
	runTicks(g, idleExpiry, idleExpiry+1)
	if len(g.customers) != 0 || len(g.customerList) != 0 {
		t.Error("customer not deleted after an idle minute")
	}
}

// A reply without a call in this cycle, or for an unknown customer, must not change a slice.
func TestCounterRepliesForForgottenNamesAreIgnored(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.Handle(0, testRequest(1, "safe", "rate"))
	for _, name := range []string{
		"", "c", "c/zz", "nobody/1", g.customers["c"].counterName(g.customers["c"].cycle.number),
	} {
		g.Handle(1, CounterReply{Name: name, Outcome: Succeeded, Total: 5e5})
	}
	if got := g.customers["c"].bucket.slice; got != 5 {
		t.Errorf("slice moved to %v", got)
	}
}

// A gateway whose report the counter has lost keeps its last slice, and the others leave it only the part of
// an idle gateway. The slices may then exceed the quota by the difference of the two at most.
func TestLostReportShiftsTheSumByABoundedPart(t *testing.T) {
	// Three gateways have a demand of 12 with a quota of 10. The third one's report is lost, so it keeps
	// its last slice.
	const last, n = 4.0, 3.0
	sum := last
	for range 2 {
		g := New(testSettings(), 1)
		c := g.customerFor(Request{Customer: "c", Gateways: n}, g.plans["rate"])
		c.cycle.localRate = 4
		g.applyTotals(c, 8, 2)
		sum += c.bucket.slice
	}
	if above := sum - 10; above < 0 || above > last-idleFraction*10/n+1e-9 {
		t.Errorf("sum %v above the quota; the bound is the third slice less the idle part", above)
	}
}

// A packed number has seven digits. They must hold the exact number of 500 reporters and their total rate to
// 2%, even at twice the quota.
func TestTotalsOf500GatewaysAreRightAndSlicesSumToTheQuota(t *testing.T) {
	for _, over := range []float64{0.6, 2} { // demand as a multiple of the quota
		s := testSettings()
		s.Plans = []Plan{{Name: "rate", Rate: 5000, Burst: 10000, ValueWeight: 1, ExcessCost: 1}}
		const n = 500
		counter, rng := packedCounter{}, rand.New(rand.NewPCG(1, 2))
		totalRate, reporters := 0.0, 0.0
		var all []*customer
		var gateways []*Gateway
		for i := range n {
			g := New(s, uint64(i))
			g.now = 100
			c := g.customerFor(Request{Customer: "c", Gateways: n}, g.plans["rate"])
			if c.sparse.active {
				t.Fatal("a customer with 20 units per cycle at each gateway must not be sparse")
			}
			c.cycle.startedAt = 100 - c.cycle.period
			c.cycle.demand = over * 5000 / n * c.cycle.period * (0.8 + 0.4*rng.Float64())
			totalRate += c.cycle.demand / c.cycle.period
			reporters++
			g.closeCycle(c)
			for _, call := range actionsOf[CounterCall](g.actions) {
				counter.add(call)
			}
			all, gateways = append(all, c), append(gateways, g)
		}
		sum := 0.0
		for i, c := range all {
			c.cycle.stage = stageReading
			gateways[i].handleCounterReply(CounterReply{
				Name: c.counterName(c.cycle.number), Outcome: Succeeded,
				Total: counter[c.counterName(c.cycle.number)],
			})
			if c.cycle.reporters != reporters || math.Abs(c.cycle.totalRate-totalRate) > 0.02*totalRate {
				t.Fatalf(
					"gateway %d read %v of %v reporters and %v units of %v", i, c.cycle.reporters, reporters,
					c.cycle.totalRate, totalRate,
				)
			}
			sum += c.bucket.slice
		}
		if math.Abs(sum-5000) > 100 {
			t.Errorf("with a demand of %v quotas slices sum to %v, want 5000", over, sum)
		}
	}
}
