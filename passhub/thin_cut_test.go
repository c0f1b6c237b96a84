package passhub

import "testing"

// TestThinQuotasHoldWhereGatewaysAreCutOff has a tenant whose quota is so small that each request asks the keeper rush, while every second or
// third gateway is cut off from it: what runs in any five seconds stays within the rule.
func TestThinQuotasHoldWhereGatewaysAreCutOff(t *testing.T) { thinRushes(t, 11) }

// TestThinQuotasOfManyGateways is the same for many gateways.
func TestThinQuotasOfManyGateways(t *testing.T) { thinRushes(t, 40) }

func thinRushes(t *testing.T, nodes int) {
	for _, part := range []int{2, 3, 1000} {
		for _, times := range []float64{3, 6, 9} {
			for _, gap := range []float64{0, 1, 4} {
				worst := 0
				plan := Plan{Rate: 20, Burst: 20, Price: 1}
				for seed := range uint64(3) {
					w := newQuotaWorld(seed, nodes, plan, func(i int) float64 { return 0.5 * plan.Rate / float64(nodes) * (0.5 + float64(i%3)*0.5) })
					w.run(14, nil)
					for i, n := range w.nodes {
						n.cut = i%part == part-1
					}
					w.run(gap, nil)
					for _, n := range w.nodes {
						n.rate *= 2 * times
					}
					w.run(8, nil)
					for _, n := range w.nodes {
						n.cut = false
					}
					w.run(4, nil)
					worst = max(worst, w.most(5))
				}
				if worst > allowed(plan) {
					t.Errorf("%d gateways, one of %d cut, %.0f quotas asked %.0f s later: %d ran in five seconds, %d may", nodes, part, times, gap, worst, allowed(plan))
				}
			}
		}
	}
}
