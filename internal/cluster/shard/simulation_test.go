package shard

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"mulleinrouter/internal/cluster/consensus"
)

// simulation runs the replicas of a shard in simulated time. Messages are delayed, lost and duplicated, and links may
// work in one direction only. Processes are suspended, and handle the messages of that time afterwards. Clocks run at
// different rates, disks are slow or stall, power failures lose what is not synced, and disks are lost. The replicas
// are compared with a model, which is the content of the committed batches.
type simulation struct {
	rnd              *rand.Rand
	now              float64
	events           eventQueue
	sequence         int // number of the last event, which orders events at the same time
	nodes            map[string]*simulatedNode
	addrs            []string
	target           []consensus.Voter // voters in the configuration
	lastDisk         uint64
	linksDown        map[[2]string]bool // links that are cut, by sender and receiver
	committed        map[uint64]string  // content of the committed batches by their numbers
	highestCommitted uint64
	termOwners       map[termOfNode]int // incarnation that has sent requests of a term
	writes           int
	nextDiskLossAt   float64 // time before which no disk is lost and no voter replaced, seconds
	violation        string
	elections        int
	faultFree        bool // no message is lost, duplicated or delayed for long
}

// simulatedNode is a node with its disk and its process.
type simulatedNode struct {
	addr          string
	disk          uint64
	stored        State    // state on disk, synced
	clockRate     float64  // seconds of the node's clock per second of simulated time
	replica       *Replica // nil means that the node is down
	incarnation   int      // number of the process
	suspended     bool
	inbox         []func() // what a suspended process executes when it resumes
	diskIdleAt    float64  // time at which the disk has written all queued saves, seconds
	lastLeaseTerm uint64   // term of the node's last known lease; 0 means none
}

// termOfNode is a term in which a node is a candidate or the leader.
type termOfNode struct {
	addr string
	term uint64
}

type event struct {
	at  float64
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newSimulation returns a cluster of three or five voters, by the seed, and one spare node.
func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*simulatedNode{}, linksDown: map[[2]string]bool{},
		committed: map[uint64]string{}, termOwners: map[termOfNode]int{}, nextDiskLossAt: 5,
	}
	size := 3 + 2*int(seed%2)
	for i := range size + 1 {
		addr := string(rune('a' + i))
		s.addrs = append(s.addrs, addr)
		if i < size {
			s.target = append(s.target, consensus.Voter{Addr: addr})
		}
	}
	for i, addr := range s.addrs {
		n := &simulatedNode{addr: addr, clockRate: 0.97 + 0.06*s.rnd.Float64()}
		s.nodes[addr] = n
		if i < size {
			n.stored = InitialState(s.target)
		} else {
			n.disk = s.newDisk()
		}
		s.start(n)
	}
	return s
}

func (s *simulation) newDisk() uint64 {
	s.lastDisk++
	return s.lastDisk
}

func (s *simulation) after(delay float64, do func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + delay, s.sequence, do})
}

// clock is the monotonic clock of a node.
func (s *simulation) clock(n *simulatedNode) float64 { return s.now * n.clockRate }

// apply applies a save to a state on disk.
func (s *State) apply(save Save) {
	s.Header = save.Header
	if save.Replace {
		s.Records = map[string][]byte{}
	}
	for _, write := range save.Writes {
		if write.Value == nil {
			delete(s.Records, write.Key)
		} else {
			s.Records[write.Key] = write.Value
		}
	}
}

func cloneState(state State) State {
	state.Records = maps.Clone(state.Records)
	if state.Records == nil {
		state.Records = map[string][]byte{}
	}
	return state
}

// start starts a process with the state on a node's disk.
func (s *simulation) start(n *simulatedNode) {
	n.incarnation++
	n.suspended, n.inbox, n.diskIdleAt, n.lastLeaseTerm = false, nil, s.now, 0
	n.replica = New(Options{
		Self: consensus.Voter{Addr: n.addr, Disk: n.disk}, Seed: s.rnd.Uint64(),
		State: cloneState(n.stored), Now: s.clock(n),
	})
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != incarnation {
			return
		}
		s.run(n, func() {
			n.replica.Tick(s.clock(n))
			n.replica.Reconcile(s.target, s.clock(n))
		})
		s.after(0.05+0.05*s.rnd.Float64(), tick)
	}
	s.after(0.3*s.rnd.Float64(), tick)
}

// run executes a function in a process, and then checks the replica. A suspended process executes it when it resumes.
func (s *simulation) run(n *simulatedNode, do func()) {
	if n.replica == nil {
		return
	}
	if n.suspended {
		n.inbox = append(n.inbox, do)
		return
	}
	do()
	s.performOutput(n)
	s.check(n)
}

