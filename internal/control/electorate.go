package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/majority"
)

const (
	electorateChangeTimeout = 2 * time.Second // for a change of the electorate, from its proposal until it is sealed
	handoverTimeout         = time.Second     // for one at the end of a process
	replacementDelay        = 2 * time.Second // longer than contactMs: a voter that is silent for so long is replaced
	replacementRankDelay    = time.Second     // later for each living voter before this one
	probeInterval           = 50 * time.Millisecond
	minElectorateAge        = 10 * time.Second // at least, until the next replacement
)

// errElectorateChanged means that the electorate is another one than that which was judged.
var errElectorateChanged = errors.New("the electorate has changed meanwhile")

var errBehind = errors.New("it is behind")

// electorateState is what this node notes of the electorate and its changes.
type electorateState struct {
	sync.Mutex
	since   uint64    // of the one that was last seen
	seen    time.Time // when that was first seen
	tending atomic.Bool
}

// electorateChange is a change of the electorate: from the one that was judged to these voters.
type electorateChange struct {
	from consensus.Electorate
	to   []consensus.Voter
}

// join finds out who chooses, and meets them.
func (n *Node) join(ctx context.Context, all *sync.WaitGroup) {
	for ; ctx.Err() == nil; pause(ctx, inquiryInterval) {
		if base, _ := n.replica.base(); base.Electorate.Known() {
			break
		}
		n.askForElectorate()
	}
	voters, votes := n.replica.electorate()
	n.subscribeTo(ctx, all, voters)
	if !votes {
		n.log.Log("msg", "relays", "voters", len(voters))
	}
}

// electorateOf is the one that a node tells of; it stands in the snapshot of Epoch.
func electorateOf(i *transport.CatchUpChunk) consensus.Electorate {
	if !i.Electorate.Known() {
		return consensus.InitialElectorate(i.Voters)
	}
	return i.Electorate
}

// told takes who chooses in the snapshot that is here, where that is not known. Of another snapshot it comes with that.
func (v *replica) told(i *transport.CatchUpChunk) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := electorateOf(i); v.storage != nil && i.Epoch == v.acceptor.Epoch && !v.acceptor.Electorate.Known() && e.Known() && len(e.Voters) <= maxPeers {
		v.acceptor.Electorate = e
		v.persistAcceptor()
		v.electorateChanged()
	}
}

// askForElectorate asks the other nodes who chooses, and which instances they keep.
func (n *Node) askForElectorate() {
	var asking sync.WaitGroup
	n.eachPeer(func(x *peer) {
		asking.Go(func() {
			if i := n.fetchInventory(x); i != nil {
				n.replica.told(i)
			}
		})
	})
	asking.Wait()
}

// enroll has this node take the place of itself with the disk that is lost, where its address is listed with that.
func (n *Node) enroll(ctx context.Context) {
	base, _ := n.replica.base()
	self := n.replica.asVoter()
	listed, ok := base.Electorate.At(self.At)
	if !ok || listed == self {
		return
	}
	err := n.proposals.changeElectorate(ctx, electorateChange{base.Electorate, base.Electorate.Replaced(self.At, self)}, electorateChangeTimeout)
	if err != nil {
		n.log.Log("msg", "not in the electorate yet", "err", err)
		return
	}
	base, _ = n.replica.base()
	n.log.Log("msg", "vote recovered", "epoch", base.Epoch)
}

// followElectorate keeps up with the electorate: it meets who is new there, and has this node taken in.
func (n *Node) followElectorate(ctx context.Context, all *sync.WaitGroup) {
	for ; ctx.Err() == nil; pause(ctx, inquiryInterval) {
		if n.storage.Load() == nil {
			continue
		}
		voters, _ := n.replica.electorate()
		n.subscribeTo(ctx, all, voters)
		n.enroll(ctx)
	}
}

// judge judges a move upon the snapshot as it is now: nil voters and no error mean that it is done.
func (m *electorateChange) judge(base consensus.Base) ([]consensus.Voter, error) {
	e := base.Electorate
	switch {
	case slices.Equal(e.Voters, m.to):
		return nil, nil
	case !e.Equal(m.from):
		return nil, errElectorateChanged
	}
	return m.to, nil
}

