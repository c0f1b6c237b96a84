package decision

import (
	"fmt"
	"math"
	"reflect"
	"testing"
)

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
				Name: "ceiling", Rate: 10, Burst: 20, ValueWeight: 1, ExcessValue: 0.1, LimitRate: 20,
				LimitBurst: 40, LimitSlack: 4,
			},
			{Name: "free", ValueWeight: 1},
		},
	}
}

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

// runTicks ticks the gateway from one time to another. Counter calls stay unanswered.
func runTicks(g *Gateway, from, to Seconds) (all []Action) {
	for now := from; now < to; now += tickInterval {
		all = append(all, g.Handle(now, Timer{"tick"})...)
	}
	return all
}

func TestPinnedStepKeepsTheSumAtTheQuota(t *testing.T) {
	for _, tc := range []struct {
		name string
		r    []float64 // demand at each reporting gateway
		n    float64   // gateways the customer may use
	}{
		{"two holders, room", []float64{4, 2}, 2},
		{"a holder joins", []float64{4, 2, 3}, 3},
		{"a holder leaves", []float64{6, 2}, 3},
		{"over the quota", []float64{30, 10}, 2},
		{"over the quota, one quiet", []float64{30, 10}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			R, sum, k := 0.0, 0.0, float64(len(tc.r))
			for _, r := range tc.r {
				R += r
			}
			for _, r := range tc.r {
				g := New(testSettings(), 1)
				c := g.customerFor(Request{Customer: "c", Gateways: int(tc.n)}, g.plans["rate"])
				c.cycle.localRate = r
				g.applyTotals(c, R, k)
				sum += c.bucket.slice
				if R > c.quota && tc.n == k && math.Abs(c.bucket.slice/r-c.quota/R) > 1e-9 {
					t.Errorf("slice %v of demand %v: not the common ratio", c.bucket.slice, r)
				}
			}
			want := 10 * (1 - quietFraction*(tc.n-k)/tc.n) // the quiet keep their part: never free for others
			if math.Abs(sum-want) > 1e-9 {
				t.Errorf("slices sum to %v, want %v", sum, want)
			}
		})
	}
}

func TestImpossibleTotalsLeaveTheSlice(t *testing.T) {
	for _, tc := range []struct {
		name string
		R, k float64
	}{
		{"emptied", 0, 0},
		{"own add lost", 2, 1},
		{
			"more holders than gateways", 8, 5,
		},
		{"far below the last", 4.5, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := New(testSettings(), 1)
			g.now = 10
			c := g.customerFor(Request{Customer: "c", Gateways: 2}, g.plans["rate"])
			c.cycle.localRate, c.cycle.totalRate, c.cycle.reporters, c.cycle.totalAt = 4.4, 12, 2, 9
			c.bucket.slice = 3
			g.applyTotals(c, tc.R, tc.k)
			if c.bucket.slice != 3 {
				t.Errorf("slice moved to %v", c.bucket.slice)
			}
		})
	}
}

func TestFailingCounterPausesCallsAndLeavesTheSlice(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Rejected, ConnectionRefused} {
		g := startedGateway(t, testSettings(), servingBackend("x"))
		calls := 0
		for i := 0; i < 400; i++ {
			now := float64(i) * tickInterval
			for j := 0; j < 3; j++ { // three customers asking for 20 units a second each
				r := testRequest(uint64(1000+i*3+j), "safe", "rate")
				r.Customer = fmt.Sprint("c", j)
				g.Handle(now, r)
			}
			out := g.Handle(now, Timer{"tick"})
			for _, call := range actionsOf[CounterCall](out) {
				calls++
				g.Handle(now, CounterReply{Name: call.Name, Outcome: outcome})
			}
		}
		for _, c := range g.customerList {
			if c.bucket.slice != 5 {
				t.Errorf("%v: slice moved to %v", outcome, c.bucket.slice)
			}
		}
		if calls == 0 || calls > 25 {
			t.Errorf("%v: %d calls in 20 s to a counter that is down", outcome, calls)
		}
	}
}

func TestQuietCustomersMakeNoCallsAndExpire(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.Handle(0, testRequest(1, "safe", "rate"))
	g.Handle(0.1, AttemptEnded{ID: 1, Backend: "x", Outcome: Succeeded, Answered: true, Duration: 0.1})
	if calls := actionsOf[CounterCall](runTicks(g, 0.1, idleExpiry-1)); len(calls) > 0 {
		t.Errorf("%d calls for one request", len(calls))
	}
	if len(g.customers) != 1 {
		t.Fatal("forgotten too early")
	}
	runTicks(g, idleExpiry, idleExpiry+1)
	if len(g.customers) != 0 || len(g.customerList) != 0 {
		t.Error("kept after an idle minute")
	}
}

