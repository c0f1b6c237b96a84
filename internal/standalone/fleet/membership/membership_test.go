package membership

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7") // the same verdict every time
	os.Exit(m.Run())
}

func claim(boot uint64) Incarnation { return Incarnation{Boot: boot, Nonce: boot} }

func peerNamed(name string, boot uint64) Member {
	return Member{Name: name, Addr: name + ":1", Incarnation: claim(boot), Phase: Serving}
}

func told(name string, boot uint64, s State) Event {
	return Update{peerNamed(name, boot), s}
}

// sayer is whoever draws: rapid, or a generator of random numbers where seeded faults are looked for.
type sayer interface {
	Fatalf(format string, args ...any)
	below(n int) int
}

// walk lets a view live through events by chance, among four peers of which each speaks under two claims, and checks after each
// what must hold.
func walk(t sayer) {
	names := []string{"a", "b", "c", "d"}
	now := Seconds(100)
	v := New(now, peerNamed("me", 1), 1+t.below(5), nil, 1)
	type shadow struct {
		claim   Incarnation
		told    State
		toldAt  Seconds
		heard   Seconds // a word that counts
		asked   bool    // since it was given up
		known   bool
		highest uint64
	}
	model := map[string]*shadow{}
	for _, n := range names {
		model[n] = &shadow{}
	}
	lastView, contact, begun := uint64(0), Seconds(0), now
	asides := false
	var out []SendMessage
	act := func(e Event) {
		for _, a := range v.Step(now, e) {
			switch a := a.(type) {
			case SendMessage:
				if w, ok := e.(Message); ok && w.AckedSeq != 0 && a.Message.AckedSeq != 0 {
					t.Fatalf("an answer is answered")
				}
				if a.Message.AckedSeq == 0 {
					out = append(out, a)
					if m := model[a.To]; m != nil && m.told == Dead {
						m.asked = true
					}
				}
			case RaiseIncarnation:
				if now >= begun+conflictWindow {
					t.Fatalf("a count is raised %.1f s after the start", now-begun)
				}
				v.SetIncarnation(claim(a.Boot))
			case NameConflict:
				if now < begun+conflictWindow {
					t.Fatalf("a process stands aside that has just begun")
				}
				asides = true
			case ViewChanged:
				if a.Reachability {
					break
				}
				if a.Change.View <= lastView {
					t.Fatalf("view %d after %d", a.Change.View, lastView)
				}
				lastView = a.Change.View
			}
		}
	}
	for range 60 {
		name := names[t.below(len(names))]
		m := model[name]
		switch t.below(8) {
		case 0, 1:
			c := claim(uint64(1 + t.below(2)))
			act(Update{Member{Name: name, Addr: name, Incarnation: c, Phase: Serving}, Alive})
			if !m.known || !m.claim.Newer(c) {
				if c != m.claim {
					m.heard, m.highest = 0, 0
				}
				m.known, m.claim, m.told, m.asked = true, c, Alive, false
			}
		case 2:
			s := Dead
			if t.below(3) == 0 {
				s = Left
			}
			act(Update{Member{Name: name}, s})
			if m.known && m.told != Left {
				if m.told != s {
					m.asked = false
				}
				m.told, m.toldAt = s, now
			}
		case 3, 4: // a word, now and then one that was said before
			c, seq := claim(uint64(1+t.below(2))), m.highest+1
			if again := t.below(3) == 0; again && m.highest > 0 {
				seq = m.highest
			}
			echo := uint64(0)
			for _, s := range out {
				if s.To == name && t.below(2) == 0 {
					echo = s.Message.Seq
				}
			}
			act(Message{From: name, Addr: name, Incarnation: c, Seq: seq, AckedSeq: echo, KnownIncarnation: v.Self().Incarnation})
			if m.known && c == m.claim && seq > m.highest {
				m.highest, m.heard, contact = seq, now, now
			}
		case 5:
			act(Paused{5})
			contact = 0
			if j := v.Reachability(now); j.Level != Partitioned && j.Agreed > 1 {
				t.Fatalf("%v right behind a stall", j.Level)
			}
		case 6:
			if t.below(8) == 0 {
				act(Message{From: "me", Addr: "x", Incarnation: claim(uint64(1 + t.below(4))), Seq: 1})
			}
		default:
			for range 1 + t.below(12) {
				now += 0.1
				act(Tick{})
			}
		}
		// What must hold after each.
		j := v.Reachability(now)
		if asides {
			if j.Level != Partitioned {
				t.Fatalf("%v, and another has the name", j.Level)
			}
			return
		}
		alive, agreed := 1, 1
		for _, s := range v.Members(now) {
			m := model[s.Name]
			if m == nil || !m.known {
				continue
			}
			if m.told != Left {
				agreed++
			}
			if s.State == Alive && m.told != Left {
				alive++
			}
			if s.Incarnation != m.claim {
				t.Fatalf("%s has start %d, its latest is %d", s.Name, s.Boot, m.claim.Boot)
			}
			switch {
			case s.State == Dead && (m.told != Dead || !m.asked):
				t.Fatalf("%s is dead: told %v, asked since %v", s.Name, m.told, m.asked)
			case s.State == Dead && m.heard > m.toldAt && now < m.heard+minLinkTTL:
				t.Fatalf("%s is dead, and was heard %.1f s ago", s.Name, now-m.heard)
			case s.State == Left && m.told != Left, s.State != Left && m.told == Left:
				t.Fatalf("%s is %v, told %v", s.Name, s.State, m.told)
			case s.LastContact != m.heard:
				t.Fatalf("%s was heard at %.1f, not at %.1f", s.Name, m.heard, s.LastContact)
			}
		}
		if j.Level != Partitioned && j.Agreed > 1 && (j.Alive*2 <= j.Agreed || j.Alive > alive || j.Agreed < agreed || contact == 0 || now >= contact+reachabilityTTL) {
			t.Fatalf("%v: %d of %d, shown %d of %d, heard %.1f s ago", j.Level, j.Alive, j.Agreed, alive, agreed, now-contact)
		}
		if v.formed && j.Agreed != agreed {
			t.Fatalf("%d agreed, not %d: who said goodbye is not missed", j.Agreed, agreed)
		}
		if j.Level == Complete && j.Alive != j.Agreed {
			t.Fatalf("whole: %d of %d", j.Alive, j.Agreed)
		}
		if len(v.changes) > maxChanges || len(v.probes) > 8+len(names) || len(v.probeResults) > 40 {
			t.Fatalf("%d changes, %d questions, %d results are kept", len(v.changes), len(v.probes), len(v.probeResults))
		}
	}
}

