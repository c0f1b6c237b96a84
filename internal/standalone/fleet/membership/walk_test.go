package membership

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7") // fixed, so that results are reproducible
	os.Exit(m.Run())
}

func incarnation(boot uint64) Incarnation { return Incarnation{Boot: boot, Nonce: boot} }

func servingMember(name string, boot uint64) Member {
	return Member{Name: name, Addr: name + ":1", Incarnation: incarnation(boot), Phase: Serving}
}

func update(name string, boot uint64, s State) Event {
	return Update{Member: servingMember(name, boot), State: s}
}

// chooser draws random numbers. TestProperties uses rapid, TestMutants a seeded generator.
type chooser interface {
	Fatalf(format string, args ...any)
	below(n int) int
}

const (
	walkEvents = 60 // events of a random walk
	walkSelf   = "me"

	maxWalkProbes  = 8  // pending probes that a view may keep, in addition to one for each member
	maxWalkResults = 40 // results of probes that a view may keep
)

// modelMember is the state of a member in the model.
type modelMember struct {
	known              bool
	incarnation        Incarnation
	protocolState      State
	protocolStateSince Seconds
	lastContact        Seconds // time of the last message that was not old or replayed
	highestSeq         uint64
	probed             bool // the view has probed it since it was declared dead
}

// walker applies random events to a view and compares the view with the model after each.
type walker struct {
	chooser
	now         Seconds
	startedAt   Seconds
	view        *View
	names       []string
	model       map[string]*modelMember
	lastVersion uint64
	lastContact Seconds
	nameLost    bool
	probesSent  []SendMessage
}

// randomWalk applies random events of four members to a view. Each member uses two incarnations.
func randomWalk(c chooser) {
	w := &walker{
		chooser:   c,
		now:       100,
		startedAt: 100,
		names:     []string{"a", "b", "c", "d"},
		model:     map[string]*modelMember{},
	}
	w.view = New(w.now, servingMember(walkSelf, 1), 1+c.below(5), nil, 1)
	for _, name := range w.names {
		w.model[name] = &modelMember{}
	}
	for range walkEvents {
		w.randomEvent()
		w.check()
		if w.nameLost {
			return
		}
	}
}

func (w *walker) randomEvent() {
	name := w.names[w.below(len(w.names))]
	m := w.model[name]
	switch w.below(8) {
	case 0, 1:
		w.reportAlive(name, m)
	case 2:
		w.reportDeparture(name, m)
	case 3, 4:
		w.sendFrom(name, m)
	case 5:
		w.step(Paused{Duration: 5})
		w.lastContact = 0
		if r := w.view.Reachability(w.now); r.Level != Partitioned && r.Agreed > 1 {
			w.Fatalf("%v right after a pause", r.Level)
		}
	case 6:
		if w.below(8) == 0 {
			w.step(Message{From: walkSelf, Addr: "x", Incarnation: incarnation(uint64(1 + w.below(4))), Seq: 1})
		}
	default:
		for range 1 + w.below(12) {
			w.now += 0.1
			w.step(Tick{})
		}
	}
}

func (w *walker) reportAlive(name string, m *modelMember) {
	i := incarnation(uint64(1 + w.below(2)))
	w.step(Update{Member: Member{Name: name, Addr: name, Incarnation: i, Phase: Serving}, State: Alive})
	if m.known && m.incarnation.Newer(i) {
		return
	}
	if i != m.incarnation {
		m.lastContact = 0
		m.highestSeq = 0
	}
	m.known = true
	m.incarnation = i
	m.protocolState = Alive
	m.probed = false
}

func (w *walker) reportDeparture(name string, m *modelMember) {
	s := Dead
	if w.below(3) == 0 {
		s = Left
	}
	w.step(Update{Member: Member{Name: name}, State: s})
	if !m.known || m.protocolState == Left {
		return
	}
	if m.protocolState != s {
		m.probed = false
	}
	m.protocolState = s
	m.protocolStateSince = w.now
}

// sendFrom sends a probe or an acknowledgement from a member. About one in three messages is a replay, if the member
// has sent one before.
func (w *walker) sendFrom(name string, m *modelMember) {
	i := incarnation(uint64(1 + w.below(2)))
	seq := m.highestSeq + 1
	if replay := w.below(3) == 0; replay && m.highestSeq > 0 {
		seq = m.highestSeq
	}
	acked := uint64(0)
	for _, s := range w.probesSent {
		if s.To == name && w.below(2) == 0 {
			acked = s.Message.Seq
		}
	}
	w.step(Message{
		From:             name,
		Addr:             name,
		Incarnation:      i,
		Seq:              seq,
		AckedSeq:         acked,
		KnownIncarnation: w.view.Self().Incarnation,
	})
	if m.known && i == m.incarnation && seq > m.highestSeq {
		m.highestSeq = seq
		m.lastContact = w.now
		w.lastContact = w.now
	}
}

