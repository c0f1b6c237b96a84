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
	// SyncTimeout limits how long an answer waits for the disk. If a sync takes longer, the node does not answer,
	// because a majority of the voters can decide without it.
	SyncTimeout = 500 * time.Millisecond
	// MaxControlNodes is the maximum number of control nodes of a system, and so of voters. An electorate with more
	// voters that another process sent is rejected.
	MaxControlNodes = 40

	timeoutPerMegabyte = 400 * time.Millisecond // time allowed for the transfer of 1 MiB of items
)

// Options are the settings and dependencies of a replica.
type Options struct {
	Self              string                      // own control address
	Store             *replication.Store          // holds the items; only the replica changes them
	IsOwnBallot       func(consensus.Ballot) bool // reports whether a ballot is of this process; nil means that none is
	NewDiskID         func() uint64               // id of a new disk; not called if Load gets a bootstrap electorate
	ElectorateChanged func()                      // called with the replica's mutex held; must not block; may be nil
}

// Replica is this node's replica of the configuration and, if it is a voter, its vote. Items are merged into the store
// only while the mutex is held, so that the store's snapshot is always that of the acceptor's epoch. A Replica is safe
// for concurrent use.
type Replica struct {
	self              string
	store             *replication.Store
	isOwnBallot       func(consensus.Ballot) bool
	newDiskID         func() uint64
	electorateChanged func()

	mu           sync.Mutex     // guards the fields below
	disk         *storage.Store // nil until the disk has been read
	acceptor     consensus.Acceptor
	lastSave     *storage.Future // last save that answers must wait for; nil if none
	pendingAt    time.Time       // time of the last promise or acceptance, of LearnElectorate or of Load
	foreignRound chan struct{}   // closed when the next chosen change is applied; nil if no foreign round is known
	recent       []chosenChange  // the last changes up to acceptor.Epoch, without a gap
	staging      staging
}

// New makes a replica. It answers no requests before Load.
func New(o Options) *Replica {
	return &Replica{
		self:              o.Self,
		store:             o.Store,
		isOwnBallot:       o.IsOwnBallot,
		newDiskID:         o.NewDiskID,
		electorateChanged: o.ElectorateChanged,
	}
}

// Load sets the state that was read from the disk. If the disk is empty, bootstrap is the first electorate of a new
// system. If bootstrap is nil too, this is a new disk in a running system, and the node must be added to the
// electorate.
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
		r.acceptor.Disk = r.newDiskID()
		r.persistAcceptor()
	}
}

// persistAcceptor queues the acceptor for the disk. r.mu is held.
func (r *Replica) persistAcceptor() {
	r.pendingAt = time.Now()
	r.lastSave = r.disk.Put(storage.Batch{Acceptor: &r.acceptor})
}

// canVote reports whether the electorate is known and the disk has been read and does not stall. r.mu is held.
func (r *Replica) canVote() bool {
	return r.disk != nil && !r.disk.Stalled(SyncTimeout) && r.acceptor.Electorate.Known()
}

// AwaitSync waits until a save is on disk, for at most SyncTimeout plus extra, and reports whether it is. A nil save
// counts as synced.
func AwaitSync(save *storage.Future, extra time.Duration) bool {
	if save == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), SyncTimeout+extra)
	defer cancel()
	return save.Wait(ctx) == nil
}

// TransferAllowance is the additional time that the transfer of items takes because of their size.
func TransferAllowance(items []configuration.Item) time.Duration {
	bytes := 0
	for _, item := range items {
		bytes += item.Size()
	}
	return timeoutPerMegabyte * time.Duration(bytes>>10) >> 10
}

// observeForeignRound records that a round of another node is in progress, unless the ballot is of this process. r.mu
// is held.
func (r *Replica) observeForeignRound(ballot consensus.Ballot) {
	if r.isOwnBallot != nil && r.isOwnBallot(ballot) {
		return
	}
	if r.foreignRound == nil {
		r.foreignRound = make(chan struct{})
	}
}

// ForeignRoundDone returns a channel that is closed when the next chosen change is applied here, which normally is the
// change that another node is proposing. It returns nil if no round of another node is known.
func (r *Replica) ForeignRoundDone() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.foreignRound
}

// Prepare answers a prepare request or a read, or returns nil to send no answer. A node that is not a voter answers
// too, because the proposer counts only the answers of voters.
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
	if promise.OK && !AwaitSync(save, 0) {
		return nil
	}
	return &promise
}

// read answers a read. If sync is set, it answers only after the acceptor's present state is on disk.
func (r *Replica) read(sync bool) *consensus.Promise {
	r.mu.Lock()
	known, promise := r.acceptor.Electorate.Known(), r.acceptor.Read()
	var save *storage.Future
	if known && sync {
		save = r.disk.Put(storage.Batch{Acceptor: &r.acceptor})
	}
	r.mu.Unlock()
	if !known || !AwaitSync(save, 0) {
		return nil
	}
	return &promise
}

