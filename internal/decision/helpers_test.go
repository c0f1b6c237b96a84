package decision

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// testSettings returns the settings of two gateways that share a counter, with one class of each effect and
// one plan of each kind.
func testSettings() Settings {
	return Settings{
		Gateways: 2, Zone: "a", DrainGrace: 0.25, AnswerSlack: 0.016, SlowStartShare: 0.2, SlowStartTime: 10,
		OverloadFactor: 2.5, OverloadFor: 1, MaxAttempts: 3, MayCancel: true,
		MayRetryAfter: true, MaxRetryAfter: 1, HasCounter: true, CounterTimeout: 0.05, MaxUnits: 1,
		Classes: []Class{
			{Name: "safe", LatencyTarget: 1, Deadline: 3, Value: 1, LateValue: 0.1, Effect: Idempotent},
			{
				Name: "keyed", LatencyTarget: 1, Deadline: 3, Value: 1, LateValue: 0.1,
				Effect: IdempotentByKey, Scope: ScopeCell,
			},
			{Name: "unsafe", LatencyTarget: 1, Deadline: 3, Value: 1, LateValue: 0.1},
		},
		Plans: []Plan{
			{Name: "rate", Rate: 10, Burst: 20, ValueWeight: 1, ExcessCost: 1},
			{Name: "earns", Rate: 10, Burst: 20, ValueWeight: 1, ExcessValue: 0.5},
			{Name: "open", MaxInFlight: 2, ValueWeight: 1, ExcessCost: 0.6},
			{
				Name: "limited", Rate: 10, Burst: 20, ValueWeight: 1, ExcessValue: 0.1, LimitRate: 20,
				LimitBurst: 40, LimitSlack: 4,
			},
			{Name: "free", ValueWeight: 1},
		},
	}
}

// startedGateway returns a gateway that started at time 0 and has received its backends.
func startedGateway(t *testing.T, s Settings, backends ...Backend) *Gateway {
	t.Helper()
	g := New(s, 7)
	g.Handle(0, Start{})
	g.Handle(0, Backends{Complete: true, List: backends})
	return g
}

func servingBackend(id string) Backend { return Backend{ID: id, Zone: "a", Serving: true} }

func testRequest(id uint64, class, plan string) Request {
	return Request{ID: id, Class: class, Plan: plan, Customer: "c", TimeLeft: 3, Units: 1, Gateways: 2}
}

func actionsOf[T Action](actions []Action) (found []T) {
	for _, a := range actions {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

// runTicks sends the gateway the ticks between two times. Counter calls get no reply.
func runTicks(g *Gateway, from, to Seconds) (all []Action) {
	for now := from; now < to; now += tickInterval {
		all = append(all, g.Handle(now, Timer{"tick"})...)
	}
	return all
}

// packedCounter is a model of the counter service: it adds amounts by name.
type packedCounter map[string]float64

func (pc packedCounter) add(c CounterCall) CounterReply {
	pc[c.Name] += c.Add
	return CounterReply{Name: c.Name, Outcome: Succeeded, Total: pc[c.Name]}
}

// newTestFleet starts n gateways that share m backends.
func newTestFleet(n, m int) (gateways []*Gateway, list []Backend) {
	s := testSettings()
	s.Gateways = n
	for i := range m {
		list = append(list, servingBackend(fmt.Sprint("b", i)))
	}
	for i := range n {
		s.Index = i
		g := New(s, uint64(i))
		g.Handle(0, Start{})
		g.Handle(0, Backends{Complete: true, List: list})
		gateways = append(gateways, g)
	}
	return gateways, list
}

// runFleet sends a customer's requests through n gateways, chosen at random, and returns the units forwarded.
func runFleet(
	s Settings, plan string, n int, perSecond, seconds float64, reply func(CounterCall) CounterReply,
) (sent float64) {
	var gateways []*Gateway
	for i := range n {
		g := New(s, uint64(i))
		g.Handle(0, Start{})
		g.Handle(0, Backends{Complete: true, List: []Backend{servingBackend("x"), servingBackend("y")}})
		gateways = append(gateways, g)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range int(perSecond * seconds) {
		now, id := 1+float64(i)/perSecond, uint64(i+1)
		g := gateways[rng.IntN(n)]
		r := testRequest(id, "safe", plan)
		r.Gateways = n
		out := g.Handle(now, r)
		for len(actionsOf[CounterCall](out)) > 0 {
			out = g.Handle(now, reply(actionsOf[CounterCall](out)[0]))
		}
		for _, send := range actionsOf[Send](out) {
			sent++
			g.Handle(now, AttemptEnded{
				ID: send.ID, Backend: send.Backend, Outcome: Succeeded, Answered: true, Duration: 0.1,
			})
		}
	}
	return sent
}
