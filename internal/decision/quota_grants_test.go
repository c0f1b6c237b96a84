package decision

import (
	"fmt"
	"math"
	"testing"
)

// grantedGateway drives one gateway for some seconds with requests of one customer, a hundred a second, and
// counts what it forwards.
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

// A grant goes before what the gateway computes, until it expires; after that the gateway has what it
// keeps. Released, it goes by its own again.
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
			right QuotaGrant
			lease Seconds
			want  float64 // of the quota
		}{
			{QuotaGrant{}, 0, 0.25}, // no grant
			{QuotaGrant{Customer: "m", Rate: 0.9 * p.Rate, Keep: p.Rate / 16}, 60, 0.9},
			{QuotaGrant{Customer: "m", Rate: 0.05 * p.Rate, Keep: p.Rate / 16}, 60, 0.05},
			{QuotaGrant{Customer: "m", Rate: 0.9 * p.Rate, Keep: p.Rate / 16}, -1, 1.0 / 16},
			{
				QuotaGrant{Customer: "m", Rate: 1, Less: 0.15 * p.Rate, Keep: p.Rate / 16, Scaled: true}, 60,
				0.10,
			},
			{QuotaGrant{}, 0, 0.25},
		} {
			if row.right.Scaled && p.Rate < 10 {
				continue // of a sparse one, each request goes by the totals
			}
			var all []QuotaGrant
			if row.right.Customer != "" {
				all = append(all, row.right)
			}
			h.g.SetGrants(h.now, all, h.now+row.lease)
			h.run(3) // what the bucket holds, and the rate limit's
			got := h.run(40)
			if want := row.want * p.Rate; math.Abs(got-want) > 0.12*want+0.03 {
				t.Errorf(
					"%+v, granted %+v for %v: %.2f a second, want %.2f", p, row.right, row.lease, got, want,
				)
			}
		}
	}
}

// Others' word makes a server cost more, unless it has answered well here a moment ago; one that is not
// listed stays so.
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
		t.Errorf("what others reported is reported as its own: %s", bad)
	}
	other.errorRate = 0.6
	if bad := fmt.Sprint(h.g.UnhealthyServers(h.now)); bad != "[s2]" {
		t.Errorf("bad by its own answers: %s", bad)
	}
}
