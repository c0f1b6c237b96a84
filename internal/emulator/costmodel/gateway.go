package costmodel

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"

	"mulleinrouter/internal/decision"
)

// designIngresses is the number of ingresses that a gateway here is one of.
const designIngresses = 3300

// gatewayHarness is a gateway of the proxy as proxy sets it up, with a clock that only moves as told.
type gatewayHarness struct {
	gateway     *decision.Gateway
	now         float64
	lastRequest uint64
	class       *decision.Class
	terms       []*decision.Terms
	acts        int
}

// newGatewayHarness is a gateway before so many servers, in groups of so many, that has met so many tenants.
func newGatewayHarness(servers, group, tenants, gateways int) *gatewayHarness {
	x := &gatewayHarness{
		class: &decision.Class{
			Name:          "r",
			LatencyTarget: 0.4,
			Deadline:      1,
			Value:         1,
			LateValue:     0.5,
			MaxAttempts:   2,
			MaxQueueTime:  0.088,
			Effect:        decision.Idempotent,
		},
	}
	x.gateway = decision.New(
		decision.Settings{
			Gateways:        designIngresses,
			Index:           1,
			Zone:            "region-hall-1",
			AnswerSlack:     0.02,
			SlowStartShare:  0.5,
			SlowStartTime:   3,
			MaxAttempts:     2,
			MayCancel:       true,
			MayRetryAfter:   true,
			MaxRetryAfter:   0.5,
			ConnectTimeout:  0.25,
			Keepalive:       8,
			HasCounter:      true,
			CounterTimeout:  0.35,
			CapacityInSlots: true,
			RemoteZoneCost:  1.25,
			PairCounters:    true,
			CounterCycle:    1,
			RetryShare:      0.16,
			RetrySlack:      48,
		},
		1,
	)
	x.gateway.Handle(0, decision.Start{})
	list := make([]decision.Backend, servers)
	for i := range list {
		s := instance(i, 1)
		list[i] = decision.Backend{ID: s.ID, Group: fmt.Sprint("g", i/group), Kind: "k", Zone: s.Zone, Serving: true, Size: 3}
	}
	x.gateway.Handle(0, decision.Backends{List: list})
	x.now = 20
	for i := range tenants {
		x.terms = append(
			x.terms,
			&decision.Terms{
				Customer: tenantName(i),
				Tag:      "7",
				Plan:     decision.Plan{Name: tenantName(i), Rate: float64(10 + i%90), Burst: 50, ValueWeight: 1},
			},
		)
		x.request(i, "g0", gateways)
	}
	return x
}

// request has the gateway decide a request of a tenant, answers its call of the counter if it makes one, and ends its
// attempt.
func (x *gatewayHarness) request(tenant int, group string, gatewayCount int) {
	x.lastRequest++
	r := decision.Request{ID: x.lastRequest, Class: "r", Kind: x.class, Group: group, TimeLeft: 0.9, Units: 1,
		Gateways: gatewayCount}
	if len(x.terms) > 0 {
		t := x.terms[tenant%len(x.terms)]
		r.Customer, r.Terms = t.Customer, t
	}
	x.follow(x.gateway.Handle(x.now, r))
}

func (x *gatewayHarness) follow(actions []decision.Action) {
	x.acts += len(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case decision.CounterCall:
			x.follow(
				x.gateway.Handle(
					x.now,
					decision.CounterReply{Name: a.Name, Outcome: decision.Succeeded, Total: max(1, a.Add), Reporters: 2},
				),
			)
		case decision.Send:
			x.follow(
				x.gateway.Handle(
					x.now,
					decision.AttemptEnded{ID: a.ID, Attempt: 1, Backend: a.Backend, Outcome: decision.Succeeded, Duration: 0.01},
				),
			)
		}
	}
}

func (x *gatewayHarness) tick() {
	x.now += 0.05
	x.follow(x.gateway.Handle(x.now, decision.Timer{Token: "tick"}))
}

