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
	wake    chan struct{} // has room for one: there are saves to report

	mu       sync.Mutex // guards the fields below
	replica  *shard.Replica
	tables   *coordination.Tables // while this node is the leaseholder of a term that is established; else nil
	term     uint64               // of the tables
	since    float64              // when the tables were loaded
	commit   uint64
	waiters  waiters
	pending  []pendingSave
	leader   string // as logged last
	hint     string // leaseholder as another node named it; the replica's own knowledge goes before it
	takeover int    // terms led here
}

// pendingSave is a save that is on its way to the disk.
type pendingSave struct {
	number uint64
	future *storage.Future
}

func newHost(s *Service, number uint32, disk *storage.Store, state shard.State, self consensus.Voter) *host {
	h := &host{service: s, number: number, disk: disk, wake: make(chan struct{}, 1)}
	h.waiters.changed = make(chan struct{})
	h.replica = shard.New(shard.Options{Shard: number, Self: self, Seed: s.options.Seed, State: state, Now: s.now()})
	return h
}

// found begins the shard with its first voters, unless the disk has it.
func (h *host) found(voters []consensus.Voter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replica.Bootstrap(voters)
	h.carryOut(h.service.now())
}

// step takes a message of another replica.
func (h *host) step(m shard.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.service.now()
	h.replica.Step(m, now)
	h.carryOut(now)
}

// tick reports the time to the replica, and does at the leaseholder what is due.
func (h *host) tick(round int, target []consensus.Voter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.service.now()
	h.replica.Tick(now)
	h.replica.Reconcile(target, now)
	if h.tables != nil && round%upkeepInterval == 0 {
		h.upkeep(now)
	}
	if round%rebalanceInterval == 0 && now > h.since+minTermAge {
		if preferred, ok := h.replica.Preferred(); ok {
			h.replica.TransferTo(preferred.Addr, now)
		}
	}
	h.carryOut(now)
}

// upkeep deletes what is not needed any more. Writes that can't be proposed now are dropped with the tables: whoever
// leads next finds the records again.
func (h *host) upkeep(now float64) {
	if !h.replica.HoldsLease(now) {
		return
	}
	if writes := h.tables.Upkeep(now, h.commit); len(writes) > 0 {
		h.replica.Propose(writes, now)
	}
}

// handOver hands the leadership to any voter that has everything.
func (h *host) handOver() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.service.now()
	for _, voter := range h.replica.Voters() {
		h.replica.TransferTo(voter.Addr, now)
	}
	h.carryOut(now)
}

// carryOut does what the replica asks for, and answers the calls whose batches are committed. h.mu is held; nothing
// here waits.
func (h *host) carryOut(now float64) {
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

// updateTerm loads the tables at the start of an established term, drops them at its end, and notes what is committed.
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

func (h *host) load(term uint64, now float64) {
	tables, err := coordination.Load(h.replica.Records(), now, h.service.options.History)
	if err != nil {
		level.Error(h.service.log).Log("msg", "records of a shard can't be read", "shard", h.number, "err", err)
		return
	}
	h.tables, h.term, h.since, h.commit = tables, term, now, 0
	h.takeover++
	stats := tables.Stats()
	level.Info(h.service.log).Log("msg", "lease acquired", "shard", h.number, "term", term,
		"locks", stats.Locks, "cells", stats.Cells, "events", stats.Events)
}

// logLeader logs another leaseholder once it is known.
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
			return // the replica counts for nothing any more
		}
		h.reportSaved(save)
	}
}

// nextSave waits for a save.
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

// reportSaved reports a save, and those that were synced with it.
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
	h.carryOut(now)
}