type drawn struct{ *rapid.T }

func (d drawn) below(n int) int { return rapid.IntRange(0, n-1).Draw(d.T, "choice") }

func TestWhatMustHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { walk(drawn{t}) })
}

// A member by member story of a fleet of three: how much is heard, what each is, and for how long that is believed.
func TestStory(t *testing.T) {
	now := Seconds(0)
	v := New(now, peerNamed("a", 1), 3, nil, 1)
	type look struct {
		Sure   string
		Heard  int
		Agreed int
		B, C   string
	}
	at := func() (l look) {
		j := v.Reachability(now)
		l = look{Sure: j.Level.String(), Heard: j.Alive, Agreed: j.Agreed}
		for _, s := range v.Members(now) {
			switch s.Name {
			case "b":
				l.B = s.State.String() + " " + s.Link.String()
			case "c":
				l.C = s.State.String() + " " + s.Link.String()
			}
		}
		return l
	}
	seq := map[string]uint64{}
	// pass lets time go, in which the members named answer.
	pass := func(seconds Seconds, answering ...string) {
		for end := now + seconds; now < end; {
			now += 0.1
			for _, a := range v.Step(now, Tick{}) {
				s, ok := a.(SendMessage)
				for _, n := range answering {
					if ok && s.To == n {
						seq[n]++
						v.Step(now, Message{From: n, Incarnation: claim(1), Seq: seq[n], AckedSeq: s.Message.Seq, KnownIncarnation: v.Self().Incarnation})
					}
				}
			}
		}
	}
	check := func(when string, want look) {
		t.Helper()
		if diff := cmp.Diff(want, at()); diff != "" {
			t.Errorf("%s:\n%s", when, diff)
		}
	}
	check("begun", look{"cut-off", 1, 3, "", ""})
	v.Step(now, told("b", 1, Alive))
	pass(3, "b")
	check("one of two is there", look{"thinned", 2, 3, "alive both", ""})
	v.Step(now, told("c", 1, Alive))
	pass(4, "b", "c")
	check("all are there", look{"whole", 3, 3, "alive both", "alive both"})
	pass(2.1)
	check("nobody answers", look{"cut-off", 3, 3, "alive none", "alive none"})
	pass(4, "b", "c")
	v.Step(now, told("c", 1, Dead))
	check("given up by the protocol, and asked", look{"thinned", 2, 3, "alive both", "suspect both"})
	pass(1, "b")
	check("it did not answer, and spoke a moment ago", look{"thinned", 2, 3, "alive both", "suspect none"})
	pass(3.2, "b")
	check("it did not answer", look{"thinned", 2, 3, "alive both", "dead none"})
	seq["c"]++
	v.Step(now, Message{From: "c", Incarnation: claim(1), Seq: seq["c"]})
	check("it speaks: the way to it is cut", look{"whole", 3, 3, "alive both", "alive in"})
	pass(8, "b")
	check("it speaks no more", look{"thinned", 2, 3, "alive both", "dead none"})
	v.Step(now, told("b", 1, Dead))
	pass(4.2)
	check("alone", look{"cut-off", 1, 3, "dead none", "dead none"})
	v.Step(now, told("b", 1, Alive))
	v.Step(now, told("c", 1, Alive))
	pass(4, "b", "c")
	v.Step(now, told("c", 1, Left))
	pass(1, "b")
	check("one left: two are the fleet", look{"whole", 2, 2, "alive both", "left both"})
	v.Step(now, Paused{20})
	check("it stood still", look{"cut-off", 2, 2, "alive both", "left both"})
	v.Step(now, ProtocolRestarted{})
	pass(1, "b")
	check("not told again yet", look{"cut-off", 1, 2, "alive both", "left both"})
	v.Step(now, told("b", 1, Alive))
	pass(1, "b")
	check("told again", look{"whole", 2, 2, "alive both", "left both"})
	v.Step(now, told("b", 2, Alive))
	v.Step(now, told("b", 1, Alive))
	if b := v.Members(now)[1]; b.Boot != 2 {
		t.Errorf("an older start took the name back: %d", b.Boot)
	}
}

