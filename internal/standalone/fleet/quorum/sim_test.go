package quorum

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/cryptotest"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// disk is a store in memory: what is saved is durable, and may be copied and brought back.
type disk struct {
	d    *Durable
	full bool
	next uint64 // id of the next empty folder
}

func (s *disk) Open() (*Durable, error) {
	if s.full {
		return nil, ErrNoSpace
	}
	if s.d == nil {
		s.next += 7919
		s.d = &Durable{ID: s.next}
	}
	s.d.Boot++
	return s.copy(), nil
}

func (s *disk) copy() *Durable {
	c := *s.d
	c.Names, c.Peers, c.Entries = maps.Clone(s.d.Names), maps.Clone(s.d.Peers), slices.Clone(s.d.Entries)
	if s.d.HardState != nil {
		c.HardState = proto.Clone(s.d.HardState).(*pb.HardState)
	}
	if s.d.Snapshot != nil {
		c.Snapshot = proto.Clone(s.d.Snapshot).(*pb.Snapshot)
	}
	return &c
}

func (s *disk) Save(b Batch) error {
	if s.full {
		return ErrNoSpace
	}
	if b.HardState != nil {
		s.d.HardState = proto.Clone(b.HardState).(*pb.HardState)
	}
	if b.Snapshot != nil {
		s.d.Snapshot = proto.Clone(b.Snapshot).(*pb.Snapshot)
		at := b.Snapshot.GetMetadata().GetIndex()
		s.d.Entries = slices.DeleteFunc(slices.Clone(s.d.Entries), func(e *pb.Entry) bool { return b.Replace || e.GetIndex() <= at })
	}
	if len(b.Entries) > 0 {
		first := b.Entries[0].GetIndex()
		s.d.Entries = append(slices.DeleteFunc(slices.Clone(s.d.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= first }), b.Entries...)
	}
	if b.Names != nil {
		s.d.Names = maps.Clone(b.Names)
	}
	s.d.Peers = maps.Clone(b.Peers)
	return nil
}

// machine is one ingress of the simulated fleet: a voter or not, and one that would do the duty.
type machine struct {
	name    string
	rate    float64 // of its clock
	disk    *disk
	saved   *Durable
	core    *Voter // nil: no voter, or down
	holder  *singleton.LeaseHolder
	boot    uint64
	up      bool
	stopped float64 // until then
	queue   []func()
	beat    float64
}

type timed struct {
	at  float64
	seq int
	do  func()
}
type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fleet is a run: machines, a network that does wrong, a far end that takes effects, and what was seen.
type fleet struct {
	rng    *rand.Rand
	now    float64
	seq    int
	todo   agenda
	all    []*machine
	voters int
	lost   int // folders that were lost, or went back
	cut    map[[2]string]bool
	loss   float64
	late   float64
	calm   float64 // since when nothing is cut and nobody stopped or down

	problems []string
	accepted uint64 // the highest token at the far end
	refused  int    // effects with an older one
	effects  int
	acts     map[uint64]string // who acted under a token
	lastAct  uint64
	states   map[uint64]string // register by index of the log
	grants   map[uint64]string
	gaps     []float64 // times without anybody who acts
	actedAt  float64
	history  []porcupine.Operation
	asked    map[string]float64 // when a question was sent, by asker and id
}

const theDuty = "export"

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, acts: map[uint64]string{}, states: map[uint64]string{}, grants: map[uint64]string{}, asked: map[string]float64{}}
	f.voters = 3 + 2*f.rng.IntN(2)
	for i := range f.voters + 1 {
		m := &machine{name: fmt.Sprint("n", i+1), rate: 0.951 + 0.098*f.rng.Float64(), disk: &disk{next: uint64(i+1) * 1000}}
		f.all = append(f.all, m)
	}
	for _, m := range f.all {
		f.start(m)
		f.every(m)
	}
	return f
}

func (f *fleet) problem(format string, args ...any) {
	if len(f.problems) < 5 {
		f.problems = append(f.problems, fmt.Sprintf("%.2f s: ", f.now)+fmt.Sprintf(format, args...))
	}
}

func (f *fleet) at(after float64, do func()) {
	f.seq++
	heap.Push(&f.todo, timed{f.now + after, f.seq, do})
}

// local is a machine's own clock.
func (f *fleet) local(m *machine) float64 { return 1000 + f.now*m.rate }

// on has something happen at a machine: when it stands still, behind that.
func (f *fleet) on(m *machine, boot uint64, do func()) {
	switch {
	case !m.up || m.boot != boot:
	case f.now < m.stopped:
		m.queue = append(m.queue, do)
	default:
		do()
	}
}

func (f *fleet) named() (all []string) {
	for _, m := range f.all[:f.voters] {
		all = append(all, m.name)
	}
	return all
}