func TestCounterRepliesForForgottenNamesAreIgnored(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.Handle(0, testRequest(1, "safe", "rate"))
	for _, name := range []string{
		"", "c", "c/zz", "nobody/1", g.customers["c"].counterName(g.customers["c"].cycle.number),
	} {
		g.Handle(1, CounterReply{Name: name, Outcome: Succeeded, Total: 5e5})
	}
	if got := g.customers["c"].bucket.slice; got != 5 {
		t.Errorf("slice moved to %v", got)
	}
}

func TestShortfallIsRejectedWithRetryAfter(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	refused := 0
	for i := uint64(0); i < 60; i++ {
		for _, a := range actionsOf[Reject](g.Handle(0, testRequest(i, "safe", "rate"))) {
			refused++
			if a.RetryAfter <= 0 || a.RetryAfter > 1 {
				t.Errorf("retry after %v", a.RetryAfter)
			}
		}
	}
	if refused < 40 {
		t.Errorf("only %d of 60 refused with a burst of 20", refused)
	}
}

func TestSettledUnitsOverdrawTheBucket(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.Handle(0, testRequest(1, "safe", "rate"))
	c := g.customers["c"]
	c.bucket.tokens = 1
	g.Handle(
		0, AttemptEnded{ID: 1, Backend: "x", Outcome: Succeeded, Answered: true, Duration: 0.1, Units: 4},
	)
	if c.bucket.tokens != -2 {
		t.Errorf("level %v, want -2", c.bucket.tokens)
	}
}

func TestExcessThatEarnsIsForwardedWithinCapacity(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	sent := 0
	for i := uint64(0); i < 60; i++ {
		r := testRequest(i, "safe", "earns")
		r.Units = 20 // never inside a slice of 5 with 10 of the burst
		g.customerFor(r, g.plans["earns"]).bucket.tokens = -100
		sent += len(actionsOf[Send](g.Handle(0, r)))
	}
	if sent != initialLimit/2/2 { // half of the bound of each of two gateways
		t.Errorf("%d sent on, want %v", sent, initialLimit/2/2)
	}
}

func TestInFlightLimitOfTwoIsSharedByProbability(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	if len(actionsOf[Send](g.Handle(0, testRequest(1, "safe", "open")))) != 1 {
		t.Error("a calm customer's first request was not sent")
	}
	g.defaultPool.latency = 2 // answers slow: the other gateway surely has its part out
	if len(actionsOf[Reject](g.Handle(0.1, testRequest(2, "safe", "open")))) != 1 {
		t.Error("sent on though the limit is most likely full")
	}
	g.defaultPool.latency = 0.01
	g.Handle(5, testRequest(3, "safe", "open"))
	if len(actionsOf[Reject](g.Handle(9, testRequest(4, "safe", "open")))) != 1 {
		t.Error("a third attempt at once was sent on")
	}
}

func TestRateLimitHoldsForOneGatewayAndAfterARestart(t *testing.T) {
	g := startedGateway(
		t, testSettings(), servingBackend("x"), servingBackend("y"), servingBackend("z"),
	)
	if len(actionsOf[Send](g.Handle(0, testRequest(1, "safe", "ceiling")))) != 0 {
		t.Error("a gateway just started spent of a ceiling it cannot know")
	}
	units, id := 0.0, uint64(10)
	for now := 0.0; now < 6; now += 0.01 {
		id++
		for range actionsOf[Send](g.Handle(now, testRequest(id, "safe", "ceiling"))) {
			units++
			g.Handle(now, AttemptEnded{
				ID: id, Backend: g.requests[id].attempts[0].backend.ID, Outcome: Succeeded,
				Answered: true, Duration: 0.01,
			})
		}
	}
	if units == 0 || units > 10*6+1 {
		t.Errorf("%v units in 6 s, half of the ceiling is 60", units)
	}
}