// performOutput schedules the saves and sends the messages that a replica requests.
func (s *simulation) performOutput(n *simulatedNode) {
	out := n.replica.Take()
	incarnation := n.incarnation
	for _, save := range out.Saves {
		n.diskIdleAt = max(n.diskIdleAt, s.now) + 0.002 + 0.02*s.rnd.Float64()*s.rnd.Float64()
		s.after(n.diskIdleAt-s.now, func() {
			if n.incarnation != incarnation {
				return // the process crashed before the save was synced
			}
			n.stored.apply(save)
			s.run(n, func() { n.replica.Saved(save.Number, s.clock(n)) })
		})
	}
	for _, m := range out.Messages {
		s.checkTermOwner(n, m)
		s.deliver(m)
	}
}

// checkTermOwner requires that only one process of a node sends the requests of a candidate or a leader in a term. The
// replies to them name the term alone, so another process would count the replies to this one as its own.
func (s *simulation) checkTermOwner(n *simulatedNode, m Message) {
	reply := m.Kind == VoteReply || m.Kind == HeartbeatReply || m.Kind == AppendReply
	if reply || m.Pre {
		return
	}
	key := termOfNode{n.addr, m.Term}
	if owner, known := s.termOwners[key]; known && owner != n.incarnation {
		s.violate("two processes of %s send requests of term %d", n.addr, m.Term)
	}
	s.termOwners[key] = n.incarnation
}

func (s *simulation) deliver(m Message) {
	copies := 1
	if !s.faultFree {
		switch chance := s.rnd.Float64(); {
		case chance < 0.02:
			copies = 0
		case chance < 0.04:
			copies = 2
		}
	}
	for range copies {
		delay := 0.001 + 0.002*s.rnd.Float64()
		if !s.faultFree && s.rnd.Float64() < 0.03 {
			delay += 3 * s.rnd.Float64()
		}
		s.after(delay, func() {
			if s.linksDown[[2]string{m.From, m.To}] {
				return
			}
			n := s.nodes[m.To]
			s.run(n, func() { n.replica.Step(m, s.clock(n)) })
		})
	}
}

// check compares a replica that holds the lease with the model, and requires that no other replica holds it.
func (s *simulation) check(n *simulatedNode) {
	r := n.replica
	if !r.HoldsLease(s.clock(n)) {
		return
	}
	for _, o := range s.nodes {
		if o != n && o.replica != nil && o.replica.HoldsLease(s.clock(o)) {
			s.violate("%s and %s hold the lease", n.addr, o.addr)
		}
	}
	term, commit := r.Committed()
	if n.lastLeaseTerm != term {
		n.lastLeaseTerm = term
		s.elections++
		for seq, content := range s.committed {
			if got := string(r.Records()[batchKey(seq)]); got != content {
				s.violate("%s leads in term %d with %q instead of %q in batch %d", n.addr, term, got, content, seq)
			}
		}
		s.recordInheritedRecords(r)
	}
	for ; s.highestCommitted < commit; s.highestCommitted++ {
		seq := s.highestCommitted + 1
		if content, ok := r.Records()[batchKey(seq)]; ok {
			s.committed[seq] = string(content)
		}
	}
}

// recordInheritedRecords adds the records at the start of a leaseholder's term to the committed batches, because the
// leaseholder answers from them.
func (s *simulation) recordInheritedRecords(r *Replica) {
	for seq := uint64(1); seq <= r.Last().Seq; seq++ {
		if content, ok := r.Records()[batchKey(seq)]; ok {
			s.committed[seq] = string(content)
		}
	}
	s.highestCommitted = max(s.highestCommitted, r.Last().Seq)
}

func batchKey(seq uint64) string { return "s" + strconv.FormatUint(seq, 10) }

