package revisionlog

import (
	"fmt"
	"testing"
)

// checkSuccession simulates a lease holder that announces a revision to only one peer and is then killed. The file of
// its successor has a different revision under the same number, so the successor must query the peer first and announce
// its predecessor's revision. Messages of the predecessor that arrive later must have no effect. The test of seeded
// faults expects an error from this check or from a simulated fleet.
func checkSuccession() error {
	subscriber, successor := New(Record{}), New(Record{})
	first := Entry{Number: 1, Token: 1, Digest: "first", Text: []byte("first")}
	second := Entry{Number: 1, Digest: "second", Text: []byte("second")}
	late := Entry{Number: 2, Token: 1, Digest: "late", Text: []byte("late")}

	subscriber.Step(1, MessageReceived{"former", Message{Kind: Announce, Token: 1, Entries: []Entry{first}}})
	successor.Step(2, LocalRevision{second})
	successor.Step(2, LeaseGained{2})
	logs := map[string]*Log{"subscriber": subscriber, "successor": successor}
	for now := Seconds(2); now < 8; now += 0.1 {
		actions := map[string][]Action{
			"successor":  successor.Step(now, Tick{LivePeers: []string{"subscriber"}, LeaseHolder: "successor"}),
			"subscriber": subscriber.Step(now, Tick{LivePeers: []string{"successor"}, LeaseHolder: "successor"}),
		}
		for len(actions) > 0 {
			actions = execute(now, logs, actions)
		}
	}
	if got, _ := successor.Entries(); len(got) != 1 || got[0].Digest != "first" {
		return fmt.Errorf("the successor has %v, want the first revision", got)
	}

	subscriber.Step(9, MessageReceived{"former", Message{Kind: Announce, Token: 1, Entries: []Entry{late}}})
	if got, _ := subscriber.Entries(); len(got) != 1 {
		return fmt.Errorf("the subscriber has %v, and must reject messages under an older token", got)
	}
	return nil
}

// execute delivers messages and stores records at once, and returns the resulting actions. Messages to ingresses that
// are not in logs are lost.
func execute(now Seconds, logs map[string]*Log, actions map[string][]Action) map[string][]Action {
	next := map[string][]Action{}
	for from, list := range actions {
		for _, action := range list {
			switch action := action.(type) {
			case Send:
				if to := logs[action.To]; to != nil {
					next[action.To] = append(next[action.To], to.Step(now, MessageReceived{from, action.Message})...)
				}
			case StoreRecord:
				next[from] = append(next[from], logs[from].Step(now, RecordStored(action))...)
			}
		}
	}
	return next
}

func TestSuccession(t *testing.T) {
	if err := checkSuccession(); err != nil {
		t.Error(err)
	}
}

// TestSimulatedFaults checks that no number is announced with two contents under one token, that an ingress keeps what
// it confirmed, and that all ingresses have the same revisions once the faults have ended.
func TestSimulatedFaults(t *testing.T) {
	for seed := range uint64(100) {
		if violation := simulate(seed); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}