// A gateway with nothing left of its own part asks for the common one, and goes by the answer.
func TestSharedPartOfARateLimitIsRequested(t *testing.T) {
	for _, tc := range []struct {
		reply CounterReply
		sends int
	}{
		// The room is 20 * 0.925 / 4.
		{CounterReply{Outcome: Succeeded, Total: 1}, 1},
		{CounterReply{Outcome: Succeeded, Total: 100}, 0},
		{CounterReply{Outcome: TimedOut}, 0},
		{CounterReply{Outcome: Rejected}, 0},
	} {
		g := startedGateway(t, testSettings(), servingBackend("x"))
		calls := actionsOf[CounterCall](g.Handle(0, testRequest(1, "safe", "ceiling")))
		if len(calls) != 1 || calls[0].Add != 1 {
			t.Fatalf("calls %v", calls)
		}
		tc.reply.Name = calls[0].Name
		out := g.Handle(0.01, tc.reply)
		if len(actionsOf[Send](out)) != tc.sends || len(actionsOf[Reject](out)) != 1-tc.sends {
			t.Errorf("%+v: %v", tc.reply, out)
		}
	}
}

func TestNoRequestIsLost(t *testing.T) {
	for _, tc := range []struct {
		name     string
		backends []Backend
		left     Seconds
	}{
		{"no backend", nil, 3},
		{"no backend and no time (h440035)", nil, 0.02},
		{"only draining", []Backend{{ID: "x"}}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := startedGateway(t, testSettings(), tc.backends...)
			r := testRequest(1, "unsafe", "free")
			r.TimeLeft = tc.left
			out := g.Handle(0, r)
			out = append(out, runTicks(g, 0.001, tc.left)...)
			if len(actionsOf[Reject](out)) != 1 || len(actionsOf[Send](out)) != 0 || len(g.requests) != 0 {
				t.Errorf("got %v", out)
			}
		})
	}
}

func TestUnknownPlanAndClassGetOneSafeAnswer(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	if len(actionsOf[Send](g.Handle(0, testRequest(1, "?", "?")))) != 1 {
		t.Fatal("not sent")
	}
	out := g.Handle(1, AttemptEnded{ID: 1, Backend: "x", Outcome: TimedOut, Duration: 1})
	if len(actionsOf[Fail](out)) != 1 || len(actionsOf[Send](out)) != 0 || len(actionsOf[Reject](out)) != 0 {
		t.Errorf("got %v", out)
	}
}

func TestAtMostOnce(t *testing.T) {
	backends := []Backend{servingBackend("x"), servingBackend("y"), servingBackend("z")}
	for _, tc := range []struct {
		class   string
		outcome Outcome
		at      Seconds
		want    string // the next action
	}{
		{
			"unsafe", ConnectionRefused, 0.1, "send",
		},
		{"unsafe", Rejected, 0.1, "send"},
		{"unsafe", NotSent, 0.1, "send"},
		{"unsafe", TimedOut, 0.1, "fail"},
		{
			"unsafe", ConnectionReset, 0.1, "fail",
		},
		{"unsafe", Failed, 0.1, "fail"},
		{
			"keyed", ConnectionReset, 0.1, "fail",
		},
		{"keyed", Rejected, 0.1, "send"},
		{"safe", ConnectionReset, 0.1, "send"},
	} {
		t.Run(fmt.Sprint(tc.class, tc.outcome, tc.at), func(t *testing.T) {
			g := startedGateway(t, testSettings(), backends...)
			first := actionsOf[Send](g.Handle(0, testRequest(1, tc.class, "free")))[0]
			out := g.Handle(
				tc.at, AttemptEnded{ID: 1, Backend: first.Backend, Outcome: tc.outcome, Duration: tc.at},
			)
			sends, fails := actionsOf[Send](out), actionsOf[Fail](out)
			switch tc.want {
			case "fail":
				if len(sends) != 0 || len(fails) != 1 || len(actionsOf[Reject](out)) != 0 {
					t.Errorf("got %v", out)
				}
			default:
				if len(sends) != 1 {
					t.Errorf("got %v", out)
				}
			}
		})
	}
}

func TestDrainingTakesEffectAtOnce(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	g.Handle(1, Backends{List: []Backend{{ID: "x", Zone: "a"}}})
	g.Handle(1, Backends{List: []Backend{{ID: "x", Zone: "a"}}}) // repeated lists do no harm
	for i := uint64(0); i < 4; i++ {
		for _, s := range actionsOf[Send](g.Handle(1, testRequest(i, "safe", "free"))) {
			if s.Backend == "x" {
				t.Error("sent to a draining backend")
			}
		}
	}
	g.Handle(2, Backends{Complete: true, List: []Backend{servingBackend("x")}})
	for _, s := range actionsOf[Send](g.Handle(2, testRequest(9, "safe", "free"))) {
		if s.Backend == "y" {
			t.Error("sent to a backend that left the list")
		}
	}
}

