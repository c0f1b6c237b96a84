package passhub_test

import (
	"fmt"

	"mulleinrouter/passhub"
)

// A host hands over what happens and carries out what comes back.
func Example() {
	g := passhub.New(passhub.Settings{
		Balancers: 2, MaxAttempts: 2, MaxRetryAfter: 1, MayRetryAfter: true,
		Classes: []passhub.Class{{Name: "read", Aim: 1, Deadline: 3, Worth: 1, Effect: passhub.Safe}},
		Plans:   []passhub.Plan{{Name: "basic", Rate: 1, Burst: 2, Price: 1}},
	}, 1)
	g.Handle(0, passhub.Start{})
	g.Handle(0, passhub.Backends{Complete: true, List: []passhub.Backend{{ID: "b1", Serving: true}}})
	for id := uint64(1); id <= 3; id++ {
		request := passhub.Request{ID: id, Class: "read", Plan: "basic", Customer: "c", Left: 3, Units: 1, Doors: 1}
		for _, action := range g.Handle(0.1, request) {
			switch a := action.(type) {
			case passhub.Send:
				fmt.Println("send", a.ID, "to", a.Backend)
			case passhub.Refuse:
				fmt.Println("refuse", a.ID, "for", a.RetryAfter, "s")
			}
		}
	}
	// Output:
	// send 1 to b1
	// send 2 to b1
	// refuse 3 for 1 s
}
