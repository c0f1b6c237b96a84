package shards

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/control/storage"
)

// host is one shard on this node.
type host struct {
	service *Service
	number  uint32
	disk    *storage.Store
	wake    chan struct{} // capacity 1; signals that there are saves to report

	mu             sync.Mutex // guards the fields below
	replica        *shard.Replica
	tables         *coordination.Tables // nil unless this node is the leaseholder of an established term
	term           uint64               // term of the tables
	tablesLoadedAt float64              // time by Service.now, seconds
	commit         uint64               // number of the last committed batch of the term
	waiters        waiters
	pending        []pendingSave // in the order of their numbers
	leader         string        // leaseholder that was logged last
	leaderHint     string        // leaseholder according to another node; used only if the replica knows none
	termsLed       int           // number of terms in which this node was the leaseholder
}

// pendingSave is a save that the replica does not know to be on disk yet.
type pendingSave struct {
	number uint64
	future *storage.Future
}

func newHost(s *Service, number uint32, disk *storage.Store, state shard.State, self consensus.Voter) *host {
	h := &host{service: s, number: number, disk: disk, wake: make(chan struct{}, 1)}
	h.waiters.changed = make(chan struct{})
	h.replica = shard.New(shard.Options{
		Shard: number, Self: self, Seed: s.options.Incarnation, State: state, Now: s.now(),
	})
	return h
}

// bootstrap creates the shard with its first voters, unless the disk has it.
func (h *host) bootstrap(voters []consensus.Voter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replica.Bootstrap(voters)
	h.processOutput(h.service.now())
}

// step processes a message of another replica.
func (h *host) step(m shard.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.service.now()
	h.replica.Step(m, now)
	h.processOutput(now)
}

// tick reports the time to the replica. The leaseholder also changes the voters towards the target, deletes
// unneeded records, and transfers the lease if another voter is preferred. It transfers none while the voters are to
// change: a transfer to a voter that has just failed would delay the change.
func (h *host) tick(round int, target []consensus.Voter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.service.now()
	h.replica.Tick(now)
	h.replica.Reconcile(target, now)
	if h.tables != nil && round%upkeepIntervalTicks == 0 {
		h.upkeep(now)
	}
	mayRebalance := now > h.tablesLoadedAt+minTermAgeSeconds && h.replica.HasVoters(target)
	if round%rebalanceIntervalTicks == 0 && mayRebalance {
		if preferred, ok := h.replica.Preferred(); ok {
			h.replica.TransferTo(preferred.Addr, now)
		}
	}
	h.processOutput(now)
}

// upkeep deletes unneeded records. If the deletions can't be proposed now, they are lost together with the tables, and
// the next leaseholder finds the records again.
func (h *host) upkeep(now float64) {
	if !h.replica.HoldsLease(now) {
		return
	}
	if writes := h.tables.Upkeep(now, h.commit); len(writes) > 0 {
		h.replica.Propose(writes, now)
	}
}

// isVoter reports whether this node is a voter of the shard, as far as it knows.
func (h *host) isVoter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.IsVoter()
}

// transferToAnyVoter transfers the lease to any voter that has all batches.
func (h *host) transferToAnyVoter() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.service.now()
	for _, voter := range h.replica.Voters() {
		h.replica.TransferTo(voter.Addr, now)
	}
	h.processOutput(now)
}

// processOutput processes the saves and messages that the replica returns, and answers the calls whose batches are
// committed. h.mu is held, and nothing here blocks.
func (h *host) processOutput(now float64) {
	out := h.replica.Take()
	for _, save := range out.Saves {
		future := h.disk.Put(storage.Batch{Shard: &storage.ShardSave{Shard: h.number, Save: save}})
		h.pending = append(h.pending, pendingSave{save.Number, future})
	}
	if len(out.Saves) > 0 {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
	for _, m := range out.Messages {
		h.service.outbox(m.To).addMessage(m)
	}
	h.updateTerm(now)
	h.logLeader()
}

// updateTerm loads the tables at the start of an established term, drops them at its end, and answers the calls whose
// batches are committed. h.mu is held.
func (h *host) updateTerm(now float64) {
	term, commit := h.replica.Committed()
	if h.tables != nil && term != h.term {
		h.tables = nil
		h.waiters.endTerm()
	}
	if term == 0 {
		return
	}
	if h.tables == nil && h.replica.HoldsLease(now) {
		h.load(term, now)
	}
	if h.tables != nil && commit > h.commit {
		h.commit = commit
		h.waiters.commit(commit)
	}
}

// load loads the tables. If a record can't be read, this node answers no calls of the shard although it holds the
// lease, and updateTerm tries again.
func (h *host) load(term uint64, now float64) {
	tables, err := coordination.Load(h.replica.Records(), term, now, h.service.options.History)
	if err != nil {
		level.Error(h.service.log).Log("msg", "records of a shard can't be read", "shard", h.number, "err", err)
		return
	}
	h.tables, h.term, h.tablesLoadedAt, h.commit = tables, term, now, 0
	h.termsLed++
	stats := tables.Stats()
	level.Info(h.service.log).Log("msg", "lease acquired", "shard", h.number, "term", term,
		"locks", stats.Locks, "cells", stats.Cells, "events", stats.Events)
}

// logLeader updates the known leaseholder, and logs if this node has lost the lease to another one.
func (h *host) logLeader() {
	leader := h.replica.Leader()
	if leader == "" || leader == h.leader {
		return
	}
	if h.leader == h.service.options.Self {
		level.Info(h.service.log).Log("msg", "lease lost", "shard", h.number, "to", leader)
	}
	h.leader = leader
}

// reportSaves reports saves to the replica once they are synced, until the service ends.
func (h *host) reportSaves() {
	for {
		save, ok := h.nextSave()
		if !ok {
			return
		}
		if err := save.future.Wait(h.service.ctx); err != nil {
			if h.service.ctx.Err() == nil && !errors.Is(err, storage.ErrClosed) {
				level.Error(h.service.log).Log("msg", "shard not saved", "shard", h.number, "err", err)
			}
			return // the replica confirms no further batches
		}
		h.reportSaved(save)
	}
}

// nextSave waits for the oldest save that is not reported; ok is false if the service ends.
func (h *host) nextSave() (save pendingSave, ok bool) {
	for {
		h.mu.Lock()
		if len(h.pending) > 0 {
			save = h.pending[0]
			h.mu.Unlock()
			return save, true
		}
		h.mu.Unlock()
		select {
		case <-h.wake:
		case <-h.service.ctx.Done():
			return pendingSave{}, false
		}
	}
}

// reportSaved reports a save, and all that were synced together with it.
func (h *host) reportSaved(save pendingSave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for count < len(h.pending) && h.pending[count].future == save.future {
		save.number = h.pending[count].number
		count++
	}
	h.pending = slices.Delete(h.pending, 0, count)
	now := h.service.now()
	h.replica.Saved(save.number, now)
	h.processOutput(now)
}
