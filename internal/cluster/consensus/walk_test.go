package consensus

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"mulleinrouter/internal/cluster/configuration"
)

// The walks: three voters and two more nodes that lose power and disks and go for good, take one another's places
// among the voters, and have proposers that get in one another's way, over a network that loses, repeats and
// reorders. The plain model beside them is a list of what was chosen for each epoch.

type (
	items = []configuration.Item
	whole map[configuration.Key]configuration.Item
)

// A whole is valid if no two items that stand have the same body.
func checkWhole(w whole, call items) (items, whole, error) {
	next, changed := maps.Clone(w), items(nil)
	if next == nil {
		next = whole{}
	}
	for _, i := range call {
		if old, ok := next[i.Key]; !ok || i.NewerThan(old) {
			next[i.Key] = i
			changed = append(changed, i)
		}
	}
	seen := map[string]bool{}
	for _, i := range next {
		if i.Deleted {
			continue
		}
		if seen[string(i.Body)] {
			return nil, nil, errors.New("taken")
		}
		seen[string(i.Body)] = true
	}
	return changed, next, nil
}

type disk struct {
	Acceptor
	whole whole
}

// blank tells whether nothing that matters was ever written to it.
func (d disk) blank() bool { return !d.Electorate.Known() }

// seat is a change of the electorate that a node wants: in takes the place of out.
type seat struct {
	out string
	in  Voter
}

type call struct {
	id      int
	items   items
	refused bool
	taken   bool
	at      int // node that has it; -1: the operator does not know what became of it
}

type node struct {
	disk         // in memory
	kept    disk // on disk
	gone    bool // for good, with its disk
	want    *seat
	changed uint64 // the electorate was changed in this run, by that epoch
	late    []message
	name    string
	p       *Proposer
	todo    Action // what the proposer waits for
	left    bool   // the run was given up: answers still reach the proposer, and what it says to them is not done
	reading bool
	before  []*call // taken before the reading began
	calls   []*call // in this run
	queue   []*call
}

type message struct {
	from, to, try int
	life          string // of the process that asks: an answer reaches no other
	prepare, read *Ballot
	promise       *Promise
	accept        *Proposal
	accepted      *Accepted
	chosen        *Proposal
	since         *uint64
	upTo          Base
	items         items
	got           bool
}

type world struct {
	rnd     *rand.Rand
	first   []string // the voters of the first start
	names   []string
	nodes   []*node
	bag     []message
	calls   []*call
	chosen  map[uint64]string
	version uint64
	lives   int
	fault   string
	harsh   int // of a thousand steps are losses
	seats   int // of a thousand steps are changes of the electorate
	cut     int // node that hears nobody and is not heard; -1: none
	wrong   string
}

