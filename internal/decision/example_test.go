package decision_test

import (
	"fmt"

	"mulleinrouter/internal/decision"
)

// A host hands over what happens and carries out what comes back.
func Example() {
	g := decision.New(decision.Settings{
		Balancers: 2, MaxAttempts: 2, MaxRetryAfter: 1, MayRetryAfter: true,
		Classes: []decision.Class{{Name: "read", Aim: 1, Deadline: 3, Worth: 1, Effect: decision.Safe}},
		Plans:   []decision.Plan{{Name: "basic", Rate: 1, Burst: 2, Price: 1}},
	}, 1)
	g.Handle(0, decision.Start{})
	g.Handle(0, decision.Backends{Complete: true, List: []decision.Backend{{ID: "b1", Serving: true}}})
	for id := uint64(1); id <= 3; id++ {
		request := decision.Request{ID: id, Class: "read", Plan: "basic", Customer: "c", Left: 3, Units: 1, Doors: 1}
		for _, action := range g.Handle(0.1, request) {
			switch a := action.(type) {
			case decision.Send:
				fmt.Println("send", a.ID, "to", a.Backend)
			case decision.Refuse:
				fmt.Println("refuse", a.ID, "for", a.RetryAfter, "s")
			}
		}
	}
	// Output:
	// send 1 to b1
	// send 2 to b1
	// refuse 3 for 1 s
}
