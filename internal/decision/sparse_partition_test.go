package decision

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestThinQuotasHoldWhereGatewaysAreCutOff has a tenant whose quota is so small that each request asks the keeper rush, while every second or
// third gateway is cut off from it: what runs in any five seconds stays within the rule.
func TestThinQuotasHoldWhereGatewaysAreCutOff(t *testing.T) { thinRushes(t, 11, 20, 3) }

// TestThinQuotasOfManyGateways is the same for many gateways.
func TestThinQuotasOfManyGateways(t *testing.T) {
	thinRushes(t, 40, 20, 3)
	thinRushes(t, 40, 60, 2)
	thinRushes(t, 85, 4, 2)
	thinRushes(t, 85, 20, 1)
}

func thinRushes(t *testing.T, nodes int, rate float64, seeds uint64) {
	for _, part := range []int{2, 3, 1000} {
		for _, times := range []float64{3, 6, 9} {
			for _, gap := range []float64{0, 1, 4} {
				t.Run(fmt.Sprintf("%d gateways, %.0f a second, one of %d cut, %.0f quotas asked %.0f s later", nodes, rate, part, times, gap), func(t *testing.T) {
					t.Parallel()
					worst := 0
					plan := Plan{Rate: rate, Burst: rate, ValueWeight: 1}
					for seed := range seeds {
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
						t.Errorf("%d ran in five seconds, %d may", worst, allowed(plan))
					}
				})
			}
		}
	}
}

// TestThinQuotasWhileOneKeeperChanges has the keeper of one tenant out of reach of all gateways for a second, while those of seven others answer:
// nobody is cut off, so the stores serve what they hold, and hardly anything inside the quota is refused. Where no keeper answers, the stores stand
// for less, as others may be served beside them; a calm tenant is served from what comes in by the gateway's share.
func TestThinQuotasWhileOneKeeperChanges(t *testing.T) {
	is := is.New(t)
	const tenants = 8
	served := func(deaf string) float64 {
		asked, refused := 0, 0
		for seed := range uint64(8) {
			plan := Plan{Rate: 20, Burst: 20, ValueWeight: 1}
			w := newQuotaWorld(seed, 11, plan, func(i int) float64 { return tenants * 0.5 * plan.Rate / 11 * (0.5 + float64(i%3)*0.5) })
			w.tenants = tenants
			w.run(10, nil)
			for _, n := range w.nodes {
				n.asked, n.refused, n.cut = 0, 0, deaf == ""
			}
			w.deaf = deaf
			w.run(1, nil)
			for _, n := range w.nodes {
				asked, refused = asked+n.asked, refused+n.refused
			}
		}
		if deaf != "" {
			asked /= tenants // only its own are refused
		}
		return 1 - float64(refused)/float64(asked)
	}
	one, all := served("t0"), served("")
	is.True(one > 0.95)
	is.True(all > 0.75) // 0.58 where each request had a chance of its own
}