func newWorld(seed uint64, fault string) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 7)), names: []string{"0", "1", "2", "3", "4"}, chosen: map[uint64]string{}, fault: fault, harsh: 5 + 20*int(seed%2), seats: 5 + 10*int(seed%3), cut: -1}
	w.first = w.names[:3]
	for i := range w.names {
		n := &node{}
		if i < len(w.first) && (i > 0 || seed%8 != 3) { // one may have fallen before it had written to its disk
			n.kept.Electorate = InitialElectorate(w.first)
		}
		w.nodes = append(w.nodes, n)
	}
	for i := range w.nodes {
		w.begin(i)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

// begin starts the process of a node.
func (w *world) begin(i int) {
	n := w.nodes[i]
	w.lives++
	n.disk = n.kept
	n.Addr = w.names[i]
	n.name = fmt.Sprintf("%d/%d", i, w.lives)
	n.p, n.todo, n.late, n.left, n.want = NewProposer(n.name, uint64(w.lives)), Action{Kind: Done}, nil, false, nil
	n.changed = 0
	for _, c := range append(n.queue, n.calls...) {
		c.at = -1
	}
	n.queue, n.calls, n.reading = nil, nil, false
	if n.blank() && w.fault == "votes-blank" && i < len(w.first) {
		n.Electorate = InitialElectorate(w.first)
	}
	if n.blank() && n.Disk == 0 {
		n.Disk = uint64(w.lives)
	}
}

// step does one thing that may happen next.
func (w *world) step() {
	i := w.rnd.IntN(len(w.nodes))
	n := w.nodes[i]
	if n.gone {
		i = (i + 1) % len(w.nodes)
		n = w.nodes[i]
	}
	if n.gone {
		return
	}
	switch k := w.rnd.IntN(1000); {
	case k < 8:
		w.cut = w.rnd.IntN(4*len(w.nodes)) - 3*len(w.nodes)
	case k < 550:
		w.deliver(true)
	case k < 800:
		w.sync(i)
	case k < 860:
		if len(w.bag) > 0 && w.rnd.IntN(2) == 0 {
			w.take()
		} else if n.todo.Kind != Done && n.todo.Kind != Backoff {
			w.act(i, n.p.Timeout(n.todo.Attempt))
		}
	case k < 900:
		w.act(i, n.p.Resumed(n.todo.Attempt, n.Base()))
	case k < 900+w.harsh*2/3:
		w.begin(i)
	case k < 900+w.harsh:
		if !w.bears(i) {
			return
		}
		n.kept = disk{}
		if w.rnd.IntN(6) == 0 {
			n.gone = true
			n.disk, n.late, n.todo = disk{}, nil, Action{Kind: Done}
			for _, c := range append(n.queue, n.calls...) {
				c.at = -1
			}
			n.queue, n.calls, n.reading = nil, nil, false
			return
		}
		w.begin(i)
	case k < 945:
		w.send(i)
	case k < 985-w.seats:
		if n.todo.Kind == Done {
			w.start(i, w.rnd.IntN(4) == 0)
		} else if w.rnd.IntN(4) == 0 {
			w.leave(i)
		}
	case k < 985:
		if n.todo.Kind == Done && n.Electorate.Known() {
			w.seat(i)
		}
	default:
		w.fetch(i, w.rnd.IntN(len(w.nodes)), 0)
	}
}

// lost tells whether a voter's disk is gone.
func (w *world) lost(v Voter, also int) bool {
	k := slices.Index(w.names, v.Addr)
	n := w.nodes[k]
	if k == also || n.gone {
		return true
	}
	return n.kept.Disk != v.Disk || n.kept.blank()
}

// bears tells whether the loss of one more disk is borne: no electorate that stands, or may yet, has lost another. A
// voter that is back with another disk is whole once it is listed with that, in the newest electorate that a disk
// has.
func (w *world) bears(i int) bool {
	newest, all := InitialElectorate(w.first), [][]Voter(nil)
	add := func(p *Proposal) {
		if p != nil && p.Voters != nil {
			all = append(all, p.Voters)
		}
	}
	for k, n := range w.nodes {
		if k == i || n.gone {
			continue
		}
		if n.kept.Electorate.Since > newest.Since {
			newest = n.kept.Electorate
		}
		add(n.Pending)
		add(n.kept.Pending)
		add(n.p.inFlight)
	}
	for _, m := range w.bag {
		add(m.accept)
	}
	for _, voters := range append(all, newest.Voters) {
		lost := 0
		for _, v := range voters {
			if w.lost(v, i) {
				lost++
			}
		}
		if lost > 1 {
			return false
		}
	}
	return true
}

// seat has a node want another electorate: itself with the disk that it has, if it is listed with another; else one
// in the place of another, one more or one less.
func (w *world) seat(i int) {
	n := w.nodes[i]
	e := n.Electorate
	if v, listed := e.VoterAt(n.Addr); listed && v.Disk != n.Disk {
		if n.kept.Disk == n.Disk {
			w.enroll(i)
		}
		return
	}
	k := w.rnd.IntN(len(w.nodes))
	in := Voter{Addr: w.names[k], Disk: w.nodes[k].kept.Disk}
	if _, listed := e.VoterAt(in.Addr); listed || w.nodes[k].gone || w.nodes[k].kept.blank() {
		in = Voter{}
	}
	out := e.Voters[w.rnd.IntN(len(e.Voters))].Addr
	if in.Addr != "" && len(e.Voters) < 5 && w.rnd.IntN(4) == 0 {
		out = ""
	}
	if in.Addr == "" && len(e.Voters) <= 3 || out == "" && in.Addr == "" {
		return
	}
	n.left = false
	n.want = &seat{out, in}
	n.calls, n.queue = n.queue, nil
	w.act(i, n.p.Start(n.Base(), false))
}

// enroll has a node that is listed with a lost disk want to be listed with the one it has.
func (w *world) enroll(i int) {
	n := w.nodes[i]
	n.left = false
	n.want = &seat{n.Addr, n.Self()}
	w.act(i, n.p.Start(n.Base(), false))
}

// seated is the voters that a node wants upon the snapshot it has; nil: there is nothing to change.
func (w *world) seated(n *node) []Voter {
	if n.want == nil {
		return nil
	}
	e := n.Electorate
	_, out := e.VoterAt(n.want.out)
	if n.want.out != "" && !out || n.want.in.Addr != "" && e.Contains(n.want.in) || n.want.in.Addr == "" && len(e.Voters) <= 3 || n.want.out == "" && len(e.Voters) >= 5 {
		return nil
	}
	if v, ok := e.VoterAt(n.want.in.Addr); ok && v.Addr != n.want.out {
		return nil
	}
	if n.want.in.Addr != "" && w.lost(n.want.in, -1) {
		return nil // it must be heard when it is proposed
	}
	return e.ReplaceVoter(n.want.out, n.want.in)
}

// send has an operator send a call to a node: a new one, or one of which it has no clear answer.
func (w *world) send(i int) {
	for _, c := range w.calls {
		if c.at == -1 && w.rnd.IntN(2) == 0 {
			c.at = i
			w.nodes[i].queue = append(w.nodes[i].queue, c)
			return
		}
	}
	c := &call{id: len(w.calls), at: i}
	for range 1 + w.rnd.IntN(2) {
		w.version++
		it := configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: string(rune('a' + w.rnd.IntN(3)))}, Version: w.version, Body: []byte{byte('0' + w.rnd.IntN(3))}}
		if w.rnd.IntN(5) == 0 {
			it.Deleted, it.Body = true, nil
		}
		c.items = append(c.items, it)
	}
	w.calls = append(w.calls, c)
	w.nodes[i].queue = append(w.nodes[i].queue, c)
}