// electorateAge tells for how long the electorate has been what it is, as seen here.
func (n *Node) electorateAge(e consensus.Electorate) time.Duration {
	n.electorateState.Lock()
	defer n.electorateState.Unlock()
	if n.electorateState.seen.IsZero() {
		n.electorateState.since, n.electorateState.seen = e.Since, n.started
	} else if n.electorateState.since != e.Since {
		n.electorateState.since, n.electorateState.seen = e.Since, time.Now()
	}
	return time.Since(n.electorateState.seen)
}

// silence is for how long a voter has not answered; no longer than the electorate stands.
func (n *Node) silence(addr string, stands time.Duration) time.Duration {
	if addr == n.self {
		return 0
	}
	if age := n.majority.Age(addr); age >= 0 {
		return min(age, stands)
	}
	return stands
}

// wantedVoters is how many voters bear the losses that are to be borne.
func (n *Node) wantedVoters() int { return 2*n.settings.Tolerance.Machines + 1 }

// learner is a control node outside the electorate that could enter it.
type learner struct {
	addr, zone string
}

// learners is those that are heard, in the order of their addresses.
func (n *Node) learners(e consensus.Electorate) (all []learner) {
	n.eachPeer(func(x *peer) {
		if _, ok := e.At(x.addr); ok || !x.client.Connected() {
			return
		}
		all = append(all, learner{x.addr, n.zone(x.addr)})
	})
	slices.SortFunc(all, func(a, b learner) int { return cmp.Compare(a.addr, b.addr) })
	return all
}

// zone is that of a control node; empty: not known.
func (n *Node) zone(addr string) string {
	if addr == n.self {
		return n.settings.Zone
	}
	if x := n.peer(addr); x != nil {
		if z := x.zone.Load(); z != nil {
			return *z
		}
	}
	return ""
}

// successors is the learners in the order in which they are to follow a voter: those of its zone first, then those of the zones with fewest voters.
func (n *Node) successors(e consensus.Electorate, out string) []learner {
	all, voters := n.learners(e), map[string]int{}
	for _, v := range e.Voters {
		voters[n.zone(v.At)]++
	}
	home := n.zone(out)
	slices.SortStableFunc(all, func(a, b learner) int {
		if x, y := a.zone == home, b.zone == home; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(voters[a.zone], voters[b.zone])
	})
	return all
}

// maintainElectorate has a voter that is silent for long replaced, and an electorate that is too small enlarged. The first of the living voters does it; the
// others come after, if it does not: several that do it at once are harmless. It ends with the context, before the node does.
func (n *Node) maintainElectorate(ctx context.Context, all *sync.WaitGroup) {
	base, book := n.replica.base()
	e := base.Electorate
	stands := n.electorateAge(e)
	term, held := n.majority.Current()
	if !held || n.confirmed.Load() != term || book.Len() == 0 || stands < minElectorateAge || !e.Has(n.replica.asVoter()) || n.electorateState.tending.Load() {
		return
	}
	living, _, _ := n.majority.Reachable()
	rank := time.Duration(slices.Index(living, n.self))
	after := time.Duration(n.settings.Bounds.Contact*float64(time.Second)) + replacementDelay + rank*replacementRankDelay
	var out string
	for _, v := range e.Voters {
		if n.silence(v.At, stands) > after {
			out = v.At
			break
		}
	}
	grow := out == "" && len(e.Voters)+2 <= n.wantedVoters() && len(living) == len(e.Voters) && stands > after
	if out == "" && !grow {
		return
	}
	next := n.successors(e, out)
	if len(next) == 0 || grow && len(next) < 2 {
		return
	}
	n.electorateState.tending.Store(true)
	all.Go(func() {
		defer n.electorateState.tending.Store(false)
		if grow {
			n.enlarge(ctx, base, next[:2])
			return
		}
		for _, l := range next {
			if n.replace(ctx, base, out, l.addr, electorateChangeTimeout, func() bool { return n.silence(out, n.electorateAge(e)) > after }) == nil {
				return
			}
		}
	})
}