// Two processes under one name: the one that began last keeps it; a count that is behind is raised only at the start.
func TestClaims(t *testing.T) {
	for _, row := range []struct {
		name string
		age  Seconds
		by   Incarnation
		want Action
	}{
		{"just begun, its folder is old", 1, Incarnation{7, 1}, RaiseIncarnation{8}},
		{"another began later", 60, Incarnation{7, 1}, NameConflict{Incarnation{7, 1}}},
		{"another has the same count, drawn higher", 60, Incarnation{3, 9}, NameConflict{Incarnation{3, 9}}},
	} {
		v := New(0, Member{Name: "a", Incarnation: Incarnation{3, 5}}, 2, nil, 1)
		got := v.Step(row.age, Message{From: "a", Addr: "x", Incarnation: row.by, Seq: 1})
		if len(got) == 0 || got[0] != row.want {
			t.Errorf("%s: %v, want %v", row.name, got, row.want)
		}
	}
	v := New(0, Member{Name: "a", Incarnation: Incarnation{3, 5}}, 2, nil, 1)
	got := v.Step(60, Message{From: "a", Addr: "x", Incarnation: Incarnation{2, 9}, Seq: 4})
	if s, ok := got[0].(SendMessage); !ok || s.Message.KnownIncarnation != (Incarnation{3, 5}) || s.Addr != "x" {
		t.Errorf("an older start hears %v", got)
	}
}

// One that the protocol gave up is asked often before it is held for dead: of a dozen questions that are lost or whose answers are,
// the next one's answer keeps it. An earlier last question does not end the doubt of a later one.
func TestLastQuestion(t *testing.T) {
	for _, answered := range []int{1, finalProbeAttempts - 1, 0} {
		v := New(100, peerNamed("me", 1), 2, nil, 1)
		v.Step(100, told("a", 1, Alive))
		v.Step(100, told("a", 1, Dead))
		v.Step(100.2, told("a", 1, Alive))
		v.Step(100.4, told("a", 1, Dead))
		said, deadAt := 0, 0.0
		for now := 100.4; now < 105; now += 0.1 {
			for _, a := range v.Step(now, Tick{}) {
				if s, ok := a.(SendMessage); ok && s.To == "a" {
					if said++; said == answered {
						v.Step(now, Message{From: "a", Incarnation: claim(1), Seq: 1, AckedSeq: s.Message.Seq, KnownIncarnation: claim(1)})
					}
				}
			}
			if v.Members(now)[0].State == Dead && deadAt == 0 {
				deadAt = now - 100.4
			}
		}
		if answered > 0 && deadAt > 0 {
			t.Errorf("it answered question %d, and was held for dead after %.1f s", answered, deadAt)
		}
		if answered == 0 && (deadAt < finalProbeAttempts*0.05 || deadAt > 1.3) {
			t.Errorf("it never answered: held for dead after %.1f s", deadAt)
		}
	}
}
