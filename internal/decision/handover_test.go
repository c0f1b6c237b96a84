package decision

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// runUpgrade simulates three gateways of a customer for 20 s, and then 10 s more. With a join function, the
// first gateway is two processes in these 10 s, and the function sets up the newer one. It returns the
// number of requests that were forwarded in the 10 s.
func runUpgrade(
	t *testing.T, plan Plan, demand float64, join func(f *customerFleet, old, newer *Gateway),
) (sent float64, f *customerFleet) {
	f = newCustomerFleet(t, 3, &Terms{Customer: "c", Plan: plan, Tag: plan.Tag()})
	f.customerGateways = 3
	each := []float64{demand / 3, demand / 3, demand / 3}
	f.run(20, each, nil)
	if join != nil {
		s := testSettings()
		s.Gateways = 3
		newer := newProcess(f, s, 9, servingBackend("x"), servingBackend("y"))
		join(f, f.gateways[0], newer)
		f.gateways = append(f.gateways, newer)
		f.terms = append(f.terms, f.terms[0])
		f.pendingUnits = append(f.pendingUnits, 0)
		each = []float64{demand / 6, demand / 3, demand / 3, demand / 6}
	}
	before := f.sent
	f.run(10, each, nil)
	return f.sent - before, f
}

// newProcess is a process that has just started and received the endpoint list.
func newProcess(f *customerFleet, s Settings, seed uint64, list ...Backend) *Gateway {
	g := New(s, seed)
	g.Handle(f.now, Start{})
	g.Handle(f.now, Backends{Complete: true, List: list})
	return g
}

// The two processes of an upgrade act as one gateway: by quota and by rate limit they forward about as much
// as one process, while two independent processes forward more.
func TestTwoProcessesAreOneGateway(t *testing.T) {
	quota := Plan{Name: "q", Rate: 30, Burst: 60, ValueWeight: 1, ExcessCost: 1}
	hard := Plan{
		Name: "h", Rate: 15, Burst: 30, ValueWeight: 1, ExcessValue: 0.5, LimitRate: 30, LimitBurst: 60,
		LimitSlack: 6,
	}
	for _, tc := range []struct {
		name   string
		plan   Plan
		demand float64
	}{{"quota", quota, 90}, {"rate limit", hard, 90}, {"within the quota", quota, 20}} {
		t.Run(tc.name, func(t *testing.T) {
			one, _ := runUpgrade(t, tc.plan, tc.demand, nil)
			pair, _ := runUpgrade(t, tc.plan, tc.demand, func(f *customerFleet, old, newer *Gateway) {
				k := old.HandOver(f.now)
				old.SetShare(0.5, false)
				newer.SetShare(0.5, true)
				if c, b := newer.Restore(f.now, k); c != 1 || b != 2 {
					t.Fatalf("restored %d customers and %d backends", c, b)
				}
			})
			independent, _ := runUpgrade(
				t, tc.plan, tc.demand, func(f *customerFleet, old, newer *Gateway) {},
			)
			t.Logf(
				"forwarded in 10 s: one process %.0f, a pair %.0f, two independent ones %.0f",
				one, pair, independent,
			)
			if pair > 1.1*one || pair < 0.85*one {
				t.Errorf("the pair forwarded %.0f, one process %.0f", pair, one)
			}
			if tc.name == "quota" && independent < 1.1*one {
				t.Errorf("independent ones forwarded %.0f, one %.0f: the test cannot fail", independent, one)
			}
		})
	}
}

// infiniteKnowledge sets invalid limits of backends and an infinite typical latency.
func infiniteKnowledge(k *Knowledge) {
	k.Backends[0].Limit, k.Backends[1].Limit = math.Inf(1), -1
	k.TypicalTime = math.Inf(1)
}

// Tokens that are handed over are divided between the processes, not duplicated, and the newer process ages
// the restored state by the time since.
func TestHandOverAndRestore(t *testing.T) {
	plan := Plan{Name: "q", Rate: 30, Burst: 60, ValueWeight: 1, ExcessCost: 1}
	_, f := runUpgrade(t, plan, 60, nil)
	old := f.gateways[0]
	old.now = f.now
	old.refill(old.customers["c"])
	before := old.customers["c"].bucket.tokens
	old.backends["x"].limit, old.backends["x"].latency = 40, 0.5
	k := old.HandOver(f.now)
	startProcess := func() *Gateway { return newProcess(f, testSettings(), 2, servingBackend("x")) }
	begin := startProcess().backends["x"].limit
	approx := cmpopts.EquateApprox(0, 1e-6)
	for _, tc := range []struct {
		name             string
		age              Seconds
		k                func(k *Knowledge)
		customers, bound float64
	}{
		{"at once", 0, func(*Knowledge) {}, 1, 40},
		{"10 s later", 10, func(*Knowledge) {}, 1, begin + (40-begin)/math.E},
		{"an hour later", 3600, func(*Knowledge) {}, 0, begin},
		{"by a clock that was set back", -60, func(*Knowledge) {}, 0, begin},
		{"of an invalid bucket", 0, func(k *Knowledge) { k.Customers[0].Tokens = -1 }, 0, 40},
		{
			"of a removed server", 0,
			func(k *Knowledge) { k.Backends[0].ID, k.Backends[1].ID = "gone", "left" }, 1, begin,
		},
		{"infinite", 0, infiniteKnowledge, 1, maxLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, changed := startProcess(), k
			changed.Customers = append([]CustomerKnowledge(nil), k.Customers...)
			changed.Backends = append([]BackendKnowledge(nil), k.Backends...)
			for i, b := range changed.Backends {
				if b.ID == "x" && i > 0 {
					changed.Backends[0], changed.Backends[i] = changed.Backends[i], changed.Backends[0]
				}
			}
			tc.k(&changed)
			customers, _ := g.Restore(f.now+tc.age, changed)
			if diff := cmp.Diff(tc.customers, float64(customers)); diff != "" {
				t.Error("customers", diff)
			}
			got, latency := g.backends["x"].limit, g.defaultPool.latency
			if tc.name != "infinite" && !cmp.Equal(tc.bound, got, approx) || math.IsInf(latency, 0) {
				t.Errorf("limit %v, want %v; typical latency %v", got, tc.bound, latency)
			}
			if tc.age != 0 || customers != 1 {
				return
			}
			here, there := old.customers["c"].bucket.tokens, g.customers["c"].bucket.tokens
			if !cmp.Equal(before, here+there, approx) {
				t.Errorf("buckets hold %v and %v, before %v", here, there, before)
			}
		})
	}
}

// A customer whose bucket is overdrawn, because its requests were larger than estimated, must not get a
// full bucket at the newer process.
func TestOverdrawnBucketIsHandedOverEmpty(t *testing.T) {
	plan := Plan{Name: "q", Rate: 30, Burst: 60, ValueWeight: 1, ExcessCost: 1}
	_, f := runUpgrade(t, plan, 60, nil)
	old := f.gateways[0]
	old.now = f.now
	old.refill(old.customers["c"])
	old.customers["c"].bucket.tokens = -4
	g := newProcess(f, testSettings(), 2, servingBackend("x"))
	if customers, _ := g.Restore(f.now, old.HandOver(f.now)); customers != 1 {
		t.Fatalf("%d customers restored, want 1", customers)
	}
	here, there := old.customers["c"].bucket.tokens, g.customers["c"].bucket.tokens
	if here != -4 || there != 0 {
		t.Errorf("buckets hold %v here and %v at the newer process, want -4 and 0", here, there)
	}
}
