package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/mutant"
	"mulleinrouter/internal/control/storage"
)

const (
	syncTimeout = 500 * time.Millisecond // that an answer waits for the disk: the others are enough

	maxRecentChanges = 256 // changes that are kept to be told to who lacks them
)

// replica is this node's copy of the configuration and, if it is one of those that choose, its vote. Items reach the store under its
// lock alone, so that the store's snapshot is at any time the snapshot of the acceptor's epoch.
type replica struct {
	self              string // own control address
	store             *replication.Store
	isOwnBallot       func(consensus.Ballot) bool // a ballot is of this process
	drawDiskID        func() uint64               // a name for a new disk
	electorateChanged func()                      // the electorate is another one

	mu           sync.Mutex
	storage      *storage.Store // nil: the disk has not been read yet
	acceptor     consensus.Acceptor
	ticket       *storage.Ticket // of the last change of a; nil: as it was found
	pendingAt    time.Time       // since when a.Pending waits
	foreignRound chan struct{}   // closed once the change of another node that is under way here is chosen; nil: none is
	recent       []chosenChange  // up to a.Epoch without a gap
	staging      staging
}

// load takes what was on disk. Bootstrap: the voters to start with, where nothing was and the snapshot system starts; nil: a new disk, which
// is to be taken into the electorate.
func (v *replica) load(vt *storage.Store, s storage.State, bootstrap []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storage, v.acceptor = vt, s.Acceptor
	v.acceptor.At = v.self
	v.staging.load(s)
	v.store.MergeItems(s.Items)
	v.store.SetEpoch(v.acceptor.Epoch)
	v.pendingAt = time.Now()
	switch {
	case !s.Empty || v.acceptor.Disk != 0:
	case bootstrap != nil:
		v.acceptor.Electorate = consensus.InitialElectorate(bootstrap)
		v.persistAcceptor()
	default:
		v.acceptor.Disk = v.drawDiskID()
		v.persistAcceptor()
	}
}

// persistAcceptor puts the acceptor on its way to the disk.
func (v *replica) persistAcceptor() {
	v.pendingAt = time.Now()
	v.ticket = v.storage.Put(storage.Batch{Acceptor: &v.acceptor})
}

// diskResponsive tells whether the disk has been read and is not known to hang.
func (v *replica) diskResponsive() bool { return v.storage != nil && !v.storage.Stalled(syncTimeout) }

// synced waits until what a ticket stands for is on disk, for a while and so much longer.
func synced(t *storage.Ticket, longer time.Duration) bool {
	if t == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout+longer)
	defer cancel()
	return t.Wait(ctx) == nil
}

// noteForeignRound notes that a node is on its way to have a change chosen.
func (v *replica) noteForeignRound(b consensus.Ballot) {
	if v.isOwnBallot != nil && v.isOwnBallot(b) {
		return
	}
	if v.foreignRound == nil {
		v.foreignRound = make(chan struct{})
	}
}

// foreignRoundDone is closed once no other node is known to be on its way to have a change chosen.
func (v *replica) foreignRoundDone() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.foreignRound
}

// prepare answers a ballot; nil: there is no answer. A node that is no voter answers too: who asks knows whose answers count.
func (v *replica) prepare(q *transport.Prepare) *consensus.Promise {
	v.mu.Lock()
	if q.ReadOnly {
		known, p := v.acceptor.Electorate.Known(), v.acceptor.Read()
		var t *storage.Ticket
		if known && q.Synced {
			t = v.storage.Put(storage.Batch{Acceptor: &v.acceptor})
		}
		v.mu.Unlock()
		if !known || !synced(t, 0) {
			return nil
		}
		return &p
	}
	if !v.diskResponsive() || !v.acceptor.Electorate.Known() {
		v.mu.Unlock()
		return nil
	}
	p, changed := v.acceptor.Prepare(q.Ballot)
	if changed {
		v.persistAcceptor()
		v.noteForeignRound(q.Ballot)
	}
	t := v.ticket
	v.mu.Unlock()
	if p.OK && !synced(t, 0) {
		return nil
	}
	return &p
}