func (f *fleet) start(m *machine) {
	m.up, m.stopped, m.queue = true, 0, nil
	m.boot++
	m.beat = f.local(m)
	if slices.Contains(f.named(), m.name) {
		m.core, _ = Open(m.name, f.named(), m.disk, uint64(1e6+f.now)<<20)
	}
	m.holder = singleton.NewLeaseHolder(singleton.Identity{Name: m.name, Boot: m.boot, Nonce: m.boot}, "a")
	f.hold(m, singleton.Acquire{Role: theDuty})
}

// every is a machine's beat: ten times a second by its own clock.
func (f *fleet) every(m *machine) {
	f.at(TickInterval/m.rate, func() {
		if m.up && f.now >= m.stopped {
			f.work(m) // whoever works may wake before whoever keeps the lease
			if local := f.local(m); local-m.beat > 1 {
				f.hold(m, singleton.StallDetected{})
			}
			m.beat = f.local(m)
			queue := m.queue
			m.queue = nil
			for _, do := range queue {
				do()
			}
			if m.core != nil {
				m.core.Reopen(f.local(m))
				f.out(m, m.core.Tick(f.local(m)))
			}
			f.hold(m, singleton.LeaseHolderTick{})
			f.work(m)
		}
		f.every(m)
	})
}

// send carries something over the network, or not.
func (f *fleet) send(from, to *machine, do func()) {
	if f.cut[[2]string{from.name, to.name}] || f.rng.Float64() < f.loss {
		return
	}
	copies := 1
	if f.late > 0 && f.rng.Float64() < 0.2 {
		copies = 2
	}
	for range copies {
		boot := to.boot
		f.at(0.0002+0.003*f.rng.Float64()+f.late*f.rng.Float64()*f.rng.Float64(), func() { f.on(to, boot, do) })
	}
}

func (f *fleet) machine(name string) *machine {
	for _, m := range f.all {
		if m.name == name {
			return m
		}
	}
	return nil
}

// out carries out what a voter wants, and looks at what it agreed on.
func (f *fleet) out(m *machine, o Output) {
	for _, p := range o.Messages {
		if to := f.machine(p.To); to != nil {
			f.send(m, to, func() {
				if to.core != nil {
					o, err := to.core.Receive(f.local(to), p.Data)
					if err != nil {
						f.problem("%v", err)
					}
					f.out(to, o)
				}
			})
		}
	}
	for _, r := range o.Replies {
		if to := f.machine(r.To.Name); to != nil {
			f.send(m, to, func() { f.hold(to, singleton.ResponseReceived{Response: r.Response}) })
		}
	}
	for _, n := range o.Wake {
		if to := f.machine(n); to != nil {
			f.send(m, to, func() { f.hold(to, singleton.WakeReceived{}) })
		}
	}
	if m.core != nil && m.core.applied > 0 && m.core.state != Unformed {
		text := fmt.Sprintf("%d %v", m.core.table.LastToken, m.core.table.Leases)
		if was, ok := f.states[m.core.applied]; ok && was != text {
			f.problem("%s has another register at entry %d: %s, not %s", m.name, m.core.applied, text, was)
		}
		f.states[m.core.applied] = text
		for _, t := range m.core.table.History {
			who := fmt.Sprint(t.Holder)
			if was, ok := f.grants[t.Token]; ok && was != who {
				f.problem("token %d was given to %s and to %s", t.Token, was, who)
			}
			f.grants[t.Token] = who
		}
	}
}

// hold gives an event to a machine's holder.
func (f *fleet) hold(m *machine, e singleton.LeaseHolderEvent) {
	if a, ok := e.(singleton.ResponseReceived); ok {
		key := fmt.Sprint(m.name, m.boot, a.Response.ID)
		for _, g := range a.Response.Grants {
			if sent, out := f.asked[key]; out && g.Confirmed { // for the checker of the register of holders
				f.history = append(f.history, porcupine.Operation{ClientId: slices.Index(f.all, m), Input: [2]any{g.Token, fmt.Sprint(m.name, m.boot)}, Output: true,
					Call: int64(sent * 1e6), Return: int64(f.now * 1e6)})
			}
		}
		delete(f.asked, key)
	}
	for _, a := range m.holder.Step(f.local(m), e) {
		switch a := a.(type) {
		case singleton.SendRequest:
			f.asked[fmt.Sprint(m.name, m.boot, a.Request.ID)] = f.now
			for _, v := range f.all[:f.voters] {
				f.send(m, v, func() {
					if v.core != nil {
						f.out(v, v.core.HandleRequest(f.local(v), a.Request))
					}
				})
			}
		case singleton.StepDown:
			boot := m.boot
			f.at(0.05, func() { f.on(m, boot, func() { f.hold(m, singleton.SteppedDown(a)) }) })
		}
	}
}