func TestWarmingBackendGetsItsShareOnly(t *testing.T) {
	g := startedGateway(
		t, testSettings(), servingBackend("x"), servingBackend("y"),
		Backend{ID: "cold", Zone: "a", Serving: true, StartedAt: 0.001},
	)
	sent := map[string]int{}
	var out []Send
	for i := uint64(0); i < 200; i++ { // 100 a second for 2 s, eight out at any time
		now := 0.01 + float64(i)*0.01
		out = append(out, actionsOf[Send](g.Handle(now, testRequest(i, "safe", "free")))...)
		if len(out) > 7 {
			g.Handle(now, AttemptEnded{
				ID: out[0].ID, Backend: out[0].Backend, Outcome: Succeeded, Answered: true, Duration: 0.1,
			})
			sent[out[0].Backend]++
			out = out[1:]
		}
		g.Handle(now, Timer{"tick"})
	}
	// A warm one gets 100 in 2 s; a warming one has 0.2 to 0.36 of its capacity.
	if sent["cold"] == 0 || sent["cold"] > 40 {
		t.Errorf("cold backend was sent %d, the warm ones %d and %d", sent["cold"], sent["x"], sent["y"])
	}
}

func TestOverloadedBackendsAreNotUsedAgainAtOnce(t *testing.T) { // i891194: 82% of attempts rejected
	g := startedGateway(t, testSettings(), servingBackend("x"))
	sends := 0
	for i := uint64(0); i < 500; i++ {
		now := float64(i) * 0.01
		out := g.Handle(now, testRequest(i, "safe", "free"))
		out = append(out, g.Handle(now, Timer{"tick"})...)
		for _, s := range actionsOf[Send](out) {
			sends++
			g.Handle(now, AttemptEnded{ID: s.ID, Backend: "x", Outcome: Rejected, Duration: 0.001})
		}
	}
	if sends == 0 || sends > 15 {
		t.Errorf("%d sends in 5 s to a backend that is full", sends)
	}
}

func TestAbandonedAttemptsStillCount(t *testing.T) { // ib60ee1: 52% of attempts timed out
	g := startedGateway(t, testSettings(), servingBackend("x"))
	b := g.backends["x"]
	for i := uint64(0); i < 4; i++ {
		g.Handle(0, testRequest(i, "unsafe", "free"))
	}
	for i := uint64(0); i < 4; i++ {
		g.Handle(3, AttemptEnded{ID: i, Backend: "x", Outcome: TimedOut, Duration: 3})
	}
	b.ejectedUntil, b.limit = 0, 4
	if len(actionsOf[Send](g.Handle(3.001, testRequest(9, "unsafe", "free")))) != 0 {
		t.Error("sent to a backend that is still at work on what timed out")
	}
}

// Once, slow non-idempotent requests were noticed after 5 s only (i891194).
func TestSlowAttemptsLowerTheLimitWhileInFlight(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.Handle(0, testRequest(1, "unsafe", "free"))
	runTicks(g, 0.05, 0.7)
	if got := g.backends["x"].limit; got >= initialLimit {
		t.Errorf("bound still %v with an answer overdue", got)
	}
}

func TestEjectedBackendGetsOneAttemptAfterwards(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	g.Handle(0, testRequest(1, "safe", "free"))
	dead := g.requests[1].attempts[0].backend
	g.Handle(0, AttemptEnded{ID: 1, Backend: dead.ID, Outcome: ConnectionRefused})
	sent := map[string]int{}
	for i := uint64(10); i < 13; i++ {
		for _, s := range actionsOf[Send](g.Handle(0.5, testRequest(i, "safe", "free"))) {
			sent[s.Backend]++
		}
	}
	if sent[dead.ID] != 0 {
		t.Errorf("%d sent to a backend that refused a connection", sent[dead.ID])
	}
	for i := uint64(20); i < 30; i++ {
		for _, s := range actionsOf[Send](g.Handle(1.5, testRequest(i, "safe", "free"))) {
			sent[s.Backend]++
		}
	}
	if sent[dead.ID] != 1 {
		t.Errorf("%d sent when its time out was over, want one to try it", sent[dead.ID])
	}
}

func TestNoOutlierWhereAllAreUnhealthy(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	for _, b := range g.defaultPool.order {
		b.ejectedUntil = 100
	}
	if len(actionsOf[Send](g.Handle(1, testRequest(1, "safe", "free")))) != 1 {
		t.Error("nothing tried though all backends look alike")
	}
}

