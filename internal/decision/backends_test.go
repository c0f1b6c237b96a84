package decision

import (
	"fmt"
	"testing"
)

// A backend that drains or was removed from the list must get no further attempt.
func TestDrainingTakesEffectAtOnce(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	g.Handle(1, Backends{List: []Backend{{ID: "x", Zone: "a"}}})
	g.Handle(1, Backends{List: []Backend{{ID: "x", Zone: "a"}}}) // a repeated update has no effect
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
			t.Error("sent to a backend that was removed from the list")
		}
	}
}

// A backend in slow start must get requests, but not more than its share of capacity. Otherwise it is
// overloaded as soon as it starts.
func TestWarmingBackendGetsItsShareOnly(t *testing.T) {
	g := startedGateway(
		t, testSettings(), servingBackend("x"), servingBackend("y"),
		Backend{ID: "cold", Zone: "a", Serving: true, StartedAt: 0.001},
	)
	sent := map[string]int{}
	var out []Send
	for i := uint64(0); i < 200; i++ { // 100 requests per second for 2 s, with at most eight in flight
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
	// A warm backend gets 100 requests in 2 s. One in slow start has 0.2 to 0.36 of its capacity.
	if sent["cold"] == 0 || sent["cold"] > 40 {
		t.Errorf("%d sent to the starting backend, %d and %d to others", sent["cold"], sent["x"], sent["y"])
	}
}

// Servers are replaced all day, each by one with a new id. The state of a removed server must be deleted once
// none of its attempts is in flight.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("kept"))
	g.Handle(1, Backends{List: []Backend{servingBackend("busy")}})
	g.Handle(1, Backends{List: []Backend{{ID: "kept", Zone: "a"}}})
	sent := actionsOf[Send](g.Handle(1, testRequest(1, "unsafe", "free")))
	if len(sent) != 1 || sent[0].Backend != "busy" {
		t.Fatalf("sent %v", sent)
	}
	g.Handle(2, Backends{List: []Backend{{ID: "busy", Zone: "a"}, servingBackend("kept")}})
	for i := range 500 {
		now := 2 + float64(i)
		started, removed := servingBackend(fmt.Sprint("b", i)), Backend{ID: fmt.Sprint("b", i-1), Zone: "a"}
		g.Handle(now, Backends{List: []Backend{started, removed}})
		g.Handle(now, Timer{"tick"})
	}
	n := len(g.defaultPool.order)
	if n > 3 || n != len(g.backends) || g.backends["kept"] == nil || g.backends["busy"] == nil {
		t.Errorf(
			"%d backends in order, %d by id, want \"kept\", the last one, and the one with an attempt", n,
			len(g.backends),
		)
	}
	g.Handle(502, AttemptEnded{ID: 1, Backend: "busy", Outcome: Succeeded, Duration: 500, Answered: true})
	if g.Handle(503, Timer{"tick"}); g.backends["busy"] != nil {
		t.Error("not deleted although it has no attempt in flight any more")
	}
}

// Guards against gateways that find no backend to use when most servers are replaced at once: 2,960
// selections in 3 s found only backends that were not known to be healthy (join+vast).
func TestReplacedBackendsAreUsedAtOnce(t *testing.T) {
	gateways, list := newTestFleet(80, 60)
	used, sent, id := map[string]int{}, 0, uint64(0)
	update := Backends{}
	for i := range list {
		if i%5 < 3 {
			list[i].Serving = false
			update.List = append(
				update.List, list[i],
				Backend{ID: fmt.Sprint("new", i), Zone: "a", Serving: true, StartedAt: 90},
			)
		}
	}
	s := testSettings()
	for _, g := range gateways {
		g.Handle(100, update)
		for i := range 12 {
			now := 100 + s.SlowStartTime/2 + float64(i)/4
			id++
			for _, send := range actionsOf[Send](g.Handle(now, testRequest(id, "safe", "free"))) {
				sent++
				used[send.Backend]++
				g.Handle(now+0.1, AttemptEnded{
					ID: send.ID, Backend: send.Backend, Outcome: Succeeded, Answered: true, Duration: 0.1,
				})
			}
		}
	}
	toNew, maxToOne := 0, 0
	for id, n := range used {
		if maxToOne = max(maxToOne, n); len(id) > 3 && id[:3] == "new" {
			toNew += n
		}
	}
	if sent < 12*80*95/100 || toNew < sent/3 || maxToOne > 6*sent/60 {
		t.Errorf("%d of %d sent at once, %d to new backends, %d to one of them", sent, 12*80, toNew, maxToOne)
	}
}

// replaceServers replaces three fifths of a list by servers that start now, and returns the update.
func replaceServers(list []Backend, now int) Backends {
	update := Backends{}
	for i := range list {
		if i%5 >= 3 {
			continue
		}
		old := list[i]
		old.Serving = false
		list[i] = Backend{
			ID:        fmt.Sprint("b", i, "-", now),
			Zone:      "a",
			Serving:   true,
			StartedAt: float64(now),
		}
		update.List = append(update.List, old, list[i])
	}
	return update
}

