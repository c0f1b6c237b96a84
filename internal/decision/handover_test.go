package decision

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// upgraded plays three gateways of a member for a while, then ten seconds more in which the first is two processes, with
// the younger one joined by a function. It returns what was sent on in these.
func upgraded(t *testing.T, plan Plan, demand float64, join func(f *member, old, young *Gateway)) (sent float64, f *member) {
	f = newMember(t, 3, &Terms{Customer: "c", Plan: plan, Tag: plan.Tag()})
	f.doors = 3
	each := []float64{demand / 3, demand / 3, demand / 3}
	f.play(20, each, nil)
	if join != nil {
		s := testSettings()
		s.Gateways = 3
		young := younger(f, s, 9, up("x", 0), up("y", 0))
		join(f, f.gateways[0], young)
		f.gateways, f.terms, f.owed = append(f.gateways, young), append(f.terms, f.terms[0]), append(f.owed, 0)
		each = []float64{demand / 6, demand / 3, demand / 3, demand / 6}
	}
	before := f.sent
	f.play(10, each, nil)
	return f.sent - before, f
}

// younger is a process that has just started and heard the list.
func younger(f *member, s Settings, seed uint64, list ...Backend) *Gateway {
	g := New(s, seed)
	g.Handle(f.now, Start{})
	g.Handle(f.now, Backends{Complete: true, List: list})
	return g
}

// Both processes of an upgrade are one gateway to a member: they send on what the one would, by quota and by ceiling, where
// two that know nothing of each other send on more.
func TestTwoProcessesAreOneGateway(t *testing.T) {
	quota := Plan{Name: "q", Rate: 30, Burst: 60, ValueWeight: 1, ExcessCost: 1}
	hard := Plan{Name: "h", Rate: 15, Burst: 30, ValueWeight: 1, ExcessValue: 0.5, LimitRate: 30, LimitBurst: 60, LimitSlack: 6}
	for _, tc := range []struct {
		name   string
		plan   Plan
		demand float64
	}{{"quota", quota, 90}, {"ceiling", hard, 90}, {"inside the quota", quota, 20}} {
		t.Run(tc.name, func(t *testing.T) {
			one, _ := upgraded(t, tc.plan, tc.demand, nil)
			pair, _ := upgraded(t, tc.plan, tc.demand, func(f *member, old, young *Gateway) {
				k := old.HandOver(f.now)
				old.SetShare(0.5, false)
				young.SetShare(0.5, true)
				if c, b := young.Restore(f.now, k); c != 1 || b != 2 {
					t.Fatalf("took up %d customers and %d backends", c, b)
				}
			})
			strangers, _ := upgraded(t, tc.plan, tc.demand, func(f *member, old, young *Gateway) {})
			t.Logf("sent on in 10 s: one process %.0f, a pair %.0f, two strangers %.0f", one, pair, strangers)
			if pair > 1.1*one || pair < 0.85*one {
				t.Errorf("the pair sent on %.0f, one process %.0f", pair, one)
			}
			if tc.name == "quota" && strangers < 1.1*one {
				t.Errorf("strangers sent on %.0f, one process %.0f: the test cannot fail", strangers, one)
			}
		})
	}
}

// What is handed over is divided, not doubled, and taken up as if the time since had passed.
func TestShareAndTake(t *testing.T) {
	plan := Plan{Name: "q", Rate: 30, Burst: 60, ValueWeight: 1, ExcessCost: 1}
	_, f := upgraded(t, plan, 60, nil)
	old := f.gateways[0]
	old.now = f.now
	old.refill(old.customers["c"])
	before := old.customers["c"].bucket.tokens
	old.backends["x"].limit, old.backends["x"].latency = 40, 0.5
	k := old.HandOver(f.now)
	fresh := func() *Gateway { return younger(f, testSettings(), 2, up("x", 0)) }
	begin := fresh().backends["x"].limit
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
		{"by a clock that went back", -60, func(*Knowledge) {}, 0, begin},
		{"of an impossible store", 0, func(k *Knowledge) { k.Customers[0].Tokens = -1 }, 0, 40},
		{"of a server that is gone", 0, func(k *Knowledge) { k.Backends[0].ID, k.Backends[1].ID = "gone", "left" }, 1, begin},
		{"infinite", 0, func(k *Knowledge) {
			k.Backends[0].Limit, k.Backends[1].Limit = math.Inf(1), -1
			k.TypicalTime = math.Inf(1)
		}, 1, maxLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, changed := fresh(), k
			changed.Customers, changed.Backends = append([]CustomerKnowledge(nil), k.Customers...), append([]BackendKnowledge(nil), k.Backends...)
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
			if got := g.backends["x"].limit; tc.name != "infinite" && !cmp.Equal(tc.bound, got, approx) || math.IsInf(g.defaultPool.latency, 0) {
				t.Errorf("bound %v, want %v; usual time %v", got, tc.bound, g.defaultPool.latency)
			}
			if tc.age == 0 && customers == 1 {
				if sum := old.customers["c"].bucket.tokens + g.customers["c"].bucket.tokens; !cmp.Equal(before, sum, approx) {
					t.Errorf("stores of %v and %v, before %v", old.customers["c"].bucket.tokens, g.customers["c"].bucket.tokens, before)
				}
			}
		})
	}
}

// A member whose store is below nothing, as its requests turned out larger than guessed, has no full one at the newer process.
func TestStoreBelowNothingIsHandedOverEmpty(t *testing.T) {
	plan := Plan{Name: "q", Rate: 30, Burst: 60, ValueWeight: 1, ExcessCost: 1}
	_, f := upgraded(t, plan, 60, nil)
	old := f.gateways[0]
	old.now = f.now
	old.refill(old.customers["c"])
	old.customers["c"].bucket.tokens = -4
	g := younger(f, testSettings(), 2, up("x", 0))
	if customers, _ := g.Restore(f.now, old.HandOver(f.now)); customers != 1 {
		t.Fatalf("%d members taken up", customers)
	}
	if here, there := old.customers["c"].bucket.tokens, g.customers["c"].bucket.tokens; here != -4 || there != 0 {
		t.Errorf("stores of %v here and %v at the newer process, want -4 and 0", here, there)
	}
}
