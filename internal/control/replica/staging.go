package replica

import (
	"time"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/storage"
	"mulleinrouter/internal/mutants"
)

// A node that lacks chosen changes gets them from any other control node, in chunks. An item carries the epoch
// in which it was chosen, so the snapshot of epoch E is that of epoch B with those items of E that are newer
// than B. The source keeps no state of a transfer: each chunk is read from the snapshot that it has at that
// moment, from one position on. The chunks of one pass may thus come from snapshots of several epochs, from
// First to Top, never decreasing; they are staged, and not visible. After a pass, everything up to FirstEpoch is
// applied or staged, and the next pass asks only for what is newer than that. A pass whose chunks all come from
// the snapshot of one epoch completes that snapshot, which is then applied at once. So it makes no difference
// which node sends the next chunk, and a transfer continues where it was after a lost connection, with another
// source, and after a restart.

// staging is the chunks of a transfer that is not complete. Replica.mu guards it.
type staging struct {
	storage.StageProgress
	items    map[configuration.Key]configuration.Item
	saved    bool      // part of it is on disk
	lastUsed time.Time // when the last useful chunk arrived
}

// restore takes over what was on disk.
func (s *staging) restore(from storage.State) {
	s.saved = from.Stage != nil
	if !s.saved || from.Stage.LastEpoch <= from.Acceptor.Epoch || mutants.On("replica/begins-anew") {
		return
	}
	s.StageProgress = *from.Stage
	s.items = map[configuration.Key]configuration.Item{}
	for _, item := range from.StagedItems {
		s.items[item.Key] = item
	}
}

// finish discards what is staged if the snapshot of an epoch is as new. It tells whether part of it is on disk.
func (s *staging) finish(epoch uint64) (saved bool) {
	if s.LastEpoch > epoch {
		return false
	}
	saved = s.saved
	*s = staging{lastUsed: s.lastUsed}
	return saved
}

// add stages a chunk, and tells whether it completes the snapshot of the chunk's epoch. Items that were chosen
// later replace those that were chosen earlier.
func (s *staging) add(chunk *transport.CatchUpChunk) (complete bool) {
	if s.items == nil {
		s.items = map[configuration.Key]configuration.Item{}
	}
	for _, item := range chunk.Items {
		// Items of one version may differ in their histories: the newer epoch has the longer one.
		if old, ok := s.items[item.Key]; !ok || item.Epoch > old.Epoch {
			s.items[item.Key] = item
		}
	}
	if s.NextPosition == 0 {
		s.FirstEpoch = chunk.Epoch
	}
	s.LastEpoch, s.NextPosition = chunk.Epoch, chunk.NextPosition
	if s.NextPosition != 0 {
		return false
	}
	s.BaseEpoch = s.FirstEpoch
	return s.FirstEpoch == s.LastEpoch || mutants.On("replica/mixes-epochs")
}

// follows tells whether a chunk continues the transfer: it answers the newest request, and comes from a snapshot
// that is not older than those of the chunks before it.
func (s *staging) follows(request *transport.CatchUpRequest, chunk *transport.CatchUpChunk) bool {
	if chunk.Epoch < s.LastEpoch && !mutants.On("replica/older-source") {
		return false
	}
	if request.FromPosition != s.NextPosition || request.Epoch > s.BaseEpoch {
		return false
	}
	return chunk.NextPosition == 0 || chunk.NextPosition > request.FromPosition
}

// NextCatchUpRequest is the request for the next chunk.
func (r *Replica) NextCatchUpRequest() *transport.CatchUpRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staging.BaseEpoch = max(r.staging.BaseEpoch, r.acceptor.Epoch)
	return &transport.CatchUpRequest{
		Epoch:        r.staging.BaseEpoch,
		FromPosition: r.staging.NextPosition,
		NewestEpoch:  r.staging.LastEpoch,
	}
}

// StageChunk stages the answer to a request, and applies the snapshot if it is complete. It returns the epoch of
// the snapshot here, and whether the chunk was of use: one that comes late, twice, or from an older snapshot
// than the chunks before it is not.
func (r *Replica) StageChunk(
	request *transport.CatchUpRequest, chunk *transport.CatchUpChunk,
) (epoch uint64, used bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	electorate := ElectorateOf(chunk)
	s := &r.staging
	s.BaseEpoch = max(s.BaseEpoch, r.acceptor.Epoch)
	valid := validElectorate(electorate) && allKeysValid(chunk.Items)
	if !valid || r.disk == nil || chunk.Epoch <= r.acceptor.Epoch || !s.follows(request, chunk) {
		return r.acceptor.Epoch, false
	}
	s.lastUsed = time.Now()
	single := s.LastEpoch == 0 && chunk.NextPosition == 0 // one chunk is all: nothing need be staged on disk
	if complete := s.add(chunk); complete || mutants.On("replica/epoch-before-items") {
		items := make([]configuration.Item, 0, len(s.items))
		for _, item := range s.items {
			items = append(items, item)
		}
		r.apply(consensus.Base{Epoch: chunk.Epoch, Electorate: electorate}, items)
	} else if !single {
		r.persistStage(chunk)
	}
	return r.acceptor.Epoch, true
}

// persistStage queues a staged chunk for the disk, without a sync: what is lost of it is requested again. r.mu is held.
func (r *Replica) persistStage(chunk *transport.CatchUpChunk) {
	stage := r.staging.StageProgress
	r.staging.saved = true
	batch := storage.Batch{Stage: &stage, StagedItems: chunk.Items, NoSync: true}
	if mutants.On("replica/position-without-items") {
		batch.StagedItems = nil
	}
	r.disk.Put(batch)
}

// Transferring tells whether a transfer has begun and is not complete.
func (r *Replica) Transferring() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.staging.LastEpoch != 0
}

// LastChunkAt is when the last useful chunk arrived; zero: none did.
func (r *Replica) LastChunkAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.staging.lastUsed
}
