package replica

import (
	"time"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/storage"
	"mulleinrouter/internal/mutants"
)

// A node that is missing chosen changes gets them from any other control node, in chunks. An item has the epoch of the
// change that last set it or extended its history. The snapshot of epoch E is therefore that of epoch B, with the items
// of E that are newer than B added or replaced. The source keeps no state of a transfer. It reads each chunk, from a
// given position on, from the snapshot that it has at that moment. The chunks of a pass may therefore come from
// snapshots of several epochs, from FirstEpoch to LastEpoch; the epoch never decreases from one chunk to the next.
// Staged chunks are not visible to readers. After a pass, all changes up to FirstEpoch are applied or staged, and the
// next pass requests only newer changes. If all chunks of a pass come from snapshots of the same epoch, they complete
// that snapshot, which is then applied at once. It therefore makes no difference which node sends the next chunk, and a
// transfer continues at its position after a lost connection, with another source, and after a restart.

// staging holds the chunks of an incomplete transfer. Replica.mu guards it.
type staging struct {
	storage.StageProgress
	items    map[configuration.Key]configuration.Item
	onDisk   bool      // whether part of it is on disk
	lastUsed time.Time // arrival of the last useful chunk
}

// restore sets the state that was read from the disk, unless the node's snapshot is at least as new.
func (s *staging) restore(from storage.State) {
	s.onDisk = from.Stage != nil
	if !s.onDisk || from.Stage.LastEpoch <= from.Acceptor.Epoch || mutants.On("replica/begins-anew") {
		return
	}
	s.StageProgress = *from.Stage
	s.items = map[configuration.Key]configuration.Item{}
	for _, item := range from.StagedItems {
		s.items[item.Key] = item
	}
}

// finish discards the staged items if the snapshot of an epoch is at least as new. It reports whether part of them is
// on disk.
func (s *staging) finish(epoch uint64) (saved bool) {
	if s.LastEpoch > epoch {
		return false
	}
	saved = s.onDisk
	*s = staging{lastUsed: s.lastUsed}
	return saved
}

// add stages a chunk, and reports whether it completes the snapshot of the chunk's epoch. Items that were chosen later
// replace those that were chosen earlier.
func (s *staging) add(chunk *transport.CatchUpChunk) (complete bool) {
	if s.items == nil {
		s.items = map[configuration.Key]configuration.Item{}
	}
	for _, item := range chunk.Items {
		// Items of the same version may have different histories. The item of the newer epoch has the later history.
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

// follows reports whether a chunk continues the transfer. Its snapshot must not be older than those of the chunks
// before it, and its request must have asked for all items from NextPosition on that are newer than BaseEpoch. Unless
// it is the last chunk of the pass, its next position must be higher.
func (s *staging) follows(request *transport.CatchUpRequest, chunk *transport.CatchUpChunk) bool {
	if chunk.Epoch < s.LastEpoch && !mutants.On("replica/older-source") {
		return false
	}
	if request.FromPosition != s.NextPosition || request.Epoch > s.BaseEpoch {
		return false
	}
	return chunk.NextPosition == 0 || chunk.NextPosition > request.FromPosition
}

// NextCatchUpRequest returns the request for the next chunk.
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

// StageChunk stages the answer to a request, and applies the snapshot if it is complete. It returns the epoch of this
// node's snapshot, and whether the chunk was used. A chunk that is late, repeated, or from an older snapshot than the
// chunks before it is ignored.
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
	single := s.LastEpoch == 0 && chunk.NextPosition == 0 // the only chunk, which need not be staged on disk
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

// persistStage queues a staged chunk for the disk. No sync is needed, because lost chunks are requested again. r.mu is
// held.
func (r *Replica) persistStage(chunk *transport.CatchUpChunk) {
	stage := r.staging.StageProgress
	r.staging.onDisk = true
	batch := storage.Batch{Stage: &stage, StagedItems: chunk.Items, NoSync: true}
	if mutants.On("replica/position-without-items") {
		batch.StagedItems = nil
	}
	r.disk.Put(batch)
}

// Transferring reports whether a transfer is in progress.
func (r *Replica) Transferring() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.staging.LastEpoch != 0
}

// LastChunkAt is the time at which the last useful chunk arrived; zero means none yet.
func (r *Replica) LastChunkAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.staging.lastUsed
}