// leave gives a run up: nobody waits for it any more. Its operators send again.
func (w *world) leave(i int) {
	n := w.nodes[i]
	for _, c := range n.calls {
		c.at = -1
	}
	n.calls, n.reading, n.left, n.todo = nil, false, true, Action{Kind: Done}
	n.want, n.changed = nil, 0
}

func (w *world) start(i int, reading bool) {
	n := w.nodes[i]
	if !reading && len(n.queue) == 0 || !n.Electorate.Known() {
		return
	}
	n.left = false
	n.reading, n.before = reading, nil
	if reading {
		for _, c := range w.calls {
			if c.taken {
				n.before = append(n.before, c)
			}
		}
	} else {
		n.calls, n.queue = n.queue, nil
	}
	w.act(i, n.p.Start(n.Base(), reading))
}

// act does what a proposer asks for.
func (w *world) act(i int, a Action) {
	n := w.nodes[i]
	if a.Kind == None || n.left {
		return
	}
	n.todo = a
	switch a.Kind {
	case Prepare, Read, Accept:
		for _, at := range a.To {
			m := message{from: i, to: slices.Index(w.names, at), try: int(a.Attempt), life: n.name}
			switch a.Kind {
			case Prepare:
				m.prepare = &a.Ballot
			case Read:
				m.read = &a.Ballot
			case Accept:
				m.accept = &a.Proposal
			}
			w.bag = append(w.bag, m)
		}
	case Fetch:
		w.fetch(i, slices.Index(w.names, a.Source), int(a.Attempt))
	case Compose:
		w.form(i, a)
	case Apply:
		w.apply(i, a.Proposal)
		if a.Proposal.Voters != nil {
			n.changed = a.Proposal.Epoch
		}
		for to := range w.nodes {
			w.bag = append(w.bag, message{from: i, to: to, chosen: &Proposal{Ballot: a.Proposal.Ballot, Epoch: a.Proposal.Epoch}})
		}
		w.act(i, n.p.Applied(a.Attempt, n.Base()))
	case Done:
		if n.reading {
			for _, c := range n.before {
				w.has(n.whole, c)
			}
		}
		n.queue = append(n.queue, n.calls...)
		n.calls, n.reading, n.want = nil, false, nil
		if n.changed > 0 && n.changed == n.Electorate.Since && w.fault != "unsealed" {
			w.sealed(n.Electorate)
		}
		n.changed = 0
	}
}

