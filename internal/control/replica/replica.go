package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/storage"
	"mulleinrouter/internal/mutants"
)

const (
	// SyncTimeout is how long an answer waits for the disk; the other voters suffice.
	SyncTimeout = 500 * time.Millisecond
	// MaxControlNodes bounds the control nodes of one system, and so the voters.
	MaxControlNodes = 40

	timeoutPerMegabyte = 400 * time.Millisecond // more, for each megabyte of items
)

// Options is what a replica is made of.
type Options struct {
	Self              string                      // own control address
	Store             *replication.Store          // holds the items; only the replica changes them
	IsOwnBallot       func(consensus.Ballot) bool // whether a ballot is of this process; nil: none is
	DrawDiskID        func() uint64               // names a new disk; not called if Load gets a bootstrap electorate
	ElectorateChanged func()                      // called under the replica's mutex, must not block; nil: not called
}

// Replica is this node's replica of the configuration and, if it is a voter, its vote. Items are merged into the
// store under its mutex alone, so that the store's snapshot always is that of the acceptor's epoch. It is safe
// for concurrent use.
type Replica struct {
	self              string
	store             *replication.Store
	isOwnBallot       func(consensus.Ballot) bool
	drawDiskID        func() uint64
	electorateChanged func()

	mu           sync.Mutex     // guards the fields below
	disk         *storage.Store // nil: it has not been read yet
	acceptor     consensus.Acceptor
	lastSave     *storage.Future // of the acceptor's last change; nil: it is as it was found
	pendingAt    time.Time       // since when acceptor.Pending is pending
	foreignRound chan struct{}   // closed once the pending change of another node is chosen; nil: there is none
	recent       []chosenChange  // the last ones up to acceptor.Epoch, without a gap
	staging      staging
}

// New makes a replica that answers nothing before Load.
func New(o Options) *Replica {
	return &Replica{
		self:              o.Self,
		store:             o.Store,
		isOwnBallot:       o.IsOwnBallot,
		drawDiskID:        o.DrawDiskID,
		electorateChanged: o.ElectorateChanged,
	}
}

// Load takes over what was found on disk. On an empty disk, bootstrap is the first electorate of a system that
// starts; nil: this is a new disk in a running system, and this node must be enrolled.
func (r *Replica) Load(disk *storage.Store, state storage.State, bootstrap []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disk, r.acceptor = disk, state.Acceptor
	r.acceptor.Addr = r.self
	r.staging.restore(state)
	r.store.MergeItems(state.Items)
	r.store.SetEpoch(r.acceptor.Epoch)
	r.pendingAt = time.Now()
	switch {
	case !state.Empty || r.acceptor.Disk != 0:
	case bootstrap != nil:
		r.acceptor.Electorate = consensus.InitialElectorate(bootstrap)
		r.persistAcceptor()
	default:
		r.acceptor.Disk = r.drawDiskID()
		r.persistAcceptor()
	}
}

// persistAcceptor queues the acceptor for the disk. r.mu is held.
func (r *Replica) persistAcceptor() {
	r.pendingAt = time.Now()
	r.lastSave = r.disk.Put(storage.Batch{Acceptor: &r.acceptor})
}

// canVote tells whether the electorate is known, the disk has been read and it is not known to stall. r.mu is held.
func (r *Replica) canVote() bool {
	return r.disk != nil && !r.disk.Stalled(SyncTimeout) && r.acceptor.Electorate.Known()
}

// Synced waits until what save holds is on disk, for SyncTimeout and extra; it returns false after
// that. A nil save is synced.
func Synced(save *storage.Future, extra time.Duration) bool {
	if save == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), SyncTimeout+extra)
	defer cancel()
	return save.Wait(ctx) == nil
}

// TransferAllowance is how much longer than usual items take on their way, by their size.
func TransferAllowance(items []configuration.Item) time.Duration {
	bytes := 0
	for _, item := range items {
		bytes += item.Size()
	}
	return timeoutPerMegabyte * time.Duration(bytes>>10) >> 10
}

// observeForeignRound records that another node is about to have a change chosen. r.mu is held.
func (r *Replica) observeForeignRound(ballot consensus.Ballot) {
	if r.isOwnBallot != nil && r.isOwnBallot(ballot) {
		return
	}
	if r.foreignRound == nil {
		r.foreignRound = make(chan struct{})
	}
}

