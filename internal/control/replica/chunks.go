package replica

import (
	"cmp"
	"iter"
	"slices"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/mutants"
)

const (
	// MinChunkBytes is the approximate size of a chunk on a slow link. It takes 0.3 s at 2 Mbit/s, so that a heartbeat
	// or a vote that is sent after it is not late.
	MinChunkBytes = 64 << 10
	// MaxChunkBytes is the approximate size of a chunk on a fast link. A single item may be longer.
	MaxChunkBytes = 256 << 10
	// MaxRecentChanges is the maximum number of chosen changes whose keys are kept, so that a node that is missing only
	// these gets them without a scan of the whole snapshot. The next change after that many drops the older half.
	MaxRecentChanges = 256

	historyEntryBytes = 20 // upper bound for the size of a version in an item's history, in a frame
)

// chosenChange contains the epoch of a chosen change, and the keys of its items.
type chosenChange struct {
	epoch uint64
	keys  []configuration.Key
}

func keysOf(items []configuration.Item) []configuration.Key {
	keys := make([]configuration.Key, len(items))
	for n, item := range items {
		keys[n] = item.Key
	}
	return keys
}

// PersistedInstances returns a page of the departing instances on this node's disk (see
// instances.Registry.PersistedAfter).
type PersistedInstances func(after string, maxBytes int) (page []registry.Instance, more bool)

// Chunk answers a node that is missing chosen changes with newer items, or a node whose disk is empty with a page of
// departing instances. The chunk has no items if this node's snapshot is not newer than the epoch of the request, or is
// older than the chunks that the requester has staged. Chunk returns nil until this node's disk has been read.
func (r *Replica) Chunk(request *transport.CatchUpRequest, persisted PersistedInstances) *transport.CatchUpChunk {
	r.mu.Lock()
	if r.disk == nil {
		r.mu.Unlock()
		return nil
	}
	chunk := &transport.CatchUpChunk{Epoch: r.acceptor.Epoch, Electorate: r.acceptor.Electorate}
	snapshot, recent := r.store.Snapshot(), r.recent
	r.mu.Unlock()
	maxBytes := min(request.MaxBytes, MaxChunkBytes)
	if maxBytes <= 0 {
		maxBytes = MinChunkBytes
	}
	if request.EmptyDisk {
		chunk.Instances, chunk.MoreInstances = persisted(request.AfterInstance, maxBytes)
		return chunk
	}
	if chunk.Epoch > request.Epoch && chunk.Epoch >= request.NewestEpoch {
		newer := itemsNewerThan(snapshot, recent, request.Epoch, request.FromPosition)
		chunk.Items, chunk.NextPosition = firstItems(newer, maxBytes)
	}
	return chunk
}

// itemsNewerThan iterates over the items that were chosen after an epoch, in the order of their positions, from a given
// position on. If the recent changes include all after the epoch, it looks up only their keys. Otherwise it scans the
// snapshot.
func itemsNewerThan(
	snapshot *configuration.Snapshot, recent []chosenChange, epoch, from uint64,
) iter.Seq2[uint64, configuration.Item] {
	if !coverChangesAfter(recent, epoch) {
		return func(yield func(uint64, configuration.Item) bool) {
			for position, item := range snapshot.ItemsFrom(from) {
				if item.Epoch > epoch && !yield(position, item) {
					return
				}
			}
		}
	}
	keys := keysNewerThan(recent, epoch, from)
	return func(yield func(uint64, configuration.Item) bool) {
		for _, k := range keys {
			if item, ok := snapshot.Get(k.key); ok && !yield(k.position, item) {
				return
			}
		}
	}
}

// coverChangesAfter reports whether the recent changes include all changes after an epoch.
func coverChangesAfter(recent []chosenChange, epoch uint64) bool {
	if len(recent) == 0 {
		return false
	}
	oldest := recent[0].epoch
	return oldest <= epoch+1 || mutants.On("replica/recent-off-by-one") && oldest == epoch+2
}

// positionedKey is a key with its position in the order of transfers.
type positionedKey struct {
	position uint64
	key      configuration.Key
}

// keysNewerThan returns the keys of the changes after an epoch, from a given position on. Each key occurs once, and
// they are sorted by position.
func keysNewerThan(recent []chosenChange, epoch, from uint64) []positionedKey {
	var keys []positionedKey
	for _, change := range recent {
		if change.epoch <= epoch {
			continue
		}
		for _, key := range change.keys {
			if position := key.Position(); position >= from {
				keys = append(keys, positionedKey{position, key})
			}
		}
	}
	slices.SortFunc(keys, func(a, b positionedKey) int {
		return cmp.Or(cmp.Compare(a.position, b.position), a.key.Compare(b.key))
	})
	return slices.Compact(keys)
}

// firstItems returns about maxBytes of items, and at least one if there are any. It never separates items that share a
// position. Next is the position to continue from; 0 means that no items are left.
func firstItems(all iter.Seq2[uint64, configuration.Item], maxBytes int) (items []configuration.Item, next uint64) {
	var last uint64
	for position, item := range all {
		maxBytes -= FrameBytes(item)
		if maxBytes < 0 && len(items) > 0 && position != last {
			return items, last + 1
		}
		items, last = append(items, item), position
	}
	return items, 0
}

// FrameBytes is an upper estimate of the size of an item in a frame.
func FrameBytes(item configuration.Item) int {
	bytes := item.Size()
	if item.History != nil {
		bytes += historyEntryBytes * len(*item.History)
	}
	return bytes
}

// ElectorateOf returns the electorate of a chunk's snapshot. Older versions of the program send only the addresses of
// the voters.
func ElectorateOf(chunk *transport.CatchUpChunk) consensus.Electorate {
	if !chunk.Electorate.Known() {
		return consensus.InitialElectorate(chunk.Voters)
	}
	return chunk.Electorate
}
