package decision

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLifecycle plays sequences of events and what the process then says.
func TestLifecycle(t *testing.T) {
	type said struct {
		Phase                       string
		Ready, Alive, Open, Accepts bool
		Taken                       []bool
	}
	for _, c := range []struct {
		name   string
		events []LifecycleEvent
		want   said
	}{
		{"new", nil, said{"starting", false, false, true, true, nil}},
		{"started", []LifecycleEvent{Started}, said{"serving", true, true, true, true, []bool{true}}},
		{"rejoin before serving is refused", []LifecycleEvent{Rejoin}, said{"starting", false, false, true, true, []bool{false}}},
		{"lame duck", []LifecycleEvent{Started, EnterLameDuck}, said{"lame-duck", false, true, false, true, []bool{true, true}}},
		{"lame duck twice", []LifecycleEvent{Started, EnterLameDuck, EnterLameDuck}, said{"lame-duck", false, true, false, true, []bool{true, true, true}}},
		{"rejoined", []LifecycleEvent{Started, EnterLameDuck, Rejoin}, said{"serving", true, true, true, true, []bool{true, true, true}}},
		{"started again changes nothing", []LifecycleEvent{Started, EnterLameDuck, Started}, said{"lame-duck", false, true, false, true, []bool{true, true, true}}},
		{"terminated", []LifecycleEvent{Started, Terminate}, said{"stopping", false, false, true, true, []bool{true, true}}},
		{"closing", []LifecycleEvent{Started, Terminate, Close}, said{"closing", false, false, false, false, []bool{true, true, true}}},
		{"closing refuses the rest", []LifecycleEvent{Started, Terminate, Close, Rejoin, EnterLameDuck, Terminate}, said{"closing", false, false, false, false, []bool{true, true, true, false, false, false}}},
		{"no way back from stopping", []LifecycleEvent{Started, Terminate, Rejoin, EnterLameDuck, Started}, said{"stopping", false, false, true, true, []bool{true, true, false, false, false}}},
		{"terminated while lame", []LifecycleEvent{Started, EnterLameDuck, Terminate}, said{"stopping", false, false, true, true, []bool{true, true, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l Lifecycle
			got := said{}
			for _, e := range c.events {
				got.Taken = append(got.Taken, l.Handle(e))
			}
			got.Phase, got.Ready, got.Alive, got.Open, got.Accepts = l.Phase().String(), l.Ready(), l.Phase().Alive(), l.KeepOpen(), l.Accepts()
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}