// sealed checks that a change of the electorate that is said to be done is on the disks of more than half of the new
// one.
func (w *world) sealed(e Electorate) {
	have := 0
	for _, v := range e.Voters {
		if n := w.nodes[slices.Index(w.names, v.Addr)]; n.kept.Electorate.Since >= e.Since || w.lost(v, -1) {
			have++ // or had, before a loss that came since
		}
	}
	if have < e.Majority() {
		w.fail("the electorate of epoch %d is on too few disks", e.Since)
	}
}

func (w *world) form(i int, a Action) {
	n := w.nodes[i]
	all := make([]items, len(n.calls))
	for k, c := range n.calls {
		for _, it := range c.items {
			it.Epoch = n.Epoch + 1
			all[k] = append(all[k], it)
		}
	}
	if w.rnd.IntN(8) == 0 {
		w.act(i, n.p.Timeout(a.Attempt)) // the node took too long
		return
	}
	proposed, verdicts := ComposeProposal(n.whole, all, 1000, checkWhole)
	var left []*call
	for k, v := range verdicts {
		c := n.calls[k]
		switch {
		case v.Err != nil && !a.Confirmed:
			w.act(i, n.p.RequireConfirmation(a.Attempt))
			return
		case v.Err != nil:
			c.refused, c.at = true, -2
		case v.AlreadyApplied:
			c.taken, c.at = true, -2
		default:
			left = append(left, c)
		}
	}
	n.calls = left
	voters := w.seated(n)
	if voters != nil {
		proposed = nil
	}
	w.act(i, n.p.Composed(a.Attempt, n.Base(), proposed, voters))
}

// apply takes in what a node takes for chosen.
func (w *world) apply(i int, p Proposal) {
	n, text := w.nodes[i], fmt.Sprint(p.Items, p.Voters)
	if old, ok := w.chosen[p.Epoch]; ok && old != text {
		w.fail("epoch %d: %s and %s", p.Epoch, old, text)
	}
	w.chosen[p.Epoch] = text
	if p.Epoch != n.Epoch+1 {
		return
	}
	_, next, err := checkWhole(n.whole, p.Items)
	if err != nil {
		w.fail("epoch %d: not valid", p.Epoch)
		return
	}
	n.whole = next
	n.Learn(n.Base().With(p))
}

func (w *world) fetch(i, from, try int) {
	since := w.nodes[i].Epoch
	w.bag = append(w.bag, message{from: i, to: from, try: try, life: w.nodes[i].name, since: &since})
}

func (w *world) take() message {
	k := w.rnd.IntN(len(w.bag))
	m := w.bag[k]
	w.bag[k] = w.bag[len(w.bag)-1]
	w.bag = w.bag[:len(w.bag)-1]
	return m
}

// answer lets an answer out once all that is in memory is on disk.
func (w *world) answer(m message, now bool) {
	if now {
		w.bag = append(w.bag, m)
	} else {
		n := w.nodes[m.from]
		n.late = append(n.late, m)
	}
}

func (w *world) sync(i int) {
	n := w.nodes[i]
	n.kept = n.disk
	w.bag = append(w.bag, n.late...)
	n.late = nil
}

func (w *world) deliver(twice bool) {
	if len(w.bag) == 0 {
		return
	}
	m := w.take()
	if w.cut >= 0 && m.from != m.to && (m.from == w.cut || m.to == w.cut) {
		return
	}
	if twice && w.rnd.IntN(12) == 0 {
		w.bag = append(w.bag, m)
	}
	n := w.nodes[m.to]
	if n.gone {
		return
	}
	back := message{from: m.to, to: m.from, try: m.try, life: m.life}
	switch {
	case (m.promise != nil || m.accepted != nil || m.got) && m.life != n.name:
	case m.read != nil:
		if !n.blank() {
			p := n.Read()
			back.promise = &p
			w.answer(back, true)
		}
	case m.prepare != nil:
		if !n.blank() {
			p, _ := n.Prepare(*m.prepare)
			back.promise = &p
			w.answer(back, w.fault == "unsynced")
		}
	case m.accept != nil:
		if !n.blank() {
			a, _ := n.Accept(*m.accept)
			back.accepted = &a
			w.answer(back, w.fault == "unsynced")
		}
	case m.chosen != nil:
		if f := n.Pending; f != nil && f.Ballot == m.chosen.Ballot && f.Epoch == m.chosen.Epoch {
			w.apply(m.to, *f)
		}
	case m.since != nil:
		back.got, back.upTo = true, n.Base()
		for _, it := range n.whole {
			if it.Epoch > *m.since {
				back.items = append(back.items, it)
			}
		}
		w.answer(back, true)
	case m.got:
		if m.upTo.Epoch == n.Epoch && !n.Electorate.Known() {
			n.Electorate = m.upTo.Electorate
		}
		if m.upTo.Epoch > n.Epoch && m.upTo.Electorate.Known() {
			_, next, err := checkWhole(n.whole, m.items)
			if err != nil {
				w.fail("node %d fetched what is not valid", m.to)
				return
			}
			n.whole = next
			n.Learn(m.upTo)
		}
		w.act(m.to, n.p.Fetched(uint64(m.try), n.Base()))
	case m.promise != nil:
		w.act(m.to, n.p.Promised(uint64(m.try), w.names[m.from], *m.promise))
	case m.accepted != nil:
		w.act(m.to, n.p.Accepted(uint64(m.try), w.names[m.from], *m.accepted))
	}
}