// probe asks a control node for itself as a voter: it has all of a base on its disk. One that is a little behind is waited for.
func (n *Node) probe(ctx context.Context, addr string, base consensus.Base) (v consensus.Voter, err error) {
	for range 5 {
		if v, err = n.probeOnce(addr, base); !errors.Is(err, errBehind) || ctx.Err() != nil {
			break
		}
		pause(ctx, probeInterval)
	}
	return v, err
}

func (n *Node) probeOnce(addr string, base consensus.Base) (consensus.Voter, error) {
	q := &transport.Prepare{ReadOnly: true, Synced: true}
	var p *consensus.Promise
	if addr == n.self {
		p = n.replica.prepare(q)
	} else if r := n.callPeer(addr, 2*syncTimeout, &transport.Frame{Prepare: q}); r != nil && r.Promise != nil {
		p = &r.Promise.Promise
	}
	switch {
	case p == nil:
		return consensus.Voter{}, errors.Newf("%s does not answer", addr)
	case p.Epoch < base.Epoch:
		return consensus.Voter{}, errors.Wrapf(errBehind, "%s, by %d changes", addr, base.Epoch-p.Epoch)
	}
	return consensus.Voter{At: addr, Disk: p.Disk}, nil
}

// replace has one control node take the place of another in the electorate, in one step. While, where there is one, must hold to the last.
func (n *Node) replace(ctx context.Context, base consensus.Base, out, in string, most time.Duration, while func() bool) error {
	e := base.Electorate
	if _, ok := e.At(out); !ok {
		return errors.Newf("%s is no voter", out)
	}
	if _, ok := e.At(in); ok {
		return errors.Newf("%s is a voter already", in)
	}
	v, err := n.probe(ctx, in, base)
	if err == nil && while != nil && !while() {
		err = errors.Newf("%s is back", out)
	}
	if err == nil {
		err = n.changeElectorate(ctx, e, e.Replaced(out, v), most, v)
	}
	if err != nil {
		n.log.Log("msg", "not replaced", "out", out, "in", in, "err", err)
		return err
	}
	n.log.Log("msg", "replaced", "out", out, "in", in)
	return nil
}

func (n *Node) enlarge(ctx context.Context, base consensus.Base, by []learner) {
	voters := slices.Clone(base.Electorate.Voters)
	var in []consensus.Voter
	for _, l := range by {
		v, err := n.probe(ctx, l.addr, base)
		if err != nil {
			return
		}
		voters, in = append(voters, v), append(in, v)
	}
	if err := n.changeElectorate(ctx, base.Electorate, voters, electorateChangeTimeout, in...); err == nil {
		n.log.Log("msg", "more voters", "count", len(voters))
	}
}

// changeElectorate has the electorate changed, if majorities of the one that stands and of the next are in contact, newcomers with them.
func (n *Node) changeElectorate(ctx context.Context, from consensus.Electorate, to []consensus.Voter, most time.Duration, newcomers ...consensus.Voter) error {
	for _, half := range [][]consensus.Voter{from.Voters, to} {
		heard := 0
		for _, v := range half {
			if age := n.majority.Age(v.At); v.At == n.self || age >= 0 && age <= majority.TTL || slices.Contains(newcomers, v) {
				heard++
			}
		}
		if heard < consensus.Majority(len(half)) {
			return errors.Newf("only %d of %d voters are in contact", heard, len(half))
		}
	}
	if len(to) < len(from.Voters) {
		return errors.New("fewer voters would bear fewer losses")
	}
	return n.proposals.changeElectorate(ctx, electorateChange{from, to}, most)
}

// handOverVote has a learner take this node's place among the voters before it ends.
func (n *Node) handOverVote(ctx context.Context) {
	base, _ := n.replica.base()
	if !base.Electorate.Has(n.replica.asVoter()) {
		return
	}
	if !n.inContact() {
		n.log.Log("msg", "leaves with its vote", "why", "no contact with a majority")
		return
	}
	began := time.Now()
	for _, l := range n.successors(base.Electorate, n.self) {
		if time.Since(began) > handoverTimeout || ctx.Err() != nil {
			break
		}
		if n.replace(ctx, base, n.self, l.addr, handoverTimeout, nil) == nil {
			return
		}
	}
	n.log.Log("msg", "leaves with its vote", "why", "nobody stands ready to take it")
}