// Six in ten servers are replaced every five seconds for three hours, and each request is from a new
// customer. Guards against unbounded memory: only the state that was used in the last minute may remain.
func TestNothingGrowsWhileServersAreReplacedForHours(t *testing.T) {
	s := testSettings()
	s.Gateways, s.MaxUnits = 80, 4
	s.Plans = append(
		s.Plans,
		Plan{Name: "plus", Rate: 20, Burst: 40, ValueWeight: 1, LimitRate: 40, LimitBurst: 80, LimitSlack: 8},
	)
	var list []Backend
	for i := range 60 {
		list = append(list, servingBackend(fmt.Sprint("b", i)))
	}
	g, id, maxEntries := startedGateway(t, s, list...), uint64(0), 0
	for step := range 3 * 3600 {
		now := float64(step)
		if step%5 == 0 {
			g.Handle(now, replaceServers(list, step))
		}
		out := g.Handle(now, Timer{"tick"})
		for _, plan := range []string{"rate", "plus"} {
			id++
			r := testRequest(id, "safe", plan)
			r.Customer, r.Gateways, r.Units = fmt.Sprint("c", id), 20, 2
			out = append(out, g.Handle(now, r)...)
		}
		for n := 0; n < len(out); n++ {
			switch a := out[n].(type) {
			case CounterCall:
				reply := CounterReply{Name: a.Name, Outcome: Succeeded, Total: a.Add}
				out = append(out, g.Handle(now, reply)...)
			case Send:
				end := AttemptEnded{
					ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.1, Answered: true,
				}
				if id%7 == 0 {
					end.Outcome, end.Answered = ConnectionReset, false
				}
				out = append(out, g.Handle(now+0.1, end)...)
			}
		}
		if step > 600 {
			maxEntries = max(
				maxEntries, len(g.backends)+len(g.defaultPool.order), len(g.customers)+len(g.customerList),
				len(g.requests)+len(g.unanswered)+len(g.queue),
			)
		}
	}
	// 60 servers in use and the 36 that are replaced every 5 s, for 70 s, each in a map and in a list.
	if maxEntries > 2*(60+36*14) || len(g.defaultPool.kindLatencies) > 2 {
		t.Errorf(
			"up to %d entries, %d kinds; want 1128 and 2 at most", maxEntries,
			len(g.defaultPool.kindLatencies),
		)
	}
}

// An endpoint list may contain invalid entries. The valid servers in it must remain in use, and each request
// must be answered.
func TestInvalidBackendsDoNotDisableOthers(t *testing.T) {
	for name, odd := range map[string]Backend{
		"no id": {Serving: true}, "a huge size": {
			ID: "o", Serving: true, Size: 1e300,
		}, "a negative size": {ID: "o", Serving: true, Size: -4},
		"started tomorrow": {ID: "o", Serving: true, StartedAt: 1e6}, "never serving": {ID: "o"},
	} {
		gateways, list := newTestFleet(80, 3)
		g, used := gateways[0], map[string]int{}
		g.Handle(1, Backends{List: []Backend{odd, odd}})
		for i := range 200 {
			now, id := 1+float64(i)/5, uint64(i+1)
			out := g.Handle(now, testRequest(id, "safe", "free"))
			if len(actionsOf[Send](out))+len(actionsOf[Reject](out)) != 1 {
				out = runTicks(g, now, now+1)
			}
			for _, send := range actionsOf[Send](out) {
				used[send.Backend]++
				g.Handle(now+0.1, AttemptEnded{
					ID: send.ID, Backend: send.Backend, Outcome: Succeeded, Answered: true, Duration: 0.1,
				})
			}
		}
		n := used[list[0].ID] + used[list[1].ID] + used[list[2].ID]
		if n < 5 || n+used[odd.ID] < 195 || used[odd.ID] > 0 && !odd.Serving {
			t.Errorf("%s: used %v", name, used)
		}
		if b := g.backends["o"]; b != nil && odd.StartedAt > 0 && g.warmFraction(b) < 1 {
			t.Errorf("%s: in slow start forever", name)
		}
	}
}

// Guards against the overload of a starting server by many gateways: 130 gateways that each saved up one
// attempt overloaded a server in slow start.
func TestWarmingFleetIsSharedByManyGateways(t *testing.T) {
	const n = 130
	warming, all := 0, 0
	var gateways []*Gateway
	for i := range n {
		g := New(testSettings(), uint64(i))
		g.Handle(0, Start{})
		list := []Backend{{ID: "cold", Zone: "a", Serving: true, StartedAt: 0.01}}
		for j := range 9 {
			list = append(list, servingBackend(fmt.Sprint("w", j)))
		}
		g.Handle(0.02, Backends{Complete: true, List: list})
		gateways = append(gateways, g)
	}
	for i := range 650 { // five requests per gateway in 1 s
		now := 0.1 + float64(i)/650
		g := gateways[i%n]
		g.Handle(now, Timer{"tick"})
		for _, s := range actionsOf[Send](g.Handle(now, testRequest(uint64(i+1), "safe", "free"))) {
			if all++; s.Backend == "cold" {
				warming++
			}
			g.Handle(
				now,
				AttemptEnded{ID: s.ID, Backend: s.Backend, Outcome: Succeeded, Answered: true, Duration: 0.1},
			)
		}
	}
	// A warm backend gets about 70 requests in that second. One in slow start withstands 2.5 times its
	// present capacity, which is 0.2 of its full one.
	if warming == 0 || warming > 35 || all < 600 {
		t.Errorf("%d of %d sent to the starting backend", warming, all)
	}
}