// work has an effect at the far end, if the duty is this machine's. Between the look and the effect it may stand still.
func (f *fleet) work(m *machine) {
	token, ok := m.holder.FencingToken(f.local(m), theDuty)
	if !ok {
		return
	}
	who := fmt.Sprint(m.name, m.boot)
	if was, acted := f.acts[token]; acted && was != who {
		f.problem("%s acts under token %d, which %s did", who, token, was)
	}
	f.acts[token] = who
	if token < f.lastAct {
		f.problem("%s acts under token %d, and %s has acted under %d", who, token, f.acts[f.lastAct], f.lastAct)
	}
	f.lastAct = max(f.lastAct, token)
	if f.actedAt > 0 && f.now > f.actedAt+0.3 {
		f.gaps = append(f.gaps, f.now-f.actedAt)
	}
	f.actedAt = f.now
	boot := m.boot
	f.at(0.05*f.rng.Float64(), func() {
		f.on(m, boot, func() { // the effect leaves; the far end takes it, or knows better
			if token < f.accepted && !mutated("unfenced") {
				f.refused++
				return
			}
			if token < f.accepted {
				f.problem("an effect of token %d was taken behind one of %d", token, f.accepted)
			}
			f.accepted = max(f.accepted, token)
			f.effects++
		})
	})
}

// trouble is what goes wrong next.
func (f *fleet) trouble() {
	m := f.all[f.rng.IntN(len(f.all))]
	f.calm = f.now
	switch f.rng.IntN(11) {
	case 0, 1:
		lasts := []float64{0.3, 1.2, 4, 30}[f.rng.IntN(4)]
		if m.up {
			m.stopped = f.now + lasts
		}
	case 2: // whoever acts stops
		for _, h := range f.all {
			if _, ok := h.holder.FencingToken(f.local(h), theDuty); ok && h.up {
				h.stopped = f.now + 10*singleton.LeaseDuration
			}
		}
	case 3, 4:
		m.up, m.core = false, nil
		f.at(0.2+5*f.rng.Float64(), func() {
			if !m.up {
				f.start(m)
			}
		})
	case 5: // its folder is lost
		m.up, m.core = false, nil
		// At most a minority, as nobody replaces them here: where all lost theirs one after another they form anew.
		if f.rng.IntN(3) == 0 && f.lost < (f.voters-1)/2 && slices.Index(f.all, m) < f.voters {
			f.lost++
			m.disk.d, m.disk.next = nil, m.disk.next+1
		}
		f.at(0.5, func() {
			if !m.up {
				f.start(m)
			}
		})
	case 6: // cut, one way or both
		o := f.all[f.rng.IntN(len(f.all))]
		f.cut[[2]string{m.name, o.name}] = true
		if f.rng.IntN(2) == 0 {
			f.cut[[2]string{o.name, m.name}] = true
		}
	case 7: // alone, one way or both, or with some others
		in, out := f.rng.IntN(2) == 0, f.rng.IntN(2) == 0
		side := 1 + f.rng.IntN(2)
		for i, o := range f.all {
			if j := slices.Index(f.all, m); i != j && (i+j)%side == 0 {
				f.cut[[2]string{m.name, o.name}] = out || !in
				f.cut[[2]string{o.name, m.name}] = in
			}
		}
	case 8:
		f.loss, f.late = 0.4*f.rng.Float64(), f.rng.Float64()
	case 10: // the power fails for all
		for _, o := range f.all {
			o.up, o.core = false, nil
			f.at(0.5+f.rng.Float64(), func() {
				if !o.up {
					f.start(o)
				}
			})
		}
	case 9:
		m.disk.full = true
		f.at(1+3*f.rng.Float64(), func() { m.disk.full = false })
	}
	if f.rng.IntN(3) == 0 {
		clear(f.cut)
		f.loss, f.late = 0, 0
	}
}

// wentBack restores the folder of a voter from a copy, where the others were well for a while before: they saw how far it was.
func (f *fleet) wentBack() {
	m := f.all[f.rng.IntN(f.voters)]
	clear(f.cut)
	f.loss, f.late = 0, 0
	if m.disk.d != nil {
		m.saved = m.disk.copy()
	}
	f.at(3, func() {
		for _, v := range f.all[:f.voters] {
			if !v.up || f.now < v.stopped+1 || v.core == nil || v.core.state != Voting || f.now < f.calm+2 {
				return
			}
		}
		if f.lost >= (f.voters-1)/2 || m.saved == nil {
			return
		}
		f.lost++
		m.up, m.core = false, nil
		m.disk.d = m.saved
		f.start(m)
	})
}