// accept answers a proposal; nil: there is no answer. Where the snapshot before it is missing here, fetch gets it from who proposes.
func (v *replica) accept(p consensus.Proposal, fetch func()) *consensus.Accepted {
	if !allKeysValid(p.Items) {
		return nil
	}
	for try := 0; ; try++ {
		v.mu.Lock()
		if !v.diskResponsive() || !v.acceptor.Electorate.Known() {
			v.mu.Unlock()
			return nil
		}
		// Who goes on under the same ballot had the change before it chosen; word of that may come after.
		if f := v.acceptor.Pending; f != nil && f.Ballot == p.Ballot && f.Epoch+1 == p.Epoch {
			v.apply(v.acceptor.Base().With(*f), f.Items)
		}
		r, changed := v.acceptor.Accept(p)
		if mutant.Active("accepts-behind") && r.Behind {
			r.OK = true
		}
		if changed {
			v.persistAcceptor()
			v.noteForeignRound(p.Ballot)
		}
		t := v.ticket
		v.mu.Unlock()
		if r.Behind && try == 0 && fetch != nil {
			fetch()
			continue
		}
		if r.OK && !synced(t, transferAllowance(p.Items)) {
			return nil
		}
		return &r
	}
}

// choose takes in a change that is chosen, and returns how far the snapshot here is. It has no effect unless the snapshot before it is here.
func (v *replica) choose(p consensus.Proposal) consensus.Base {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p.Epoch == v.acceptor.Epoch+1 {
		v.apply(v.acceptor.Base().With(p), p.Items)
	}
	return v.acceptor.Base()
}

// learn takes word that what was accepted under a ballot is chosen. It tells whether the snapshot is here now.
func (v *replica) learn(b consensus.Ballot, epoch uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if f := v.acceptor.Pending; f != nil && (f.Ballot == b || mutant.Active("learns-any")) && f.Epoch == epoch {
		v.apply(v.acceptor.Base().With(*f), f.Items)
	}
	return v.acceptor.Epoch >= epoch
}

// apply makes a change, or several at once, the newest of the snapshot. What was staged has no use then: only what is behind it was. A change of
// the electorate goes to the disk at once: a majority of the old one has it, and of the new one maybe nobody else yet.
func (v *replica) apply(base consensus.Base, items []configuration.Item) {
	if v.foreignRound != nil {
		close(v.foreignRound)
		v.foreignRound = nil
	}
	epoch, behind := base.Epoch, base.Epoch-v.acceptor.Epoch
	changed := !base.Electorate.Equal(v.acceptor.Electorate)
	news := v.store.MergeItems(items)
	v.acceptor.Learn(base)
	v.store.SetEpoch(epoch)
	// The accepted proposal is on more than half of the disks.
	t := v.storage.Put(storage.Batch{Acceptor: &v.acceptor, Items: news, ClearStage: v.staging.finish(epoch), NoSync: !changed})
	if changed {
		v.ticket = t
		v.electorateChanged()
	}
	if behind > 1 {
		v.recent = nil
	}
	if len(v.recent) == maxRecentChanges {
		v.recent = slices.Clone(v.recent[maxRecentChanges/2:]) // readers have the old one
	}
	v.recent = append(v.recent, chosenChange{epoch, keysOf(news)})
}

// allKeysValid tells whether items that another process told of can be such at all.
func allKeysValid(items []configuration.Item) bool {
	return !slices.ContainsFunc(items, func(i configuration.Item) bool {
		return !i.Key.Valid()
	})
}

// snapshot is the configuration here with its epoch.
func (v *replica) snapshot() (uint64, *configuration.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.acceptor.Epoch, v.store.Snapshot()
}

// state is the highest ballot that this voter promised, and the epoch of what it accepted and does not know to be chosen; 0: nothing.
func (v *replica) state() (promised consensus.Ballot, pending uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.acceptor.Pending != nil {
		pending = v.acceptor.Pending.Epoch
	}
	return v.acceptor.Promised, pending
}

// pendingFor tells how long something has been accepted here and not known to be chosen; 0: nothing is.
func (v *replica) pendingFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.acceptor.Pending == nil || !v.acceptor.Votes() {
		return 0
	}
	return now.Sub(v.pendingAt)
}

// base is the snapshot here and who chooses upon it.
func (v *replica) base() (consensus.Base, *configuration.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.acceptor.Base(), v.store.Snapshot()
}

// asVoter is this node as a voter, with its disk.
func (v *replica) asVoter() consensus.Voter {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.acceptor.Self()
}

// electorate is who chooses, and whether this node has a vote; nil: not known.
func (v *replica) electorate() ([]string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.acceptor.Electorate.Known() {
		return nil, false
	}
	return v.acceptor.Electorate.Addresses(), v.acceptor.Votes()
}

// votersForContact is the voters as this node counts them when it looks whom it hears: where it is listed with a disk that it lost, it is nobody.
func (v *replica) votersForContact() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.acceptor.Electorate.Known() {
		return nil
	}
	all := v.acceptor.Electorate.Addresses()
	if k := slices.Index(all, v.self); k >= 0 && !v.acceptor.Votes() {
		all[k] = ""
	}
	return all
}
