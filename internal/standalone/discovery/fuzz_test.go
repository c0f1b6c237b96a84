package discovery

import (
	"maps"
	"testing"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging/logtest"
)

// FuzzLists checks that, for any bytes received as a list, a malformed list changes nothing, only active servers are
// sent requests, and the decision module still decides each request exactly once.
func FuzzLists(f *testing.F) {
	for _, s := range []string{
		`{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"h:1","az":"a","model":"m2","pod_group":3,` +
			`"state":"active","capacity_hint":1.0,"boot_ms":0}]}`,
		`{"rev":42,"all":false,"targets":[{"uid":"s-1","endpoint":"h:2","state":"leaving","boot_ms":1500},` +
			`{"uid":"s-2","state":"left"}]}`,
		`{"rev":-1,"targets":[{"uid":"","state":"active","capacity_hint":-1e300,"boot_ms":1e300}]}`,
		`{"rev":1,"all":true,"targets":null}`,
		`[]`,
		`{`,
		``,
	} {
		f.Add([]byte(s), []byte(s))
	}
	logger := logtest.Discard()
	f.Fuzz(func(t *testing.T, first, second []byte) {
		g := decision.New(decision.Settings{
			Gateways: 80, SlowStartTime: 18, SlowStartShare: 0.2, MaxAttempts: 4,
			Classes: []decision.Class{
				{Name: "c", LatencyTarget: 1, Deadline: 3, Value: 1, Effect: decision.Idempotent},
			},
			Plans: []decision.Plan{{Name: "p", ValueWeight: 1}},
		}, 1)
		g.Handle(0, decision.Start{})
		w := &Watcher{Directory: &Directory{}, Log: logger, OnUpdate: func(b decision.Backends) { g.Handle(1, b) }}
		for i, raw := range [][]byte{first, second} {
			before, rev := maps.Clone(w.Directory.entries), w.rev
			if err := w.apply(raw); err != nil && (!maps.Equal(before, w.Directory.entries) || rev != w.rev) {
				t.Fatalf("error %v, and the list changed", err)
			}
			now, id, decisions := 2+10*float64(i), uint64(i+1), 0
			request := decision.Request{ID: id, Class: "c", Plan: "p", Customer: "c", TimeLeft: 3, Units: 1}
			actions := g.Handle(now, request)
			for end := now + 3; now < end; now += 0.05 { // a queued request is sent or rejected before its deadline
				for _, a := range append(actions, g.Handle(now, decision.Timer{Token: "tick"})...) {
					switch a := a.(type) {
					case decision.Send:
						if _, serving := w.Directory.Lookup(a.Backend); !serving {
							t.Fatalf("sent to %q, which is not serving", a.Backend)
						}
						decisions++
					case decision.Reject:
						decisions++
					}
				}
				actions = nil
			}
			if decisions != 1 {
				t.Fatalf("request %d: %d decisions in 3 s, want 1", id, decisions)
			}
		}
	})
}