// run plays for some seconds, and heals at the end.
func (f *fleet) run(seconds float64, troubles bool) {
	end := f.now + seconds
	for next := f.now + 3; f.now < end && len(f.problems) == 0; {
		if troubles && f.now >= next {
			next = f.now + 0.3 + 2.5*f.rng.Float64()
			if f.rng.IntN(12) == 0 {
				next = f.now + 4
				f.wentBack()
			} else {
				f.trouble()
			}
		}
		t := heap.Pop(&f.todo).(timed)
		f.now = t.at
		t.do()
	}
}

func (f *fleet) heal() {
	clear(f.cut)
	f.loss, f.late = 0, 0
	for _, m := range f.all {
		m.disk.full, m.stopped = false, min(m.stopped, f.now)
		if !m.up {
			f.start(m)
		}
	}
}

// voting counts the voters of the last agreed group that can vote.
func (f *fleet) voting() (n int) {
	for _, m := range f.all[:f.voters] {
		if m.core != nil && m.core.state == Voting {
			n++
		}
	}
	return n
}

// holders is the register of who holds the duty, for porcupine: a confirmation of a token is of the present holder or of one that
// was granted since; an older one comes no more.
var holders = porcupine.Model{
	Init: func() any { return [2]any{uint64(0), ""} },
	Step: func(state, input, _ any) (bool, any) {
		s, in := state.([2]any), input.([2]any)
		switch now, next := s[0].(uint64), in[0].(uint64); {
		case next > now:
			return true, in
		case next == now:
			return s[1] == in[1], state
		}
		return false, state
	},
}

// timeline plays a seed, and tells what was wrong.
func timeline(seed uint64, seconds float64) *fleet {
	f := newFleet(seed)
	f.run(seconds, true)
	f.heal()
	lastAct := f.actedAt
	f.run(14, false)
	if len(f.problems) == 0 && 2*f.voting() > f.voters && (f.actedAt == lastAct || f.now > f.actedAt+1) {
		f.problem("nobody acts 14 s behind the end of all faults, with %d of %d voting", f.voting(), f.voters)
	}
	retired := 0
	for _, m := range f.all[:f.voters] {
		if m.core != nil && m.core.state == Retired {
			retired++
		}
	}
	if retired > f.lost {
		f.problem("%d voters retired, and %d folders were lost or went back", retired, f.lost)
	}
	for _, m := range f.all[:f.voters] {
		if m.core == nil || m.core.state != Voting || len(f.problems) > 0 {
			continue
		}
		if last := m.core.table.LastToken; last < f.lastAct {
			f.problem("%s knows of token %d, and %d was acted under", m.name, last, f.lastAct)
		}
	}
	if n := min(len(f.history), 60); len(f.problems) == 0 && !porcupine.CheckOperations(holders, f.history[:n]) {
		f.problem("the register of holders is not linearizable")
	}
	return f
}

// A voter whose folder went back to a copy does not vote under its id again, and the others go on.
func TestFolderThatWentBack(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1)
	if text := goneBack(); text != "" {
		t.Error(text)
	}
}

func goneBack() string {
	f := newFleet(3)
	f.run(6, false)
	m := f.all[0]
	m.saved = m.disk.copy()
	f.run(3, false)
	m.up, m.core = false, nil
	m.disk.d = m.saved
	f.start(m)
	for range 4000 {
		if f.run(0.002, false); m.core.state == Voting {
			return "it votes"
		}
	}
	if len(f.problems) > 0 || m.core.state != Retired || f.voting() != f.voters-1 || f.now > f.actedAt+1 {
		return fmt.Sprintf("%v, it is %s, %d of %d vote, the last act was at %.1f of %.1f", f.problems, m.core.state, f.voting(), f.voters, f.actedAt, f.now)
	}
	return ""
}

func TestTimelines(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1) // the library draws its election times from it: the same verdict every time
	seeds := uint64(40)
	if n, ok := many(); ok {
		seeds = n
	}
	acts, refused, handed := 0, 0, 0
	var gaps []float64
	for seed := range seeds {
		f := timeline(seed, 60)
		if len(f.problems) > 0 {
			t.Errorf("seed %d: %v", seed, f.problems)
		}
		acts += f.effects
		refused += f.refused
		handed += len(f.grants)
		gaps = append(gaps, f.gaps...)
	}
	slices.Sort(gaps)
	if acts == 0 || handed < int(seeds) || len(gaps) == 0 {
		t.Fatalf("%d effects, %d grants: it shows nothing", acts, handed)
	}
	t.Logf("%d timelines of 60 s: %d effects, %d refused as older, %d grants; without a holder: median %.1f s, p99 %.1f s, worst %.1f s", seeds, acts, refused, handed,
		gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1])
}
