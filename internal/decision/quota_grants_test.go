package decision

import (
	"fmt"
	"math"
	"testing"
)

// grantedGateway drives a gateway with a hundred requests per second of a single customer, and counts the
// requests that it forwards.
type grantedGateway struct {
	g    *Gateway
	now  Seconds
	id   uint64
	sent float64
}

func newGrantedGateway(p Plan) *grantedGateway {
	h := &grantedGateway{
		g: New(
			Settings{
				Gateways: 4,
				Classes:  []Class{{Name: "c", LatencyTarget: 1, Deadline: 2, Value: 1, Effect: Idempotent}},
				Plans:    []Plan{p}, MaxUnits: 1,
			},
			1,
		),
		now: 1000,
	}
	h.handle(Start{})
	h.handle(Backends{
		Complete: true,
		List:     []Backend{{ID: "s1", Serving: true, Size: 1}, {ID: "s2", Serving: true, Size: 1}},
	})
	return h
}

func (gg *grantedGateway) handle(e Event) {
	for _, a := range gg.g.Handle(gg.now, e) {
		if s, ok := a.(Send); ok {
			gg.sent++
			gg.handle(AttemptEnded{
				ID: s.ID, Backend: s.Backend, Outcome: Succeeded, Duration: 0.001, Answered: true,
			})
		}
	}
}

func (gg *grantedGateway) run(seconds Seconds) float64 {
	gg.sent = 0
	for i := range int(seconds * 100) {
		gg.now += 0.01
		gg.id++
		gg.handle(Request{
			ID: gg.id, Class: "c", Plan: "p", Customer: "m", TimeLeft: 2, Units: 1, Gateways: 4,
		})
		if i%5 == 0 {
			gg.handle(Timer{"tick"})
			gg.g.ReapplyGrants(gg.now)
		}
	}
	return gg.sent / seconds
}

// A grant overrides the slice that the gateway computes, until it expires. Then its Reserved rate is in
// force. After the grant is removed, the gateway uses its own slice again.
func TestQuotaGrants(t *testing.T) {
	for _, p := range []Plan{
		{Name: "p", Rate: 40, Burst: 4, ValueWeight: 1, ExcessCost: 1},
		{
			Name: "p", Rate: 40, Burst: 4, ValueWeight: 1, ExcessCost: 1, LimitRate: 50, LimitBurst: 50,
			LimitSlack: 5,
		},
		{Name: "p", Rate: 2, Burst: 1, ValueWeight: 1, ExcessCost: 1}, // sparse
	} {
		h := newGrantedGateway(p)
		h.run(3)
		for _, row := range []struct {
			grant    QuotaGrant
			validity Seconds
			want     float64 // share of the quota
		}{
			{QuotaGrant{}, 0, 0.25}, // no grant
			{QuotaGrant{Customer: "m", Rate: 0.9 * p.Rate, Reserved: p.Rate / 16}, 60, 0.9},
			{QuotaGrant{Customer: "m", Rate: 0.05 * p.Rate, Reserved: p.Rate / 16}, 60, 0.05},
			{QuotaGrant{Customer: "m", Rate: 0.9 * p.Rate, Reserved: p.Rate / 16}, -1, 1.0 / 16},
			{
				QuotaGrant{
					Customer: "m", Rate: 1, Lent: 0.15 * p.Rate, Reserved: p.Rate / 16, Scaled: true,
				}, 60, 0.10,
			},
			{QuotaGrant{}, 0, 0.25},
		} {
			if row.grant.Scaled && p.Rate < 10 {
				continue // for a sparse customer, the counter's totals decide each request
			}
			var all []QuotaGrant
			if row.grant.Customer != "" {
				all = append(all, row.grant)
			}
			h.g.SetGrants(h.now, all, h.now+row.validity)
			h.run(3) // uses up the saved tokens of the quota and the rate limit
			got := h.run(40)
			if want := row.want * p.Rate; math.Abs(got-want) > 0.12*want+0.03 {
				t.Errorf(
					"%+v, granted %+v for %v: %.2f per second, want %.2f",
					p, row.grant, row.validity, got, want,
				)
			}
		}
	}
}

// A suspicion of other gateways raises the cost of a server, unless the server has recently answered this
// gateway successfully. A server that is not listed is ignored.
func TestSuspects(t *testing.T) {
	h := newGrantedGateway(Plan{Name: "p", Rate: 1000, Burst: 1000, ValueWeight: 1})
	h.run(2)
	own := h.g.backends["s1"]
	own.healthy, own.failures, own.recentAnswers = true, 0, 3
	other := h.g.backends["s2"]
	other.healthy, other.recentAnswers, other.errorRate = true, 0.1, 0
	h.g.SetSuspects(h.now, []string{"s1", "s2", "s3"})
	got := fmt.Sprint(
		own.healthy, own.errorRate < suspectErrorRate, other.healthy, other.errorRate, len(h.g.backends),
	)
	if want := fmt.Sprint(true, true, false, suspectErrorRate, 2); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if bad := fmt.Sprint(h.g.UnhealthyServers(h.now)); bad != "[]" {
		t.Errorf("suspicions of others are reported as own observations: %s", bad)
	}
	other.errorRate = 0.6
	if bad := fmt.Sprint(h.g.UnhealthyServers(h.now)); bad != "[s2]" {
		t.Errorf("unhealthy by own observations: %s", bad)
	}
}
