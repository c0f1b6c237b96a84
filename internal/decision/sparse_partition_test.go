package decision

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestSparseQuotasHoldWhereGatewaysArePartitioned simulates a tenant whose quota is so small that each
// request calls the counter owner. Its demand rises while every second or third gateway is partitioned from
// the counter owner. The requests that are forwarded in any five seconds must stay within the rule.
func TestSparseQuotasHoldWhereGatewaysArePartitioned(t *testing.T) { testSparseRushes(t, 11, 20, 3) }

// TestSparseQuotasOfManyGateways is the same test with many gateways.
func TestSparseQuotasOfManyGateways(t *testing.T) {
	testSparseRushes(t, 40, 20, 3)
	testSparseRushes(t, 40, 60, 2)
	testSparseRushes(t, 85, 4, 2)
	testSparseRushes(t, 85, 20, 1)
}

// testSparseRushes simulates a tenant at half of its quota, whose demand rises to a multiple of the quota
// some time after a part of the gateways, or none, was partitioned. In any five seconds, no more requests
// than maxAllowed may be forwarded.
func testSparseRushes(t *testing.T, nodes int, rate float64, seeds uint64) {
	for _, part := range []int{2, 3, 1000} {
		for _, times := range []float64{3, 6, 9} {
			for _, gap := range []float64{0, 1, 4} {
				t.Run(fmt.Sprintf(
					"%d gateways, %.0f per second, one of %d cut off, %.0f quotas %.0f s later", nodes, rate,
					part, times, gap,
				), func(t *testing.T) {
					t.Parallel()
					worst := 0
					plan := Plan{Rate: rate, Burst: rate, ValueWeight: 1}
					for seed := range seeds {
						qs := newQuotaSimulation(
							seed, nodes, plan,
							func(i int) float64 {
								return 0.5 * plan.Rate / float64(nodes) * (0.5 + float64(i%3)*0.5)
							},
						)
						qs.run(14)
						for i, n := range qs.nodes {
							n.partitioned = i%part == part-1
						}
						qs.run(gap)
						for _, n := range qs.nodes {
							n.rate *= 2 * times
						}
						qs.run(8)
						for _, n := range qs.nodes {
							n.partitioned = false
						}
						qs.run(4)
						worst = max(worst, qs.maxAdmitted())
					}
					if worst > maxAllowed(plan) {
						t.Errorf("%d forwarded in five seconds, %d allowed", worst, maxAllowed(plan))
					}
				})
			}
		}
	}
}

// TestSparseQuotasWhileOneCounterOwnerChanges makes the counter owner of one tenant unreachable for all
// gateways for a second, while those of seven others reply. No gateway is partitioned, so the buckets admit
// what they hold, and hardly any request within the quota may be rejected. If no counter owner replies, the
// buckets hold less, because other gateways may admit requests at the same time. Most requests of a tenant
// within its quota must still be served, from the refill by the gateway's share.
func TestSparseQuotasWhileOneCounterOwnerChanges(t *testing.T) {
	is := is.New(t)
	const tenants = 8
	served := func(unreachable string) float64 {
		asked, refused := 0, 0
		for seed := range uint64(8) {
			plan := Plan{Rate: 20, Burst: 20, ValueWeight: 1}
			qs := newQuotaSimulation(
				seed, 11, plan,
				func(i int) float64 {
					return tenants * 0.5 * plan.Rate / 11 * (0.5 + float64(i%3)*0.5)
				},
			)
			qs.tenants = tenants
			qs.run(10)
			for _, n := range qs.nodes {
				n.requests, n.rejections, n.partitioned = 0, 0, unreachable == ""
			}
			qs.lostTenant = unreachable
			qs.run(1)
			for _, n := range qs.nodes {
				asked, refused = asked+n.requests, refused+n.rejections
			}
		}
		if unreachable != "" {
			asked /= tenants // only the requests of this tenant can be rejected
		}
		return 1 - float64(refused)/float64(asked)
	}
	one, all := served("t0"), served("")
	is.True(one > 0.95)
	is.True(all > 0.75) // 0.58 when each request was decided by an independent probability
}
