package decision

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// lifecycleState is the state that a process reports, and whether it accepted each event.
type lifecycleState struct {
	Phase                       string
	Ready, Alive, Open, Accepts bool
	Accepted                    []bool
}

var lifecycleCases = []struct {
	name   string
	events []LifecycleEvent
	want   lifecycleState
}{
	{"new", nil, lifecycleState{"starting", false, false, true, true, nil}},
	{"started", []LifecycleEvent{Started}, lifecycleState{"serving", true, true, true, true, []bool{true}}},
	{
		"rejoin before serving is rejected", []LifecycleEvent{Rejoin},
		lifecycleState{"starting", false, false, true, true, []bool{false}},
	},
	{
		"lame duck", []LifecycleEvent{Started, EnterLameDuck},
		lifecycleState{"lame-duck", false, true, false, true, []bool{true, true}},
	},
	{
		"lame duck twice", []LifecycleEvent{Started, EnterLameDuck, EnterLameDuck},
		lifecycleState{"lame-duck", false, true, false, true, []bool{true, true, true}},
	},
	{
		"rejoined", []LifecycleEvent{Started, EnterLameDuck, Rejoin},
		lifecycleState{"serving", true, true, true, true, []bool{true, true, true}},
	},
	{
		"started again changes nothing", []LifecycleEvent{Started, EnterLameDuck, Started},
		lifecycleState{"lame-duck", false, true, false, true, []bool{true, true, true}},
	},
	{
		"terminated", []LifecycleEvent{Started, Terminate},
		lifecycleState{"stopping", false, false, true, true, []bool{true, true}},
	},
	{
		"closing", []LifecycleEvent{Started, Terminate, Close},
		lifecycleState{"closing", false, false, false, false, []bool{true, true, true}},
	},
	{
		"closing rejects the rest",
		[]LifecycleEvent{Started, Terminate, Close, Rejoin, EnterLameDuck, Terminate},
		lifecycleState{"closing", false, false, false, false, []bool{true, true, true, false, false, false}},
	},
	{
		"stopping is final", []LifecycleEvent{Started, Terminate, Rejoin, EnterLameDuck, Started},
		lifecycleState{"stopping", false, false, true, true, []bool{true, true, false, false, false}},
	},
	{
		"terminated while lame duck", []LifecycleEvent{Started, EnterLameDuck, Terminate},
		lifecycleState{"stopping", false, false, true, true, []bool{true, true, true}},
	},
}

// TestLifecycle applies sequences of events and checks the state that the process then reports.
func TestLifecycle(t *testing.T) {
	for _, c := range lifecycleCases {
		t.Run(c.name, func(t *testing.T) {
			var l Lifecycle
			got := lifecycleState{}
			for _, e := range c.events {
				got.Accepted = append(got.Accepted, l.Handle(e))
			}
			got.Phase, got.Ready, got.Alive = l.Phase().String(), l.Ready(), l.Phase().Alive()
			got.Open, got.Accepts = l.KeepOpen(), l.Accepts()
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}
