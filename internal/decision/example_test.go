package decision_test

import (
	"fmt"

	"mulleinrouter/internal/decision"
)

// A host passes events to the gateway and carries out the actions that it returns.
func Example() {
	g := decision.New(decision.Settings{
		Gateways: 2, MaxAttempts: 2, MaxRetryAfter: 1, MayRetryAfter: true,
		Classes: []decision.Class{{
			Name: "read", LatencyTarget: 1, Deadline: 3, Value: 1, Effect: decision.Idempotent,
		}},
		Plans: []decision.Plan{{Name: "basic", Rate: 1, Burst: 2, ValueWeight: 1}},
	}, 1)
	g.Handle(0, decision.Start{})
	g.Handle(0, decision.Backends{Complete: true, List: []decision.Backend{{ID: "b1", Serving: true}}})
	for id := uint64(1); id <= 3; id++ {
		request := decision.Request{
			ID: id, Class: "read", Plan: "basic", Customer: "c", TimeLeft: 3, Units: 1, Gateways: 1,
		}
		for _, action := range g.Handle(0.1, request) {
			switch a := action.(type) {
			case decision.Send:
				fmt.Println("send", a.ID, "to", a.Backend)
			case decision.Reject:
				fmt.Println("reject", a.ID, "for", a.RetryAfter, "s")
			}
		}
	}
	// Output:
	// send 1 to b1
	// send 2 to b1
	// reject 3 for 1 s
}