func TestZeroSettings(t *testing.T) {
	s := Settings{
		Plans: []Plan{{Name: "rate", Rate: 10, Burst: 20, ValueWeight: 1}, {Name: "none", ValueWeight: 1}},
	}
	for _, plan := range []string{"rate", "none"} {
		g := startedGateway(t, s, servingBackend("x"))
		r := testRequest(1, "any", plan)
		r.Gateways = 0 // not told: one gateway, the whole quota, no calls
		out := g.Handle(0, r)
		out = append(out, runTicks(g, 0.05, 20)...)
		if len(actionsOf[Send](out)) != 1 || len(actionsOf[CounterCall](out)) != 0 {
			t.Errorf("%s: got %v", plan, out)
		}
	}
}

func TestStaleEventsAreIgnored(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	for _, e := range []Event{
		AttemptEnded{ID: 99}, ClientDisconnected{ID: 99}, Timer{"old"},
	} {
		if out := g.Handle(1, e); len(out) != 0 {
			t.Errorf("%T: got %v", e, out)
		}
	}
	g.Handle(1, testRequest(1, "safe", "free"))
	for _, attempt := range []int{-1, 7} {
		g.Handle(1, AttemptEnded{ID: 1, Attempt: attempt, Backend: "x", Outcome: Succeeded})
	}
	if len(g.requests) != 1 {
		t.Error("an outcome of no attempt ended the request")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (all []Action) {
		g := startedGateway(
			t, testSettings(), servingBackend("x"), servingBackend("y"), servingBackend("z"),
		)
		for i := uint64(0); i < 300; i++ {
			now := float64(i) * 0.02
			r := testRequest(
				i, []string{"safe", "keyed", "unsafe"}[i%3], []string{"rate", "open", "earns"}[i%3],
			)
			r.Customer = fmt.Sprint("c", i%7)
			all = append(all, g.Handle(now, r)...)
			all = append(all, g.Handle(now, Timer{"tick"})...)
			ended := AttemptEnded{ID: i - i%4, Backend: "x", Outcome: Outcome(i % 8), Duration: 0.1}
			all = append(all, g.Handle(now, ended)...)
		}
		return all
	}
	if !reflect.DeepEqual(play(), play()) {
		t.Error("two equal gateways acted differently")
	}
}

func TestGatewaysDoNotTickInStep(t *testing.T) { // i151ab8: 25% of the counter calls rejected
	first := actionsOf[SetTimer](New(testSettings(), 1).Handle(0, Start{}))[0].At
	second := actionsOf[SetTimer](New(testSettings(), 2).Handle(0, Start{}))[0].At
	if first == second {
		t.Errorf("both tick at %v", first)
	}
}

func TestQueueMostValuableFirstThenNewest(t *testing.T) {
	g := startedGateway(t, testSettings())
	g.classes["dear"] = &Class{Name: "dear", LatencyTarget: 1, Deadline: 3, Value: 5}
	for i, class := range []string{"safe", "dear", "safe", "dear"} {
		g.Handle(float64(i)*0.01, testRequest(uint64(i), class, "free"))
	}
	var order []uint64
	out := g.Handle(0.05, Backends{List: []Backend{servingBackend("x"), servingBackend("y")}})
	out = append(out, g.Handle(0.06, Timer{"tick"})...)
	for _, s := range actionsOf[Send](out) {
		order = append(order, s.ID)
	}
	if !reflect.DeepEqual(order, []uint64{3, 1, 2, 0}) {
		t.Errorf("sent in order %v", order)
	}
}

func TestErrorsEjectAndRaiseCost(t *testing.T) { // i3e5c58: 37% of attempts answered with an error
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	to := map[string]int{}
	for i := uint64(0); i < 100; i++ {
		now := float64(i) * 0.01
		for _, s := range actionsOf[Send](g.Handle(now, testRequest(i, "unsafe", "free"))) {
			to[s.Backend]++
			outcome := Succeeded
			if s.Backend == "x" {
				outcome = Failed
			}
			g.Handle(now, AttemptEnded{
				ID: i, Backend: s.Backend, Outcome: outcome, Answered: outcome == Succeeded,
				Duration: 0.01,
			})
		}
	}
	if to["x"] == 0 || to["x"] > 5 || to["y"] < 90 {
		t.Errorf("sent %v", to)
	}
}

func TestReachedLimitsDoNotSendWorkToEjectedBackends(t *testing.T) { // ic5a586: 39% no connection
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	g.backends["x"].ejectedUntil = 100
	sent := map[string]int{}
	for i := uint64(0); i < 20; i++ {
		for _, s := range actionsOf[Send](g.Handle(1, testRequest(i, "safe", "free"))) {
			sent[s.Backend]++
		}
	}
	if sent["x"] != 0 || sent["y"] != initialLimit/2 { // two gateways
		t.Errorf("sent %v", sent)
	}
}

func TestLostReportShiftsTheSumByABoundedPart(t *testing.T) {
	// Three gateways ask 12 of a quota of 10; the third one's add is lost, so it stays at its last slice.
	const last, n = 4.0, 3.0
	sum := last
	for range 2 {
		g := New(testSettings(), 1)
		c := g.customerFor(Request{Customer: "c", Gateways: n}, g.plans["rate"])
		c.cycle.localRate = 4
		g.applyTotals(c, 8, 2)
		sum += c.bucket.slice
	}
	if above := sum - 10; above < 0 || above > last-quietFraction*10/n+1e-9 {
		t.Errorf("sum %v above the quota; the bound is the lost slice less the quiet part", above)
	}
}

func TestEvenShareOfAnInFlightLimitAlwaysConforms(t *testing.T) { // trebic big-1: 0.70 inside a limit of 2
	g := startedGateway(t, testSettings(), servingBackend("x"))
	for i := uint64(0); i < 20; i++ { // a burst: by chance alone the others would seem to fill the limit
		g.Handle(1, testRequest(i, "safe", "open"))
	}
	for id := range g.requests {
		g.Handle(1, AttemptEnded{ID: id, Backend: "x", Outcome: Succeeded, Answered: true, Duration: 0.1})
	}
	g.defaultPool.latency = 5
	if len(actionsOf[Send](g.Handle(1.01, testRequest(99, "safe", "open")))) != 1 {
		t.Error("refused within the even part: two gateways with one attempt each cannot pass a limit of two")
	}
}

// A failure is never delayed so that the client does not retry.
func TestFailedRequestIsAnsweredAtOnce(t *testing.T) {
	for _, tc := range []struct {
		class   string
		outcome Outcome
		refused bool // else failed: it may have run
	}{
		{"safe", Rejected, true},
		{"safe", TimedOut, true},
		{"keyed", Rejected, true},
		{
			"keyed", ConnectionReset, false,
		},
		{"unsafe", ConnectionRefused, true},
		{"unsafe", TimedOut, false},
		{"unsafe", Failed, false},
	} {
		s := testSettings()
		s.MaxAttempts = 1
		g := startedGateway(t, s, servingBackend("x"))
		send := actionsOf[Send](g.Handle(1, testRequest(1, tc.class, "free")))
		if len(send) != 1 {
			t.Fatalf("%v: not sent", tc)
		}
		out := g.Handle(1.5, AttemptEnded{ID: 1, Backend: "x", Outcome: tc.outcome, Duration: 0.5})
		refusals, failures := actionsOf[Reject](out), actionsOf[Fail](out)
		if tc.refused && (len(refusals) != 1 || refusals[0].RetryAfter <= 0) ||
			!tc.refused && len(failures) != 1 {
			t.Errorf("%v: got %v with the outcome, want the answer", tc, out)
		}
	}
	g := startedGateway(t, testSettings(), servingBackend("x"))
	r := testRequest(1, "safe", "rate")
	g.customerFor(r, g.plans["rate"]).bucket.tokens = -100 // beyond its quota, which earns nothing
	if out := actionsOf[Reject](g.Handle(0, r)); len(out) != 1 || out[0].RetryAfter <= 0 {
		t.Errorf("beyond the quota: got %v", out)
	}
	g = startedGateway(t, testSettings()) // no backend at all: a bounded wait for one, then the answer
	g.Handle(1, testRequest(1, "safe", "free"))
	if out := runTicks(g, 1.01, 1+queueTimeFraction+2*tickInterval); len(actionsOf[Reject](out)) != 1 {
		t.Errorf("no backend: got %v by %v of the aim", out, queueTimeFraction)
	}
}

// Guards against quotas that nobody watches for minutes after the counter was lost for seconds: each call
// that a lost counter leaves unanswered must not count as one that a crowded counter could not take.
func TestCallsResumeAfterCounterLoss(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "thin", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1}}
	g, id := startedGateway(t, s, servingBackend("b")), uint64(0)
	// customers has 20 customers ask in each second and answers their calls; it tells how many were made.
	customers := func(from, to Seconds, outcome Outcome) (calls int) {
		for now := from; now < to; now += tickInterval {
			out := g.Handle(now, Timer{"tick"})
			id++
			e := testRequest(id, "safe", "thin")
			e.Customer, e.Gateways = fmt.Sprint("c", id%20), 5
			out = append(out, g.Handle(now, e)...)
			for _, a := range actionsOf[CounterCall](out) {
				calls++
				out = append(out, g.Handle(now, CounterReply{Name: a.Name, Outcome: outcome, Total: 1})...)
			}
			for _, a := range actionsOf[Send](out) {
				g.Handle(now, AttemptEnded{
					ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
				})
			}
		}
		return calls
	}
	before := customers(0, 5, Succeeded)
	customers(5, 11, TimedOut)
	customers(11, 13, Succeeded) // the first answer after the loss
	if after := customers(13, 18, Succeeded); before < 50 || after < before*3/4 {
		t.Errorf("%d calls in 5 s before the loss, %d after it", before, after)
	}
}