// step applies an event to the view and checks the actions that it returns.
func (w *walker) step(e Event) {
	for _, a := range w.view.Step(w.now, e) {
		switch a := a.(type) {
		case SendMessage:
			w.checkSent(e, a)
		case RaiseIncarnation:
			if w.now >= w.startedAt+conflictWindow {
				w.Fatalf("the incarnation is raised %.1f s after the start", w.now-w.startedAt)
			}
			w.view.SetIncarnation(incarnation(a.Boot))
		case NameConflict:
			if w.now < w.startedAt+conflictWindow {
				w.Fatalf("a process that has just started gives up its name")
			}
			w.nameLost = true
		case ViewChanged:
			if a.Reachability {
				continue
			}
			if a.Change.View <= w.lastVersion {
				w.Fatalf("version %d after %d", a.Change.View, w.lastVersion)
			}
			w.lastVersion = a.Change.View
		}
	}
}

func (w *walker) checkSent(e Event, sent SendMessage) {
	if m, ok := e.(Message); ok && m.AckedSeq != 0 && sent.Message.AckedSeq != 0 {
		w.Fatalf("an acknowledgement is acknowledged")
	}
	if sent.Message.AckedSeq != 0 {
		return
	}
	w.probesSent = append(w.probesSent, sent)
	if m := w.model[sent.To]; m != nil && m.protocolState == Dead {
		m.probed = true
	}
}

// check compares the view with the model.
func (w *walker) check() {
	r := w.view.Reachability(w.now)
	if w.nameLost {
		if r.Level != Partitioned {
			w.Fatalf("%v, and another process has the name", r.Level)
		}
		return
	}
	alive, agreed := 1, 1
	for _, s := range w.view.Members(w.now) {
		m := w.model[s.Name]
		if m == nil || !m.known {
			continue
		}
		if m.protocolState != Left {
			agreed++
		}
		if s.State == Alive && m.protocolState != Left {
			alive++
		}
		w.checkMember(s, m)
	}
	w.checkReachability(r, alive, agreed)
	v := w.view
	if len(v.changes) > maxChanges ||
		len(v.probes) > maxWalkProbes+len(w.names) ||
		len(v.probeResults) > maxWalkResults {
		w.Fatalf("%d changes, %d probes, %d results are kept", len(v.changes), len(v.probes), len(v.probeResults))
	}
}

func (w *walker) checkMember(s Status, m *modelMember) {
	if s.Incarnation != m.incarnation {
		w.Fatalf("%s has start %d, its latest is %d", s.Name, s.Boot, m.incarnation.Boot)
	}
	switch {
	case s.State == Dead && (m.protocolState != Dead || !m.probed):
		w.Fatalf("%s is dead: by the protocol %v, probed since %v", s.Name, m.protocolState, m.probed)
	case s.State == Dead && m.lastContact > m.protocolStateSince && w.now < m.lastContact+minLinkTTL:
		w.Fatalf("%s is dead, with a message %.1f s ago", s.Name, w.now-m.lastContact)
	case s.State == Left && m.protocolState != Left, s.State != Left && m.protocolState == Left:
		w.Fatalf("%s is %v, by the protocol %v", s.Name, s.State, m.protocolState)
	case s.LastContact != m.lastContact:
		w.Fatalf("%s: last contact at %.1f, want %.1f", s.Name, s.LastContact, m.lastContact)
	}
}

func (w *walker) checkReachability(r Reachability, alive, agreed int) {
	withoutContact := w.lastContact == 0 || w.now >= w.lastContact+reachabilityTTL
	if r.Level != Partitioned && r.Agreed > 1 &&
		(r.Alive*2 <= r.Agreed || r.Alive > alive || r.Agreed < agreed || withoutContact) {
		w.Fatalf("%v: %d of %d, by the model %d of %d, last contact %.1f s ago",
			r.Level, r.Alive, r.Agreed, alive, agreed, w.now-w.lastContact)
	}
	if w.view.formed && r.Agreed != agreed {
		w.Fatalf("%d agreed, want %d: members that left don't count", r.Agreed, agreed)
	}
	if r.Level == Complete && r.Alive != r.Agreed {
		w.Fatalf("complete: %d of %d", r.Alive, r.Agreed)
	}
}

// rapidChooser draws numbers from rapid, which shrinks failing walks.
type rapidChooser struct{ *rapid.T }

func (c rapidChooser) below(n int) int { return rapid.IntRange(0, n-1).Draw(c.T, "choice") }

// TestProperties checks with random events that the view matches the model, see check and step. For example, a member
// that sent a message after the protocol declared it dead is not published as dead until the state of its link expires,
// and a view without recent contact is Partitioned.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomWalk(rapidChooser{t}) })
}
