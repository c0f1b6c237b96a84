package consensus

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"mulleinrouter/internal/cluster/configuration"
)

// The simulation has three voters and two more nodes. They lose power, lose disks and fail permanently. They replace
// one another in the electorate, and their proposers compete. The network loses, repeats and reorders messages. The
// model that they are compared with is a map from each epoch to the change that was chosen for it.

type (
	items    = []configuration.Item
	snapshot map[configuration.Key]configuration.Item
)

// mergeValid validates a call. A snapshot is valid if no two of its items, apart from deleted ones, have the same body.
func mergeValid(s snapshot, call items) (items, snapshot, error) {
	next, changed := maps.Clone(s), items(nil)
	if next == nil {
		next = snapshot{}
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
			return nil, nil, errBodyTaken
		}
		seen[string(i.Body)] = true
	}
	return changed, next, nil
}

// errBodyTaken rejects an item with the same body as another one.
var errBodyTaken = errors.New("taken")

// diskState is what a node stores.
type diskState struct {
	Acceptor
	snapshot snapshot
}

// empty reports whether the disk has no state that matters, because it is new or was lost. All such state comes with
// an electorate.
func (d diskState) empty() bool { return !d.Electorate.Known() }

// electorateChange is a change of the electorate that a node is to propose: in replaces the voter at out.
type electorateChange struct {
	out string
	in  Voter
}

// call is a call of an operator.
type call struct {
	id           int
	items        items
	rejected     bool
	acknowledged bool
	node         int // node that has the call; -1 means that its outcome is unknown to the operator, -2 answered
}

// node is a control node, with its process.
type node struct {
	diskState                    // in memory
	synced             diskState // on disk
	removed            bool      // failed permanently, with its disk
	wantedChange       *electorateChange
	electorateEpoch    uint64 // epoch of the change of the electorate in this run; 0 means none
	unsyncedReplies    []message
	name               string
	proposer           *Proposer
	action             Action // what the proposer waits for
	abandoned          bool   // the run was abandoned: its proposer receives replies, but its actions are ignored
	reading            bool
	acknowledgedBefore []*call // calls acknowledged before the read began
	running            []*call // calls in this run
	queue              []*call
}

// message is a request or a reply. Its kind is given by the field that is set.
type message struct {
	from, to, attempt int
	incarnation       string // incarnation of the requesting process; only that process accepts the reply
	prepare, read     *Ballot
	promise           *Promise
	accept            *Proposal
	accepted          *Accepted
	chosen            *Proposal
	catchUp           *uint64
	base              Base
	items             items
	fetched           bool
}

// simulation is all nodes and the network between them.
type simulation struct {
	rnd            *rand.Rand
	initial        []string // addresses of the voters of the first start
	names          []string
	nodes          []*node
	network        []message
	calls          []*call
	chosen         map[uint64]string // content of the chosen changes by epoch
	version        uint64            // version of the last item that was submitted
	incarnations   int               // number of processes started so far
	fault          string            // see newSimulation
	lossRate       int               // restarts and disk losses per thousand steps
	electorateRate int               // changes of the electorate per thousand steps
	partitioned    int               // node that can neither send nor receive; negative means none
	violation      string
}