// A counter's answer that cannot be read, or a connection to it that breaks, says nothing of the room it has:
// on a day with one in thirty spoilt, quotas would hardly be watched any more.
func TestOnlyAnOverloadedCounterIsCalledLess(t *testing.T) {
	for _, tc := range []struct {
		outcome Outcome
		less    bool
	}{
		{Failed, false},
		{ConnectionRefused, false},
		{ConnectionReset, false},
		{Rejected, true},
		{TimedOut, true},
	} {
		g := startedGateway(t, testSettings())
		for range 3 {
			g.Handle(1, CounterReply{Name: "c/1", Outcome: tc.outcome})
		}
		if less := g.counter.callProbability < 1; less != tc.less {
			t.Errorf("outcome %d: chance %v", tc.outcome, g.counter.callProbability)
		}
	}
}

// A stall of the counter leaves all calls of a moment unanswered. Each counted by itself, quotas were hardly
// watched for the rest of the day, for so few calls brought few answers (fleet day: 4% of calls for 15 s).
func TestCounterStallReducesCallsOnce(t *testing.T) {
	g := startedGateway(t, testSettings())
	for range 10 {
		g.Handle(1, CounterReply{Name: "c/1", Outcome: TimedOut})
	}
	if g.counter.callProbability != callProbabilityDecrease {
		t.Errorf("chance %v after a stall", g.counter.callProbability)
	}
	g.counter.callProbability = minCallProbability
	for range 200 {
		g.Handle(2, CounterReply{Name: "c/1", Outcome: Succeeded, Total: 1})
	}
	if g.counter.callProbability < 1 {
		t.Errorf("chance %v after 200 answers", g.counter.callProbability)
	}
}

