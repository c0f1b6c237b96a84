package decision

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestSparseQuotasHoldWhereGatewaysArePartitioned has a tenant whose quota is so small that each request asks
// the counter owner rush, while every second or third gateway is partitioned from it: what runs in any five
// seconds stays within the rule.
func TestSparseQuotasHoldWhereGatewaysArePartitioned(t *testing.T) { testSparseRushes(t, 11, 20, 3) }

// TestSparseQuotasOfManyGateways is the same for many gateways.
func TestSparseQuotasOfManyGateways(t *testing.T) {
	testSparseRushes(t, 40, 20, 3)
	testSparseRushes(t, 40, 60, 2)
	testSparseRushes(t, 85, 4, 2)
	testSparseRushes(t, 85, 20, 1)
}

func testSparseRushes(t *testing.T, nodes int, rate float64, seeds uint64) {
	for _, part := range []int{2, 3, 1000} {
		for _, times := range []float64{3, 6, 9} {
			for _, gap := range []float64{0, 1, 4} {
				t.Run(fmt.Sprintf(
					"%d gateways, %.0f a second, one of %d cut, %.0f quotas asked %.0f s later", nodes, rate,
					part, times, gap,
				), func(t *testing.T) {
					t.Parallel()
					worst := 0
					plan := Plan{Rate: rate, Burst: rate, ValueWeight: 1}
					for seed := range seeds {
						w := newQuotaWorld(
							seed, nodes, plan,
							func(i int) float64 {
								return 0.5 * plan.Rate / float64(nodes) * (0.5 + float64(i%3)*0.5)
							},
						)
						w.run(14)
						for i, n := range w.nodes {
							n.partitioned = i%part == part-1
						}
						w.run(gap)
						for _, n := range w.nodes {
							n.rate *= 2 * times
						}
						w.run(8)
						for _, n := range w.nodes {
							n.partitioned = false
						}
						w.run(4)
						worst = max(worst, w.maxAdmitted())
					}
					if worst > maxAllowed(plan) {
						t.Errorf("%d ran in five seconds, %d may", worst, maxAllowed(plan))
					}
				})
			}
		}
	}
}

// TestSparseQuotasWhileOneCounterOwnerChanges has the counter owner of one tenant out of reach of all
// gateways for a second, while those of seven others answer: nobody is partitioned, so the buckets serve what
// they hold, and hardly anything within the quota is rejected. Where no counter owner answers, the buckets
// stand for less, as others may be served beside them; a calm tenant is served from what comes in by the
// gateway's share.
func TestSparseQuotasWhileOneCounterOwnerChanges(t *testing.T) {
	is := is.New(t)
	const tenants = 8
	served := func(deaf string) float64 {
		asked, refused := 0, 0
		for seed := range uint64(8) {
			plan := Plan{Rate: 20, Burst: 20, ValueWeight: 1}
			w := newQuotaWorld(
				seed, 11, plan,
				func(i int) float64 {
					return tenants * 0.5 * plan.Rate / 11 * (0.5 + float64(i%3)*0.5)
				},
			)
			w.tenants = tenants
			w.run(10)
			for _, n := range w.nodes {
				n.requests, n.rejections, n.partitioned = 0, 0, deaf == ""
			}
			w.lostTenant = deaf
			w.run(1)
			for _, n := range w.nodes {
				asked, refused = asked+n.requests, refused+n.rejections
			}
		}
		if deaf != "" {
			asked /= tenants // only its own are rejected
		}
		return 1 - float64(refused)/float64(asked)
	}
	one, all := served("t0"), served("")
	is.True(one > 0.95)
	is.True(all > 0.75) // 0.58 where each request had a chance of its own
}