// newSimulation returns a cluster with a fault; an empty fault means none. With "unsynced", nodes answer before their
// state is synced. With "votes-blank", the first voters also vote after the loss of their disks. With "unsealed", the
// check of sealed electorates is off.
func newSimulation(seed uint64, fault string) *simulation {
	s := &simulation{
		rnd:            rand.New(rand.NewPCG(seed, 7)),
		names:          []string{"0", "1", "2", "3", "4"},
		chosen:         map[uint64]string{},
		fault:          fault,
		lossRate:       5 + 20*int(seed%2),
		electorateRate: 5 + 10*int(seed%3),
		partitioned:    -1,
	}
	s.initial = s.names[:3]
	for i := range s.names {
		n := &node{}
		if i < len(s.initial) && (i > 0 || seed%8 != 3) { // with some seeds, voter 0 failed before its first write
			n.synced.Electorate = InitialElectorate(s.initial)
		}
		s.nodes = append(s.nodes, n)
	}
	for i := range s.nodes {
		s.restart(i)
	}
	return s
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// restart starts the process of a node.
func (s *simulation) restart(i int) {
	n := s.nodes[i]
	s.incarnations++
	n.diskState = n.synced
	n.Addr = s.names[i]
	n.name = fmt.Sprintf("%d/%d", i, s.incarnations)
	n.proposer = NewProposer(n.name, uint64(s.incarnations))
	n.action, n.unsyncedReplies, n.abandoned = Action{Kind: Done}, nil, false
	n.wantedChange, n.electorateEpoch = nil, 0
	n.dropCalls()
	if n.empty() && s.fault == "votes-blank" && i < len(s.initial) {
		n.Electorate = InitialElectorate(s.initial)
	}
	if n.empty() && n.Disk == 0 {
		n.Disk = uint64(s.incarnations)
	}
}

// dropCalls drops the calls of a node. Their operators don't learn the outcome.
func (n *node) dropCalls() {
	for _, c := range append(n.queue, n.running...) {
		c.node = -1
	}
	n.queue, n.running, n.reading = nil, nil, false
}

// loseDisk restarts a node with an empty disk, or makes the node fail permanently.
func (s *simulation) loseDisk(i int) {
	n := s.nodes[i]
	n.synced = diskState{}
	if s.rnd.IntN(6) == 0 {
		n.removed = true
		n.diskState, n.unsyncedReplies, n.action = diskState{}, nil, Action{Kind: Done}
		n.dropCalls()
		return
	}
	s.restart(i)
}

// step performs one random event, such as the delivery of a message, a sync, a time-out, a restart or a call.
func (s *simulation) step() {
	i := s.rnd.IntN(len(s.nodes))
	n := s.nodes[i]
	if n.removed {
		i = (i + 1) % len(s.nodes)
		n = s.nodes[i]
	}
	if n.removed {
		return
	}
	switch k := s.rnd.IntN(1000); {
	case k < 8:
		s.partitioned = s.rnd.IntN(4*len(s.nodes)) - 3*len(s.nodes)
	case k < 550:
		s.deliver(true)
	case k < 800:
		s.sync(i)
	case k < 860:
		if len(s.network) > 0 && s.rnd.IntN(2) == 0 {
			s.takeMessage()
		} else if n.action.Kind != Done && n.action.Kind != Backoff {
			s.perform(i, n.proposer.Timeout(n.action.Attempt))
		}
	case k < 900:
		s.perform(i, n.proposer.Resumed(n.action.Attempt, n.Base()))
	case k < 900+s.lossRate*2/3:
		s.restart(i)
	case k < 900+s.lossRate:
		if !s.toleratesLoss(i) {
			return
		}
		s.loseDisk(i)
	case k < 945:
		s.submit(i)
	case k < 985-s.electorateRate:
		if n.action.Kind == Done {
			s.start(i, s.rnd.IntN(4) == 0)
		} else if s.rnd.IntN(4) == 0 {
			s.abandon(i)
		}
	case k < 985:
		if n.action.Kind == Done && n.Electorate.Known() {
			s.changeElectorate(i)
		}
	default:
		s.fetch(i, s.rnd.IntN(len(s.nodes)), 0)
	}
}

// diskLost reports whether a voter's disk is lost. also is the index of a node whose disk counts as lost too; -1
// means none.
func (s *simulation) diskLost(v Voter, also int) bool {
	k := slices.Index(s.names, v.Addr)
	n := s.nodes[k]
	if k == also || n.removed {
		return true
	}
	return n.synced.Disk != v.Disk || n.synced.empty()
}

// toleratesLoss reports whether the loss of the disk of node i is within the tolerated faults: no electorate that is in
// force, or may still be chosen, then has more than one lost disk. A voter that returned with another disk no longer
// counts as a loss once the newest electorate on any disk lists it with that disk.
func (s *simulation) toleratesLoss(i int) bool {
	newest, all := InitialElectorate(s.initial), [][]Voter(nil)
	add := func(p *Proposal) {
		if p != nil && p.Voters != nil {
			all = append(all, p.Voters)
		}
	}
	for k, n := range s.nodes {
		if k == i || n.removed {
			continue
		}
		if n.synced.Electorate.Since > newest.Since {
			newest = n.synced.Electorate
		}
		add(n.Pending)
		add(n.synced.Pending)
		add(n.proposer.inFlight)
	}
	for _, m := range s.network {
		add(m.accept)
	}
	for _, voters := range append(all, newest.Voters) {
		lost := 0
		for _, v := range voters {
			if s.diskLost(v, i) {
				lost++
			}
		}
		if lost > 1 {
			return false
		}
	}
	return true
}

// changeElectorate makes a node propose another electorate. If the node is listed with another disk than it has, the
// change lists it with its present disk. Otherwise the change replaces, adds or removes one voter.
func (s *simulation) changeElectorate(i int) {
	n := s.nodes[i]
	e := n.Electorate
	if v, listed := e.VoterAt(n.Addr); listed && v.Disk != n.Disk {
		if n.synced.Disk == n.Disk {
			s.enrollDisk(i)
		}
		return
	}
	k := s.rnd.IntN(len(s.nodes))
	in := Voter{Addr: s.names[k], Disk: s.nodes[k].synced.Disk}
	if _, listed := e.VoterAt(in.Addr); listed || s.nodes[k].removed || s.nodes[k].synced.empty() {
		in = Voter{}
	}
	out := e.Voters[s.rnd.IntN(len(e.Voters))].Addr
	if in.Addr != "" && len(e.Voters) < 5 && s.rnd.IntN(4) == 0 {
		out = ""
	}
	if in.Addr == "" && len(e.Voters) <= 3 || out == "" && in.Addr == "" {
		return
	}
	n.abandoned = false
	n.wantedChange = &electorateChange{out, in}
	n.running, n.queue = n.queue, nil
	s.perform(i, n.proposer.Start(n.Base(), false))
}

// enrollDisk makes a node that is listed with a lost disk propose to be listed with its present disk.
func (s *simulation) enrollDisk(i int) {
	n := s.nodes[i]
	n.abandoned = false
	n.wantedChange = &electorateChange{n.Addr, n.Self()}
	s.perform(i, n.proposer.Start(n.Base(), false))
}

// wantedVoters returns the electorate that a node is to propose on its snapshot; nil means no change.
func (s *simulation) wantedVoters(n *node) []Voter {
	if n.wantedChange == nil {
		return nil
	}
	e := n.Electorate
	in, out := n.wantedChange.in, n.wantedChange.out
	_, listed := e.VoterAt(out)
	switch {
	case out != "" && !listed, out == "" && len(e.Voters) >= 5:
		return nil
	case in.Addr != "" && e.Contains(in), in.Addr == "" && len(e.Voters) <= 3:
		return nil
	}
	if v, ok := e.VoterAt(in.Addr); ok && v.Addr != out {
		return nil
	}
	if in.Addr != "" && s.diskLost(in, -1) {
		return nil // a voter must be reachable when it is proposed
	}
	return e.ReplaceVoter(out, in)
}

// submit sends an operator's call to a node: a new call, or a retry of a call whose outcome the operator doesn't know.
func (s *simulation) submit(i int) {
	for _, c := range s.calls {
		if c.node == -1 && s.rnd.IntN(2) == 0 {
			c.node = i
			s.nodes[i].queue = append(s.nodes[i].queue, c)
			return
		}
	}
	c := &call{id: len(s.calls), node: i}
	for range 1 + s.rnd.IntN(2) {
		s.version++
		it := configuration.Item{
			Key:     configuration.Key{Kind: configuration.Routes, Name: string(rune('a' + s.rnd.IntN(3)))},
			Version: s.version,
			Body:    []byte{byte('0' + s.rnd.IntN(3))},
		}
		if s.rnd.IntN(5) == 0 {
			it.Deleted, it.Body = true, nil
		}
		c.items = append(c.items, it)
	}
	s.calls = append(s.calls, c)
	s.nodes[i].queue = append(s.nodes[i].queue, c)
}

// abandon ends a run whose operators no longer wait for it. They send their calls again later.
func (s *simulation) abandon(i int) {
	n := s.nodes[i]
	for _, c := range n.running {
		c.node = -1
	}
	n.running, n.reading, n.abandoned, n.action = nil, false, true, Action{Kind: Done}
	n.wantedChange, n.electorateEpoch = nil, 0
}

// start begins a run: a read, or one for the queued calls.
func (s *simulation) start(i int, reading bool) {
	n := s.nodes[i]
	if !reading && len(n.queue) == 0 || !n.Electorate.Known() {
		return
	}
	n.abandoned = false
	n.reading, n.acknowledgedBefore = reading, nil
	if reading {
		for _, c := range s.calls {
			if c.acknowledged {
				n.acknowledgedBefore = append(n.acknowledgedBefore, c)
			}
		}
	} else {
		n.running, n.queue = n.queue, nil
	}
	s.perform(i, n.proposer.Start(n.Base(), reading))
}