// A small customer of which nothing is known gets the even share: no sum of gateways passes the quota by it,
// however many of its like are beyond theirs.
func TestUnknownSmallCustomerIsNotEstimatedFromOthers(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "thin", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1}}
	g, id := startedGateway(t, s, servingBackend("b")), uint64(0)
	tries := func(customer string, from Seconds, outcome Outcome, total float64) (sent int) {
		for i := range 200 {
			now := from + float64(i)*0.1
			id++
			e := testRequest(id, "safe", "thin")
			e.Customer, e.Gateways = customer, 4
			out := g.Handle(now, e)
			for n := 0; n < len(out); n++ { // an answer may be followed by another call
				if a, ok := out[n].(CounterCall); ok {
					reply := CounterReply{Name: a.Name, Outcome: outcome, Total: total}
					out = append(out, g.Handle(now, reply)...)
				}
			}
			for _, a := range actionsOf[Send](out) {
				sent++
				g.Handle(now, AttemptEnded{
					ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
				})
			}
		}
		return sent
	}
	for i := range 10 {
		tries(fmt.Sprint("heavy", i), 1+20*float64(i), Succeeded, 100)
	}
	if sent := tries(
		"unknown", 300, ConnectionRefused, 0,
	); sent < 4 || sent > 7 { // 20 s at a quarter of a unit a second
		t.Errorf("%d of 200 sent on in 20 s", sent)
	}
}