// ForeignRoundDone returns a channel that is closed once the change of another node that is under way here is
// chosen; nil: none is.
func (r *Replica) ForeignRoundDone() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.foreignRound
}

// Prepare answers a prepare request or a read; nil: no answer. A node that is no voter answers too: the proposer
// counts only those of voters.
func (r *Replica) Prepare(request *transport.Prepare) *consensus.Promise {
	if request.ReadOnly {
		return r.read(request.Synced)
	}
	r.mu.Lock()
	if !r.canVote() {
		r.mu.Unlock()
		return nil
	}
	promise, changed := r.acceptor.Prepare(request.Ballot)
	if changed {
		r.persistAcceptor()
		r.observeForeignRound(request.Ballot)
	}
	save := r.lastSave
	r.mu.Unlock()
	if promise.OK && !Synced(save, 0) {
		return nil
	}
	return &promise
}

// read answers a request that changes nothing; sync: only once the acceptor is on disk as it stands.
func (r *Replica) read(sync bool) *consensus.Promise {
	r.mu.Lock()
	known, promise := r.acceptor.Electorate.Known(), r.acceptor.Read()
	var save *storage.Future
	if known && sync {
		save = r.disk.Put(storage.Batch{Acceptor: &r.acceptor})
	}
	r.mu.Unlock()
	if !known || !Synced(save, 0) {
		return nil
	}
	return &promise
}

// Accept answers a proposal; nil: no answer. If the snapshot before it is missing here, fetch is called once to
// get it from the proposer; it may be nil.
func (r *Replica) Accept(proposal consensus.Proposal, fetch func()) *consensus.Accepted {
	if !allKeysValid(proposal.Items) {
		return nil
	}
	accepted, save := r.tryAccept(proposal)
	if accepted != nil && accepted.Behind && fetch != nil {
		fetch()
		accepted, save = r.tryAccept(proposal)
	}
	if accepted == nil || accepted.OK && !Synced(save, TransferAllowance(proposal.Items)) {
		return nil
	}
	return accepted
}

// tryAccept has the acceptor answer a proposal, and returns the save to wait for before the answer is sent.
func (r *Replica) tryAccept(proposal consensus.Proposal) (*consensus.Accepted, *storage.Future) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.canVote() {
		return nil, nil
	}
	// A proposer that continues under the same ballot had the change before it chosen; the message about that may
	// come later.
	if p := r.acceptor.Pending; p != nil && p.Ballot == proposal.Ballot && p.Epoch+1 == proposal.Epoch {
		r.apply(r.acceptor.Base().With(*p), p.Items)
	}
	accepted, changed := r.acceptor.Accept(proposal)
	if mutants.On("replica/accepts-behind") && accepted.Behind {
		accepted.OK = true
	}
	if changed {
		r.persistAcceptor()
		r.observeForeignRound(proposal.Ballot)
	}
	return &accepted, r.lastSave
}

// Choose applies a change that is chosen, and returns the base here. It has no effect unless the snapshot before
// it is here.
func (r *Replica) Choose(proposal consensus.Proposal) consensus.Base {
	r.mu.Lock()
	defer r.mu.Unlock()
	if proposal.Epoch == r.acceptor.Epoch+1 {
		r.apply(r.acceptor.Base().With(proposal), proposal.Items)
	}
	return r.acceptor.Base()
}

// Learn applies the pending change if it is the one that was chosen under a ballot. It tells whether the
// snapshot of the epoch is here now.
func (r *Replica) Learn(ballot consensus.Ballot, epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.acceptor.Pending; p != nil && (p.Ballot == ballot || mutants.On("replica/learns-any")) &&
		p.Epoch == epoch {
		r.apply(r.acceptor.Base().With(*p), p.Items)
	}
	return r.acceptor.Epoch >= epoch
}

