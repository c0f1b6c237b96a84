package decision

import (
	"testing"
)

// Guards against sending again at once to a backend that rejects work: 82% of the attempts were rejected
// (i891194).
func TestOverloadedBackendsAreNotUsedAgainAtOnce(t *testing.T) {
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

// Guards against a late reaction to slow backends: slow non-idempotent requests were detected only after 5 s
// (i891194).
func TestSlowAttemptsLowerTheLimitWhileInFlight(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.Handle(0, testRequest(1, "unsafe", "free"))
	runTicks(g, 0.05, 0.7)
	if got := g.backends["x"].limit; got >= initialLimit {
		t.Errorf("limit still %v with an answer overdue", got)
	}
}

// An ejected backend must get no attempt during its ejection, and one trial after it.
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
		t.Errorf("%d sent after its ejection, want one trial", sent[dead.ID])
	}
}

// Guards against preferring a backend that fails quickly: 37% of the attempts were answered with an error
// (i3e5c58).
func TestErrorsEjectAndRaiseCost(t *testing.T) {
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
		t.Errorf("sent %v, want 1 to 5 to x and at least 90 to y", to)
	}
}

// Each gateway of a fleet must detect a failing backend by itself, so every error that detection takes is
// multiplied by the number of gateways.
func TestOneErrorEjectsABackendOfMany(t *testing.T) {
	gateways, list := newTestFleet(80, 60)
	errors := 0
	for i, g := range gateways {
		for n := range 40 {
			now, id := 1+float64(n)/8, uint64(i*100+n+1)
			for _, send := range actionsOf[Send](g.Handle(now, testRequest(id, "safe", "free"))) {
				end := AttemptEnded{
					ID: send.ID, Backend: send.Backend, Outcome: Succeeded, Answered: true, Duration: 0.1,
				}
				if send.Backend == list[0].ID {
					errors++
					end.Outcome, end.Answered = Failed, false
				}
				g.Handle(now+0.1, end)
			}
		}
	}
	if errors > 2*len(gateways) {
		t.Errorf("%d errors of one failing backend in 5 s, with %d gateways", errors, len(gateways))
	}
}

// Guards against too few trials of a fleet that has shrunk: gateways must find the backends that have
// recovered (ib2b285).
func TestRecoveredBackendsAreFoundByAllGateways(t *testing.T) {
	gateways, _ := newTestFleet(120, 6)
	served, id := map[int]bool{}, uint64(0)
	for step := range 800 {
		now := float64(step) * 0.05
		for i, g := range gateways {
			actions := g.Handle(now, Timer{"tick"})
			if (step+i)%10 == 0 {
				id++
				actions = append(actions, g.Handle(now, testRequest(id, "safe", "free"))...)
			}
			for _, s := range actionsOf[Send](actions) {
				e := AttemptEnded{ID: s.ID, Backend: s.Backend, Outcome: Failed, Duration: 0.01}
				if now > 10 {
					e.Outcome, e.Answered, served[i] = Succeeded, true, true
				}
				g.Handle(now, e)
			}
		}
	}
	if len(served) < 115 {
		t.Errorf("%d of 120 gateways found a backend within 30 s", len(served))
	}
}

// Guards against attempts that keep overloaded backends from recovering: 42 of 61 backends stayed full for
// half a minute (issue 11).
func TestOverloadedBackendsAreLeftToRecover(t *testing.T) {
	for _, size := range [][2]int{{120, 30}, {300, 60}, {500, 140}} {
		testOverloadedBackendsRecover(t, size[0], size[1])
	}
}

func testOverloadedBackendsRecover(t *testing.T, n, m int) {
	t.Helper()
	gateways, list := newTestFleet(n, m)
	full := map[string]bool{} // two of three backends never answer
	for i, b := range list {
		full[b.ID] = i%3 > 0
	}
	sent, id := map[bool]int{}, uint64(0)
	type out struct {
		g *Gateway
		e AttemptEnded
	}
	due := map[int][]out{} // by step, each of 0.05 s
	for step := range 600 {
		now := float64(step) * 0.05
		for _, o := range due[step] {
			o.g.Handle(now, o.e)
		}
		for i, g := range gateways {
			actions := g.Handle(now, Timer{"tick"})
			if (step+i)%5 == 0 { // four requests per second at each gateway
				id++
				actions = append(actions, g.Handle(now, testRequest(id, "safe", "free"))...)
			}
			for _, s := range actionsOf[Send](actions) {
				e := AttemptEnded{
					ID: s.ID, Backend: s.Backend, Outcome: Succeeded, Answered: true, Duration: 0.1,
				}
				after := 2
				if full[s.Backend] {
					e, after = AttemptEnded{
						ID: s.ID, Backend: s.Backend, Outcome: TimedOut, Duration: 1.05,
					}, 21
				}
				due[step+after] = append(due[step+after], out{g, e})
				if now > 15 {
					sent[full[s.Backend]]++
				}
			}
		}
	}
	if all := sent[true] + sent[false]; sent[true] > all/5 || float64(sent[false]) < 30*float64(m) {
		t.Errorf(
			"%d gateways, %d backends: %d of %d attempts at ones that never answer", n, m, sent[true], all,
		)
	}
	if sent[true] == 0 {
		t.Error("no attempt at overloaded backends: a recovered one would never be found")
	}
}