// Accept answers a proposal, or returns nil to send no answer. If this node does not have the snapshot before the
// proposal, it calls fetch once to get it from the proposer. fetch may be nil.
func (r *Replica) Accept(proposal consensus.Proposal, fetch func()) *consensus.Accepted {
	if !allKeysValid(proposal.Items) {
		return nil
	}
	accepted, save := r.tryAccept(proposal)
	if accepted != nil && accepted.Behind && fetch != nil {
		fetch()
		accepted, save = r.tryAccept(proposal)
	}
	if accepted == nil || accepted.OK && !AwaitSync(save, TransferAllowance(proposal.Items)) {
		return nil
	}
	return accepted
}

// tryAccept returns the acceptor's answer to a proposal, and the save to wait for before the answer is sent.
func (r *Replica) tryAccept(proposal consensus.Proposal) (*consensus.Accepted, *storage.Future) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.canVote() {
		return nil, nil
	}
	// If a proposer continues under the same ballot, its preceding change has been chosen, although the message that
	// says so may not have arrived yet.
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

// Choose applies a chosen change, and returns the resulting base. It has no effect unless this node's snapshot is the
// one before the change.
func (r *Replica) Choose(proposal consensus.Proposal) consensus.Base {
	r.mu.Lock()
	defer r.mu.Unlock()
	if proposal.Epoch == r.acceptor.Epoch+1 {
		r.apply(r.acceptor.Base().With(proposal), proposal.Items)
	}
	return r.acceptor.Base()
}

// Learn applies the pending change if it has the ballot and the epoch of a change that another node reports as chosen.
// It reports whether this node's snapshot has reached the epoch.
func (r *Replica) Learn(ballot consensus.Ballot, epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.acceptor.Pending; p != nil && (p.Ballot == ballot || mutants.On("replica/learns-any")) &&
		p.Epoch == epoch {
		r.apply(r.acceptor.Base().With(*p), p.Items)
	}
	return r.acceptor.Epoch >= epoch
}

// apply adds one change, or several at once, to the snapshot, and discards what is staged for older snapshots. Later
// answers wait for the sync of a change of the electorate (lastSave), because a majority of the old electorate has the
// change, but possibly no other voter of the new one. r.mu is held.
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
	r.recordChange(changes, chosenChange{epoch: base.Epoch, keys: keysOf(merged)})
}

// recordChange appends to the recent changes. If the change joins several epochs, the earlier changes are dropped,
// because the list must not have gaps. r.mu is held.
func (r *Replica) recordChange(joined uint64, change chosenChange) {
	if joined > 1 {
		r.recent = nil
	}
	if len(r.recent) == MaxRecentChanges {
		r.recent = slices.Clone(r.recent[MaxRecentChanges/2:]) // readers may still use the old array
	}
	r.recent = append(r.recent, change)
}

func (r *Replica) notifyElectorateChanged() {
	if r.electorateChanged != nil {
		r.electorateChanged()
	}
}

// LearnElectorate adopts the electorate of another node's snapshot if none is known here and this node has the same
// snapshot. The electorate of any other snapshot arrives with its chunks.
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

// validElectorate reports whether an electorate that another process sent is possible.
func validElectorate(e consensus.Electorate) bool {
	return e.Known() && len(e.Voters) <= MaxControlNodes
}

// allKeysValid reports whether the keys of items that another process sent are valid.
func allKeysValid(items []configuration.Item) bool {
	return !slices.ContainsFunc(items, func(item configuration.Item) bool {
		return !item.Key.Valid()
	})
}

// Snapshot returns this node's configuration with its epoch.
func (r *Replica) Snapshot() (epoch uint64, snapshot *configuration.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptor.Epoch, r.store.Snapshot()
}

// Epoch is the epoch of this node's snapshot.
func (r *Replica) Epoch() uint64 {
	epoch, _ := r.Snapshot()
	return epoch
}

// Pending returns the highest promised ballot, and the epoch of the change that is accepted here and not known to be
// chosen; 0 means none.
func (r *Replica) Pending() (promised consensus.Ballot, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acceptor.Pending != nil {
		epoch = r.acceptor.Pending.Epoch
	}
	return r.acceptor.Promised, epoch
}

// PendingFor returns the time since the last promise or acceptance here if a change is accepted here and not known to
// be chosen. A new promise, which shows that a proposer is active, restarts the time. PendingFor returns 0 if there is
// no such change or this node is not a voter.
func (r *Replica) PendingFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acceptor.Pending == nil || !r.acceptor.IsVoter() {
		return 0
	}
	return now.Sub(r.pendingAt)
}

// Base returns this node's snapshot, with its epoch and the electorate that decides on the next change.
func (r *Replica) Base() (consensus.Base, *configuration.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptor.Base(), r.store.Snapshot()
}

// AsVoter returns this node as a voter with its disk.
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

// IsVoter reports whether this node is a voter.
func (r *Replica) IsVoter() bool {
	_, self := r.Voters()
	return self
}

// VotersForLease returns the voters that this node counts for its majority lease. If it is listed with a disk that it
// has lost, its own entry is empty, so that it does not count itself.
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
