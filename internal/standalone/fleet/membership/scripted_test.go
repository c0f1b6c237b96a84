package membership

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// script runs the view of member a in a fleet of three: a, b and c.
type script struct {
	now  Seconds
	view *View
	seqs map[string]uint64 // sequence numbers of the last messages of b and c
}

// snapshot is the reachability and the states of members by the view of a.
type snapshot struct {
	Level  string
	Alive  int
	Agreed int
	B      string // state and link
	C      string
}

func (s *script) snapshot() snapshot {
	r := s.view.Reachability(s.now)
	got := snapshot{Level: r.Level.String(), Alive: r.Alive, Agreed: r.Agreed}
	for _, m := range s.view.Members(s.now) {
		switch m.Name {
		case "b":
			got.B = m.State.String() + " " + m.Link.String()
		case "c":
			got.C = m.State.String() + " " + m.Link.String()
		}
	}
	return got
}

// advance lets time pass, during which the named members acknowledge each message sent to them.
func (s *script) advance(duration Seconds, responding ...string) {
	for end := s.now + duration; s.now < end; {
		s.now += 0.1
		for _, a := range s.view.Step(s.now, Tick{}) {
			sent, ok := a.(SendMessage)
			for _, name := range responding {
				if ok && sent.To == name {
					s.seqs[name]++
					s.view.Step(s.now, Message{
						From:             name,
						Incarnation:      incarnation(1),
						Seq:              s.seqs[name],
						AckedSeq:         sent.Message.Seq,
						KnownIncarnation: s.view.Self().Incarnation,
					})
				}
			}
		}
	}
}

// TestScript runs a fleet of three through starts, losses, departures and pauses. After each stage it checks the
// reachability, the state and link of each member, and for how long they are valid.
func TestScript(t *testing.T) {
	s := &script{view: New(0, servingMember("a", 1), 3, nil, 1), seqs: map[string]uint64{}}
	step := func(e Event) { s.view.Step(s.now, e) }
	for _, stage := range []struct {
		name string
		do   func()
		want snapshot
	}{
		{"started", func() {}, snapshot{"cut-off", 1, 3, "", ""}},
		{"one of two other members is reported", func() {
			step(update("b", 1, Alive))
			s.advance(3, "b")
		}, snapshot{"thinned", 2, 3, "alive both", ""}},
		{"all members are reported", func() {
			step(update("c", 1, Alive))
			s.advance(4, "b", "c")
		}, snapshot{"whole", 3, 3, "alive both", "alive both"}},
		{"nobody answers", func() { s.advance(2.1) }, snapshot{"cut-off", 3, 3, "alive none", "alive none"}},
		{"declared dead by the protocol, and probed", func() {
			s.advance(4, "b", "c")
			step(update("c", 1, Dead))
		}, snapshot{"thinned", 2, 3, "alive both", "suspect both"}},
		{"it doesn't answer, but sent a message a moment ago", func() { s.advance(1, "b") },
			snapshot{"thinned", 2, 3, "alive both", "suspect none"}},
		{"it doesn't answer", func() { s.advance(3.2, "b") }, snapshot{"thinned", 2, 3, "alive both", "dead none"}},
		{"it sends again: only messages to it are lost", func() {
			s.seqs["c"]++
			step(Message{From: "c", Incarnation: incarnation(1), Seq: s.seqs["c"]})
		}, snapshot{"whole", 3, 3, "alive both", "alive in"}},
		{"it sends no more", func() { s.advance(8, "b") }, snapshot{"thinned", 2, 3, "alive both", "dead none"}},
		{"alone", func() {
			step(update("b", 1, Dead))
			s.advance(4.2)
		}, snapshot{"cut-off", 1, 3, "dead none", "dead none"}},
		{"one left: the fleet has two members", func() {
			step(update("b", 1, Alive))
			step(update("c", 1, Alive))
			s.advance(4, "b", "c")
			step(update("c", 1, Left))
			s.advance(1, "b")
		}, snapshot{"whole", 2, 2, "alive both", "left both"}},
		{"the process was suspended", func() { step(Paused{Duration: 20}) },
			snapshot{"cut-off", 2, 2, "alive both", "left both"}},
		{"not reported again yet", func() {
			step(ProtocolRestarted{})
			s.advance(1, "b")
		}, snapshot{"cut-off", 1, 2, "alive both", "left both"}},
		{"reported again", func() {
			step(update("b", 1, Alive))
			s.advance(1, "b")
		}, snapshot{"whole", 2, 2, "alive both", "left both"}},
	} {
		stage.do()
		if diff := cmp.Diff(stage.want, s.snapshot()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", stage.name, diff)
		}
	}
	step(update("b", 2, Alive))
	step(update("b", 1, Alive))
	if b := s.view.Members(s.now)[1]; b.Boot != 2 {
		t.Errorf("an older start took the name back: got start %d, want 2", b.Boot)
	}
}