// measureGateway are the proxy's decisions. Requests come at the pace of one ingress of the size to design for; ticks are
// not counted with them.
func measureGateway(m *meter) {
	m.measureMemory(
		Series{
			Name:        "gateway.server",
			Description: "live heap of a Gateway by the servers it knows, in groups of 20",
			SizeUnit:    "servers",
		},
		nil,
		func(_ any, n int) any { return newGatewayHarness(n, serversPerService, 0, 1) },
		500,
		2000,
		8000,
		20000,
		50000,
	)
	m.measureMemory(
		Series{
			Name:        "gateway.tenant",
			Description: "live heap of a Gateway by the tenants that asked within the minute, terms with it",
			SizeUnit:    "tenants",
		},
		nil,
		func(_ any, n int) any { return newGatewayHarness(20, serversPerService, n, designIngresses) },
		500,
		2000,
		8000,
		20000,
		50000,
	)
	m.measureRequests(
		Series{
			Name:        "request.servers",
			Description: "one request decided and ended, 400 a second to one group",
			SizeUnit:    "servers of the group",
		},
		func(n int) *gatewayHarness {
			return newGatewayHarness(n, n, 100, 1)
		},
		20,
		100,
		300,
		1000,
		2000,
	)
	m.measureRequests(
		Series{
			Name:        "request.tenants",
			Description: "one request decided and ended, its counter asked and told",
			SizeUnit:    "tenants",
			Logarithmic: true,
		},
		func(n int) *gatewayHarness {
			return newGatewayHarness(20, serversPerService, n, designIngresses)
		},
		2000,
		5000,
		10000,
		25000,
		60000,
	)
	// Sizes at which what a tick walks is not in the processor's caches: fifty milliseconds of other work lie between
	// two ticks.
	m.measureTime(
		Series{Name: "tick.servers", Description: "one tick of a Gateway (20 a second), no request", SizeUnit: "servers"},
		50,
		func(n int) func(int) {
			x := newGatewayHarness(n, serversPerService, 0, 1)
			return func(int) { x.tick() }
		},
		16000,
		32000,
		64000,
		120000,
		200000,
	)
	m.measureTime(
		Series{
			Name:        "tick.thin",
			Description: "one tick of a Gateway, tenants whose requests are reports of their own",
			SizeUnit:    "tenants",
		},
		20,
		func(n int) func(int) {
			x := newGatewayHarness(20, serversPerService, n, designIngresses)
			return func(int) { x.tick() }
		},
		10000,
		20000,
		40000,
		60000,
		100000,
	)
	m.measureTime(
		Series{
			Name:        "tick.sliced",
			Description: "one tick of a Gateway, tenants that report and read each second, the codec and the way not counted",
			SizeUnit:    "tenants",
		},
		20,
		func(n int) func(int) {
			x := newGatewayHarness(20, serversPerService, n, 2)
			return func(int) { x.tick() }
		},
		10000,
		20000,
		40000,
		60000,
		100000,
	)
}

// measureRequests measures the processor time of a request. Twenty are decided between two ticks, which are not counted.
func (m *meter) measureRequests(s Series, newGate func(n int) *gatewayHarness, sizes ...int) {
	const block, warm, blocks = 20, 100, 60
	s.Unit = "s"
	gateways := 1
	if s.SizeUnit == "tenants" {
		gateways = designIngresses
	}
	var gates []*gatewayHarness
	var points []Point
	tenant := 0
	run := func(x *gatewayHarness) {
		for range block {
			tenant += 7919
			x.request(tenant, "g0", gateways)
		}
	}
	for _, n := range m.sizes(sizes...) {
		x := newGate(n)
		for range warm {
			x.tick()
			run(x)
		}
		gates, points = append(gates, x), append(points, Point{Size: float64(n), Cost: math.Inf(1), AllocBytes: math.Inf(1)})
	}
	runtime.GC()
	for range repetitions {
		for i, x := range gates {
			p := &points[i]
			gc, sum := debug.SetGCPercent(-1), 0.0
			for range blocks {
				x.tick()
				at := processorTime()
				run(x)
				sum += processorTime() - at
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			run(x)
			runtime.ReadMemStats(&after)
			debug.SetGCPercent(gc)
			p.Cost, p.AllocBytes = min(p.Cost, sum/(block*blocks)), min(p.AllocBytes, float64(after.TotalAlloc-before.TotalAlloc)/block)
		}
	}
	m.addSeries(s, points)
}