// apply makes one change, or several at once, the newest of the snapshot, and discards what is staged for older
// ones. The sync of a change of the electorate is waited for by later answers (lastSave): a majority of the old
// electorate has it, but possibly nobody else of the new one. r.mu is held.
func (r *Replica) apply(base consensus.Base, items []configuration.Item) {
	if r.foreignRound != nil {
		close(r.foreignRound)
		r.foreignRound = nil
	}
	changes := base.Epoch - r.acceptor.Epoch
	electorateChanged := !base.Electorate.Equal(r.acceptor.Electorate)
	merged := r.store.MergeItems(items)
	r.acceptor.Learn(base)
	r.store.SetEpoch(base.Epoch)
	save := r.disk.Put(storage.Batch{
		Acceptor:   &r.acceptor,
		Items:      merged,
		ClearStage: r.staging.finish(base.Epoch),
		NoSync:     !electorateChanged, // the accepted proposal is on a majority of the disks
	})
	if electorateChanged {
		r.lastSave = save
		r.notifyElectorateChanged()
	}
	r.rememberChange(changes, chosenChange{epoch: base.Epoch, keys: keysOf(merged)})
}

// rememberChange appends to the recent changes; one that joins several leaves a gap before it. r.mu is held.
func (r *Replica) rememberChange(joined uint64, change chosenChange) {
	if joined > 1 {
		r.recent = nil
	}
	if len(r.recent) == MaxRecentChanges {
		r.recent = slices.Clone(r.recent[MaxRecentChanges/2:]) // readers keep the old array
	}
	r.recent = append(r.recent, change)
}

func (r *Replica) notifyElectorateChanged() {
	if r.electorateChanged != nil {
		r.electorateChanged()
	}
}

// LearnElectorate takes over the electorate of another node's snapshot if none is known here and that snapshot
// is the one here. That of any other snapshot comes with its chunks.
func (r *Replica) LearnElectorate(chunk *transport.CatchUpChunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disk == nil || chunk.Epoch != r.acceptor.Epoch || r.acceptor.Electorate.Known() {
		return
	}
	electorate := ElectorateOf(chunk)
	if !validElectorate(electorate) {
		return
	}
	r.acceptor.Electorate = electorate
	r.persistAcceptor()
	r.notifyElectorateChanged()
}

// validElectorate tells whether an electorate that another process sent can be one.
func validElectorate(e consensus.Electorate) bool {
	return e.Known() && len(e.Voters) <= MaxControlNodes
}

// allKeysValid tells whether items that another process sent can be items at all.
func allKeysValid(items []configuration.Item) bool {
	return !slices.ContainsFunc(items, func(item configuration.Item) bool {
		return !item.Key.Valid()
	})
}

// Snapshot returns the configuration here with its epoch.
func (r *Replica) Snapshot() (epoch uint64, snapshot *configuration.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptor.Epoch, r.store.Snapshot()
}

// Epoch is the epoch of the snapshot here.
func (r *Replica) Epoch() uint64 {
	epoch, _ := r.Snapshot()
	return epoch
}

// Pending returns the highest ballot promised, and the epoch of the change that is accepted here and not known
// to be chosen; 0: none.
func (r *Replica) Pending() (promised consensus.Ballot, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acceptor.Pending != nil {
		epoch = r.acceptor.Pending.Epoch
	}
	return r.acceptor.Promised, epoch
}

// PendingFor is how long a change has been accepted here and not known to be chosen; 0: there is none, or this
// node is no voter.
func (r *Replica) PendingFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acceptor.Pending == nil || !r.acceptor.IsVoter() {
		return 0
	}
	return now.Sub(r.pendingAt)
}

// Base returns the snapshot here, with its epoch and the electorate that decides on the next change.
func (r *Replica) Base() (consensus.Base, *configuration.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptor.Base(), r.store.Snapshot()
}

// AsVoter is this node as a voter, with its disk.
func (r *Replica) AsVoter() consensus.Voter {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptor.Self()
}

// Voters returns the addresses of the voters, nil if they are unknown, and whether this node is one.
func (r *Replica) Voters() (addrs []string, self bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.acceptor.Electorate.Known() {
		return nil, false
	}
	return r.acceptor.Electorate.Addresses(), r.acceptor.IsVoter()
}

// IsVoter tells whether this node is a voter.
func (r *Replica) IsVoter() bool {
	_, self := r.Voters()
	return self
}

// VotersForLease returns the voters as this node counts them for its majority lease: if it is listed with a disk
// that it has lost, it does not count itself.
func (r *Replica) VotersForLease() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.acceptor.Electorate.Known() {
		return nil
	}
	addrs := r.acceptor.Electorate.Addresses()
	if k := slices.Index(addrs, r.self); k >= 0 && !r.acceptor.IsVoter() {
		addrs[k] = ""
	}
	return addrs
}