// TestNameConflicts checks that, if two processes use one name, the later incarnation keeps it, and that a process
// raises its boot count only shortly after its start.
func TestNameConflicts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		age   Seconds
		other Incarnation
		want  Action
	}{
		{"just started with an old folder", 1, Incarnation{7, 1}, RaiseIncarnation{8}},
		{"another started later", 60, Incarnation{7, 1}, NameConflict{Incarnation{7, 1}}},
		{"another has the same count and a higher nonce", 60, Incarnation{3, 9}, NameConflict{Incarnation{3, 9}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := New(0, Member{Name: "a", Incarnation: Incarnation{3, 5}}, 2, nil, 1)
			got := v.Step(tc.age, Message{From: "a", Addr: "x", Incarnation: tc.other, Seq: 1})
			if len(got) == 0 || got[0] != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
	t.Run("an older start is informed of the newer one", func(t *testing.T) {
		v := New(0, Member{Name: "a", Incarnation: Incarnation{3, 5}}, 2, nil, 1)
		got := v.Step(60, Message{From: "a", Addr: "x", Incarnation: Incarnation{2, 9}, Seq: 4})
		s, ok := got[0].(SendMessage)
		if !ok || s.Message.KnownIncarnation != (Incarnation{3, 5}) || s.Addr != "x" {
			t.Errorf("got %v, want a message to x that knows {3 5}", got)
		}
	})
}

// TestFinalProbe checks the final probe of a member that the protocol declares dead. Acknowledging any of its attempts
// keeps the member alive, and the end of an earlier final probe doesn't end a later one.
func TestFinalProbe(t *testing.T) {
	const declaredDead = 100.4
	for _, acknowledged := range []int{1, finalProbeAttempts - 1, 0} {
		v := New(100, servingMember(walkSelf, 1), 2, nil, 1)
		v.Step(100, update("a", 1, Alive))
		v.Step(100, update("a", 1, Dead))
		v.Step(100.2, update("a", 1, Alive))
		v.Step(declaredDead, update("a", 1, Dead))
		sent, deadAfter := 0, 0.0
		for now := declaredDead; now < 105; now += 0.1 {
			for _, a := range v.Step(now, Tick{}) {
				s, ok := a.(SendMessage)
				if !ok || s.To != "a" {
					continue
				}
				if sent++; sent == acknowledged {
					v.Step(now, Message{
						From:             "a",
						Incarnation:      incarnation(1),
						Seq:              1,
						AckedSeq:         s.Message.Seq,
						KnownIncarnation: incarnation(1),
					})
				}
			}
			if v.Members(now)[0].State == Dead && deadAfter == 0 {
				deadAfter = now - declaredDead
			}
		}
		if acknowledged > 0 && deadAfter > 0 {
			t.Errorf("it acknowledged attempt %d and counts as dead after %.1f s", acknowledged, deadAfter)
		}
		if acknowledged == 0 && (deadAfter < finalProbeAttempts*0.05 || deadAfter > 1.3) {
			t.Errorf("it never answered: dead after %.1f s, want %.1f to 1.3", deadAfter, finalProbeAttempts*0.05)
		}
	}
}