// Between two totals a sparse customer's ratio lets in no more than its slice and its part of the burst. Else
// a customer that asked little when the counter fell silent got in whatever it asked for afterwards.
func TestRisingDemandOfASparseCustomerIsBoundedBetweenTotals(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "thin", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1}}
	g, id := startedGateway(t, s, servingBackend("b")), uint64(0)
	try := func(now Seconds, outcome Outcome) (sent int) {
		id++
		e := testRequest(id, "safe", "thin")
		e.Gateways = 5
		out := g.Handle(now, e)
		for _, a := range actionsOf[CounterCall](out) {
			out = append(out, g.Handle(now, CounterReply{Name: a.Name, Outcome: outcome, Total: 1})...)
		}
		for _, a := range actionsOf[Send](out) {
			sent++
			g.Handle(now, AttemptEnded{
				ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
			})
		}
		return sent
	}
	if sent := try(1, Succeeded); sent != 1 {
		t.Fatalf("%d sent on while the counter answers", sent)
	}
	sent := 0
	for i := range 100 {
		sent += try(2+float64(i)*0.1, TimedOut)
	}
	if sent < 3 || sent > 10+2 { // the whole quota and the burst are the most that any gateway may use
		t.Errorf("%d of 100 sent on in 10 s", sent)
	}
}

// Not watched, a small customer still has its even part of the buckets: those of all gateways are one and a
// half bursts, no more. With room for one request only, what came in twos was rejected far inside quotas.
func TestUnsampledSmallCustomerHasItsShareOfTheBurst(t *testing.T) {
	s := testSettings()
	s.HasCounter = false
	s.Plans = []Plan{{Name: "thin", Rate: 1, Burst: 20, ValueWeight: 1, ExcessCost: 1}}
	g, sent := startedGateway(t, s, servingBackend("a"), servingBackend("b")), 0
	for id := range uint64(10) {
		e := testRequest(id+1, "safe", "thin")
		e.Gateways = 4
		for _, a := range actionsOf[Send](g.Handle(1, e)) {
			sent++
			g.Handle(1, AttemptEnded{
				ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
			})
		}
	}
	if sent != 7 {
		t.Errorf("%d of 10 sent on at once, want a quarter of one and a half bursts of 20", sent)
	}
}

// Servers replaced all day long, each under a new id, are forgotten once they have left and owe nothing.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("kept"))
	g.Handle(1, Backends{List: []Backend{servingBackend("busy")}})
	g.Handle(1, Backends{List: []Backend{{ID: "kept", Zone: "a"}}})
	if sent := actionsOf[Send](g.Handle(
		1, testRequest(1, "unsafe", "free"),
	)); len(sent) != 1 || sent[0].Backend != "busy" {
		t.Fatalf("sent %v", sent)
	}
	g.Handle(2, Backends{List: []Backend{{ID: "busy", Zone: "a"}, servingBackend("kept")}})
	for i := range 500 {
		now := 2 + float64(i)
		g.Handle(
			now, Backends{
				List: []Backend{servingBackend(fmt.Sprint("b", i)), {ID: fmt.Sprint("b", i-1), Zone: "a"}},
			},
		)
		g.Handle(now, Timer{"tick"})
	}
	if n := len(
		g.defaultPool.order,
	); n > 3 || n != len(g.backends) || g.backends["kept"] == nil || g.backends["busy"] == nil {
		t.Errorf(
			"%d backends in order, %d by id, want kept, the last one, and the one that owes an answer", n,
			len(g.backends),
		)
	}
	g.Handle(502, AttemptEnded{ID: 1, Backend: "busy", Outcome: Succeeded, Duration: 500, Answered: true})
	if g.Handle(503, Timer{"tick"}); g.backends["busy"] != nil {
		t.Error("kept though it owes nothing any more")
	}
}

// A first attempt at what may run twice is given up in time for another, where answers are usually quick.
func TestLostFirstAttemptLeavesTimeForARetry(t *testing.T) {
	for _, tc := range []struct {
		usual Seconds
		class string
		want  Seconds
	}{{0.01, "safe", 0.3}, {0.5, "safe", 1.05}, {0.01, "unsafe", 0}} {
		s := testSettings()
		s.Classes[0].LateValue = 0
		g := startedGateway(t, s, servingBackend("b"))
		g.defaultPool.latency = tc.usual
		sent := actionsOf[Send](g.Handle(1, testRequest(1, tc.class, "free")))
		if len(sent) != 1 || math.Abs(sent[0].Timeout-tc.want) > 1e-9 {
			t.Errorf("%s, usually %v s: got %v, want a time-out of %v", tc.class, tc.usual, sent, tc.want)
		}
	}
}