func (s *simulation) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %.3f: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// advance runs the events of a span of simulated time, in seconds.
func (s *simulation) advance(span float64) {
	end := s.now + span
	for s.violation == "" && len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// write proposes a write at a node.
func (s *simulation) write(n *simulatedNode) {
	s.run(n, func() {
		s.writes++
		key := batchKey(n.replica.Last().Seq + 1)
		n.replica.Propose([]Write{{Key: key, Value: fmt.Appendf(nil, "%s%d", n.addr, s.writes)}}, s.clock(n))
	})
}

// injectFault causes a random fault, or a transfer of the leadership.
func (s *simulation) injectFault() {
	n := s.nodes[s.addrs[s.rnd.IntN(len(s.addrs))]]
	switch s.rnd.IntN(9) {
	case 0:
		s.suspend(n, []float64{0.5, 1, 5}[s.rnd.IntN(3)]*(0.5+s.rnd.Float64()))
	case 1:
		s.crash(n)
	case 2:
		for _, addr := range s.addrs { // a power failure of most nodes
			if s.rnd.IntN(3) > 0 {
				s.crash(s.nodes[addr])
			}
		}
	case 3, 4:
		s.cutLinks()
	case 5:
		s.loseDisk(n)
	case 6:
		s.replaceVoter()
	case 7:
		s.run(n, func() {
			n.replica.TransferTo(s.addrs[s.rnd.IntN(len(s.addrs))], s.clock(n))
		})
	case 8:
		s.stallDisk(n)
	}
}

// stallDisk delays the saves of a node from now on by up to 4 s. In one of two cases the node crashes meanwhile.
func (s *simulation) stallDisk(n *simulatedNode) {
	span := 4 * s.rnd.Float64()
	n.diskIdleAt = max(n.diskIdleAt, s.now) + span
	if s.rnd.IntN(2) == 0 {
		s.after(span*s.rnd.Float64(), func() { s.crash(n) })
	}
}

func (s *simulation) suspend(n *simulatedNode, span float64) {
	if n.replica == nil || n.suspended {
		return
	}
	n.suspended = true
	incarnation := n.incarnation
	s.after(span, func() {
		if n.incarnation != incarnation || !n.suspended {
			return
		}
		n.suspended = false
		inbox := n.inbox
		n.inbox = nil
		for _, do := range inbox {
			s.run(n, do)
		}
	})
}

// crash stops a process, which starts again after up to 1.1 s. Saves that are not synced are lost.
func (s *simulation) crash(n *simulatedNode) {
	if n.replica == nil {
		return
	}
	n.replica = nil
	n.incarnation++
	s.after(0.1+s.rnd.Float64(), func() {
		if n.replica == nil {
			s.start(n)
		}
	})
}

// cutLinks cuts random links in one direction each. After up to 3 s all links work again.
func (s *simulation) cutLinks() {
	for _, from := range s.addrs {
		for _, to := range s.addrs {
			if s.rnd.IntN(4) == 0 {
				s.linksDown[[2]string{from, to}] = true
			}
		}
	}
	s.after(3*s.rnd.Float64(), func() { s.linksDown = map[[2]string]bool{} })
}

// membershipConverged reports whether the leaseholder has exactly the configured voters, and all of them are running.
func (s *simulation) membershipConverged() bool {
	for _, n := range s.nodes {
		if n.replica != nil && n.replica.HoldsLease(s.clock(n)) && len(n.replica.Voters()) == len(s.target) {
			return !slices.ContainsFunc(s.target, func(v consensus.Voter) bool {
				return !slices.Contains(n.replica.Voters(), v) || s.nodes[v.Addr].replica == nil
			})
		}
	}
	return false
}

// loseDisk replaces the disk of a voter by an empty one, unless the last change of the voters is not complete yet. Up
// to 0.5 s later the configuration lists the voter with the new disk.
func (s *simulation) loseDisk(n *simulatedNode) {
	k := slices.IndexFunc(s.target, func(v consensus.Voter) bool { return v.Addr == n.addr })
	if s.now < s.nextDiskLossAt || k < 0 || n.replica == nil || !s.membershipConverged() {
		return
	}
	s.nextDiskLossAt = s.now + 6
	s.crash(n)
	n.disk, n.stored = s.newDisk(), State{Records: map[string][]byte{}}
	s.after(0.5*s.rnd.Float64(), func() {
		s.target = slices.Clone(s.target)
		s.target[k].Disk = n.disk
	})
}

// replaceVoter replaces a random voter by the spare node. The former voter becomes the spare node.
func (s *simulation) replaceVoter() {
	if s.now < s.nextDiskLossAt || !s.membershipConverged() {
		return
	}
	s.nextDiskLossAt = s.now + 6
	spare := slices.IndexFunc(s.addrs, func(addr string) bool {
		return !slices.ContainsFunc(s.target, func(v consensus.Voter) bool { return v.Addr == addr })
	})
	n := s.nodes[s.addrs[spare]]
	s.target = slices.Clone(s.target)
	s.target[s.rnd.IntN(len(s.target))] = consensus.Voter{Addr: n.addr, Disk: n.disk}
}

// heal ends all faults, and requires that the shard commits writes again and has all committed batches.
func (s *simulation) heal() {
	s.faultFree = true
	s.linksDown = map[[2]string]bool{}
	s.advance(8)
	s.linksDown = map[[2]string]bool{}
	s.advance(4)
	if s.violation != "" {
		return
	}
	before := s.highestCommitted
	for _, addr := range s.addrs {
		s.write(s.nodes[addr])
	}
	s.advance(1)
	if s.highestCommitted == before {
		s.violate("no batch committed within 1 s, 12 s after the last fault")
	}
}

// walk runs a cluster with random faults and writes, then ends the faults and checks that the shard works again.
func walk(seed uint64) *simulation {
	s := newSimulation(seed)
	s.advance(2)
	for range 150 {
		s.advance(0.4 * s.rnd.Float64())
		for range s.rnd.IntN(4) {
			s.write(s.nodes[s.addrs[s.rnd.IntN(len(s.addrs))]])
		}
		if s.rnd.IntN(3) == 0 {
			s.injectFault()
		}
		if s.violation != "" {
			return s
		}
	}
	s.heal()
	return s
}