func (w *world) has(in whole, c *call) {
	for _, it := range c.items {
		if have, ok := in[it.Key]; !ok || have.Version < it.Version {
			w.fail("call %d was taken, and %v is %v", c.id, it, have)
		}
	}
}

// heal lets all go well, and reads at each node.
func (w *world) heal() {
	w.cut = -1
	settle := func() {
		for range 3000 {
			quiet := len(w.bag) == 0
			for i, n := range w.nodes {
				quiet = quiet && len(n.late) == 0
				w.sync(i) // of all, before anybody takes an answer for overdue
			}
			for i, n := range w.nodes {
				if n.gone {
					continue
				}
				v, listed := n.Electorate.VoterAt(n.Addr)
				listed = listed && v.Disk != n.Disk
				quiet = quiet && n.todo.Kind == Done && !n.blank() && !listed
				switch {
				case n.todo.Kind == Backoff && w.rnd.IntN(4) == 0:
					w.act(i, n.p.Resumed(n.todo.Attempt, n.Base()))
				case len(w.bag) == 0 && n.todo.Kind != Done && n.todo.Kind != Backoff:
					w.act(i, n.p.Timeout(n.todo.Attempt))
				case n.todo.Kind == Done && listed && w.rnd.IntN(4) == 0:
					w.enroll(i)
				}
			}
			if quiet {
				return
			}
			if len(w.bag) == 0 || w.rnd.IntN(8) == 0 {
				w.fetch(w.rnd.IntN(len(w.nodes)), w.rnd.IntN(len(w.nodes)), 0) // the sweep
			}
			for k := len(w.bag); k > 0; k-- {
				w.deliver(false)
			}
		}
		w.fail("it never settles")
	}
	settle()
	for i, n := range w.nodes {
		if n.gone {
			continue
		}
		w.start(i, true)
		settle()
		for _, c := range w.calls {
			if c.taken {
				w.has(n.whole, c)
			}
			for _, it := range c.items {
				if have := n.whole[it.Key]; c.refused && have.Version == it.Version {
					w.fail("call %d was refused, and %v is in force", c.id, it)
				}
			}
		}
	}
}

func walk(seed uint64, fault string) (wrong string, chosen int) {
	w := newWorld(seed, fault)
	for range 150 + seed%600 {
		if w.step(); w.wrong != "" {
			return w.wrong, 0
		}
	}
	w.heal()
	return w.wrong, len(w.chosen)
}

func TestWalks(t *testing.T) {
	chosen := 0
	for seed := range uint64(walks) {
		wrong, n := walk(seed, "")
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		chosen += n
	}
	if chosen < walks {
		t.Errorf("only %d changes in %d walks", chosen, walks)
	}
}

// The walks find what whoever serves the machines must not do: answer before the sync, vote without a disk.
func TestWalksFind(t *testing.T) {
	for _, fault := range []string{"unsynced", "votes-blank"} {
		seed, wrong := uint64(0), ""
		for ; seed < 10*walks && wrong == ""; seed++ {
			wrong, _ = walk(seed, fault)
		}
		if wrong == "" {
			t.Errorf("%s: not found", fault)
		}
		t.Logf("%s: seed %d: %s", fault, seed-1, wrong)
	}
}
