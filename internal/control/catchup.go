package control

import (
	"cmp"
	"context"
	"iter"
	"slices"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/instances"
	"mulleinrouter/internal/control/mutant"
	"mulleinrouter/internal/control/storage"
)

// Who lacks what was chosen gets it from any other control node, in pieces. An item bears the epoch it was chosen with, so that the snapshot
// of E is that of B with those items of E that are newer than B. The source keeps nothing for a transfer: each piece is read from
// the snapshot that it has at that moment, from one position on. Pieces of one pass may thus come from snapshots of several epochs, first
// to top, never falling; they are staged, and nobody sees them. Once a pass is through, all up to first is here or staged, and the next
// pass asks only for what is newer than that. A pass whose pieces all came from the snapshot of one epoch completes that snapshot,
// which is then taken in at once. So it is the same whichever node sends the next piece, and a transfer goes on where it was
// after a lost connection, with another source, and after a restart.

const (
	minChunkBytes     = 64 << 10  // bytes of a piece, about: 0.3 s on a link of 2 Mbit/s, so that a heartbeat or a vote behind it is not late
	maxChunkBytes     = 256 << 10 // where they come fast; one item may be longer
	fastChunk         = 100 * time.Millisecond
	slowChunk         = 400 * time.Millisecond
	fetchTimeout      = 5 * time.Second // for one piece
	fetchStall        = time.Second     // without a piece for so long, another source is tried beside
	fetchPollInterval = 50 * time.Millisecond
	maxFetchWaiters   = 4           // calls of one node that wait for a fetch from it
	maxLag            = time.Second // that a snapshot may be newer elsewhere before nobody is to start with the one here
	historyEntryBytes = 20          // what each version counts in an item's past
)

// chosenChange is a change with the epoch it made.
type chosenChange struct {
	epoch uint64
	keys  []configuration.Key
}

func keysOf(items []configuration.Item) []configuration.Key {
	keys := make([]configuration.Key, len(items))
	for n, i := range items {
		keys[n] = i.Key
	}
	return keys
}

// staging is what has come of a transfer. The voter's lock is held.
type staging struct {
	storage.Stage
	items map[configuration.Key]configuration.Item
	saved bool      // there is something of it on disk
	moved time.Time // when the last piece came
}

// load takes what was on disk.
func (s *staging) load(from storage.State) {
	if s.saved = from.Stage != nil; !s.saved || from.Stage.Top <= from.Acceptor.Epoch || mutant.Active("begins-anew") {
		return
	}
	s.Stage, s.items = *from.Stage, map[configuration.Key]configuration.Item{}
	for _, i := range from.Staged {
		s.items[i.Key] = i
	}
}

// finish drops what is staged once a snapshot as new is here. It tells whether there is anything of it on disk.
func (s *staging) finish(epoch uint64) (saved bool) {
	if s.Top > epoch {
		return false
	}
	saved = s.saved
	*s = staging{moved: s.moved}
	return saved
}

// add stages a piece, and tells whether the pass is through with a snapshot: that of NewestEpoch. What was chosen later takes the place of what was chosen earlier.
func (s *staging) add(i *transport.CatchUpChunk) (whole bool) {
	if s.items == nil {
		s.items = map[configuration.Key]configuration.Item{}
	}
	for _, it := range i.Items {
		if old, ok := s.items[it.Key]; !ok || it.Epoch > old.Epoch { // an item of one version may have grown in what it overtook
			s.items[it.Key] = it
		}
	}
	if s.From == 0 {
		s.First = i.Epoch
	}
	s.Top, s.From = i.Epoch, i.NextPosition
	if s.From != 0 {
		return false
	}
	s.Base = s.First
	return s.First == s.Top || mutant.Active("mixes-epochs")
}

// nextCatchUpRequest is the question for the next piece.
func (v *replica) nextCatchUpRequest() *transport.CatchUpRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.staging.Base = max(v.staging.Base, v.acceptor.Epoch)
	return &transport.CatchUpRequest{Epoch: v.staging.Base, FromPosition: v.staging.From, NewestEpoch: v.staging.Top}
}

// stageChunk takes the answer to a question. It tells how far the snapshot here is then, and whether the answer was of any use: one to a question
// that has been answered meanwhile is not, nor one from a snapshot that is older than what came before.
func (v *replica) stageChunk(q *transport.CatchUpRequest, i *transport.CatchUpChunk) (epoch uint64, moved bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := electorateOf(i)
	s := &v.staging
	s.Base = max(s.Base, v.acceptor.Epoch)
	if !e.Known() || len(e.Voters) > maxPeers || v.storage == nil || i.Epoch <= v.acceptor.Epoch || i.Epoch < s.Top && !mutant.Active("older-source") || q.FromPosition != s.From || q.Epoch > s.Base || i.NextPosition != 0 && i.NextPosition <= q.FromPosition || !allKeysValid(i.Items) {
		return v.acceptor.Epoch, false
	}
	s.moved = time.Now()
	direct := s.Top == 0 && i.NextPosition == 0
	if whole := s.add(i); whole || mutant.Active("epoch-before-items") {
		items := make([]configuration.Item, 0, len(s.items))
		for _, it := range s.items {
			items = append(items, it)
		}
		v.apply(consensus.Base{Epoch: i.Epoch, Electorate: e}, items)
	} else if !direct {
		stage := s.Stage
		s.saved = true
		b := storage.Batch{Stage: &stage, Staged: i.Items, NoSync: true} // what is lost of it comes again
		if mutant.Active("position-without-items") {
			b.Staged = nil
		}
		v.storage.Put(b)
	}
	return v.acceptor.Epoch, true
}

// catchUpChunk answers who lacks what was chosen behind an epoch; nil: nothing is known here yet. Kept is the instances kept on disk.
func (v *replica) catchUpChunk(q *transport.CatchUpRequest, kept func(behind string, most int) ([]registry.Instance, bool)) *transport.CatchUpChunk {
	v.mu.Lock()
	if v.storage == nil {
		v.mu.Unlock()
		return nil
	}
	i := &transport.CatchUpChunk{Epoch: v.acceptor.Epoch, Electorate: v.acceptor.Electorate}
	book, recent := v.store.Snapshot(), v.recent
	v.mu.Unlock()
	most := min(q.MaxBytes, maxChunkBytes)
	if most <= 0 {
		most = minChunkBytes
	}
	if q.EmptyDisk {
		i.Instances, i.MoreInstances = kept(q.AfterInstance, most)
		return i
	}
	if i.Epoch > q.Epoch && i.Epoch >= q.NewestEpoch {
		i.Items, i.NextPosition = firstItems(itemsNewerThan(book, recent, q.Epoch, q.FromPosition), most)
	}
	return i
}

// itemsNewerThan is the items that were chosen behind an epoch, from a position on, in order of their positions. Recent spares it the way through
// the whole snapshot.
func itemsNewerThan(book *configuration.Snapshot, recent []chosenChange, epoch, from uint64) iter.Seq2[uint64, configuration.Item] {
	if len(recent) == 0 || recent[0].epoch > epoch+1 && !(mutant.Active("recent-off-by-one") && recent[0].epoch == epoch+2) {
		return func(yield func(uint64, configuration.Item) bool) {
			for at, i := range book.From(from) {
				if i.Epoch > epoch && !yield(at, i) {
					return
				}
			}
		}
	}
	type placed struct {
		at  uint64
		key configuration.Key
	}
	var keys []placed
	for _, c := range recent {
		if c.epoch <= epoch {
			continue
		}
		for _, k := range c.keys {
			if at := k.Position(); at >= from {
				keys = append(keys, placed{at, k})
			}
		}
	}
	slices.SortFunc(keys, func(a, b placed) int { return cmp.Or(cmp.Compare(a.at, b.at), a.key.Compare(b.key)) })
	keys = slices.Compact(keys)
	return func(yield func(uint64, configuration.Item) bool) {
		for _, k := range keys {
			if i, ok := book.Get(k.key); ok && !yield(k.at, i) {
				return
			}
		}
	}
}

// firstItems is the first of the items: no more than so many bytes, about, but one at least, and none of two that share a position. Next
// is the position to go on from; 0: these are all.
func firstItems(all iter.Seq2[uint64, configuration.Item], most int) (items []configuration.Item, next uint64) {
	var last uint64
	for at, i := range all {
		most -= frameBytes(i)
		if most < 0 && len(items) > 0 && at != last {
			return items, last + 1
		}
		items, last = append(items, i), at
	}
	return items, 0
}

// frameBytes is the bytes of an item in a frame, about: not less than they are.
func frameBytes(i configuration.Item) int {
	bytes := i.Size()
	if i.History != nil {
		bytes += historyEntryBytes * len(*i.History)
	}
	return bytes
}

// fetcher is the fetch of pieces from one node.
type fetcher struct {
	room     chan struct{} // for one piece at a time; a node that is cut off holds up no fetch from another
	waiting  atomic.Int32  // calls that wait for it
	sweeping atomic.Bool
	most     int // bytes of the next piece; of who has the room
}

// fetch gets what is chosen and not here from another control node, up to an epoch at least, and tells how far the snapshot here is then.
// It gets a piece or two: a long way is gone by sweep, and while that goes on, fetch waits for it and asks nobody for the same pieces.
func (n *Node) fetch(from string, want uint64) uint64 {
	epoch, _ := n.replica.snapshot()
	x := n.peer(from)
	if x == nil || epoch >= want {
		return epoch
	}
	defer x.fetcher.waiting.Add(-1)
	if x.fetcher.waiting.Add(1) > maxFetchWaiters {
		return epoch
	}
	for moved, until := true, time.Now().Add(roundTimeout); moved && epoch < want && time.Now().Before(until); {
		if n.sweeping() && n.replica.staged() {
			pause(context.Background(), fetchPollInterval)
			epoch, _ = n.replica.snapshot()
			continue
		}
		epoch, moved = n.fetchChunk(x, want)
	}
	return epoch
}

// fetchChunk gets one piece, and tells how far the snapshot here is then and whether the piece was of use.
func (n *Node) fetchChunk(x *peer, want uint64) (epoch uint64, moved bool) {
	f := &x.fetcher
	f.room <- struct{}{}
	defer func() { <-f.room }()
	if epoch, _ = n.replica.snapshot(); epoch >= want {
		return epoch, false
	}
	q, began := n.replica.nextCatchUpRequest(), time.Now()
	q.MaxBytes = f.most
	r := n.callPeer(x.addr, fetchTimeout, &transport.Frame{CatchUpRequest: q})
	if r == nil || r.CatchUpChunk == nil {
		f.most = minChunkBytes
		return epoch, false
	}
	switch took := time.Since(began); {
	case took < fastChunk:
		f.most = min(max(2*f.most, 2*minChunkBytes), maxChunkBytes)
	case took > slowChunk:
		f.most = minChunkBytes
	}
	return n.replica.stageChunk(q, r.CatchUpChunk)
}

// sweep fetches what another node was found to have, from one that goes on sending.
func (n *Node) sweep() {
	epoch, _ := n.replica.snapshot()
	if n.sweeping() && time.Since(n.replica.moved()) < fetchStall {
		return
	}
	started := false
	n.eachPeer(func(x *peer) {
		s := x.client.State()
		if started || !x.client.Connected() || s.Epoch <= epoch || !x.fetcher.sweeping.CompareAndSwap(false, true) {
			return
		}
		started = true
		go func() {
			defer x.fetcher.sweeping.Store(false)
			for moved := true; moved; {
				_, moved = n.fetchChunk(x, x.client.State().Epoch)
			}
		}()
	})
}

// sweeping tells whether a sweep is on its way.
func (n *Node) sweeping() (on bool) {
	n.eachPeer(func(x *peer) { on = on || x.fetcher.sweeping.Load() })
	return on
}

// staged tells whether a transfer has begun and is not through.
func (v *replica) staged() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.staging.Top != 0
}

// moved is when the last piece came.
func (v *replica) moved() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.staging.moved
}

// fetchInventory asks a node, for one whose disk is empty, who chooses and which instances it keeps on its disk, and keeps these here too. Nil: it
// does not answer.
func (n *Node) fetchInventory(x *peer) (first *transport.CatchUpChunk) {
	for q := (&transport.CatchUpRequest{EmptyDisk: true}); ; {
		r := n.callPeer(x.addr, fetchTimeout, &transport.Frame{CatchUpRequest: q})
		if r == nil || r.CatchUpChunk == nil {
			return nil
		}
		i := r.CatchUpChunk
		if first == nil {
			first = i
		}
		n.instances.Merge(i.Instances)
		n.instances.PersistDepartures(n.storage.Load(), instances.IDs(i.Instances)...)
		if !i.MoreInstances || len(i.Instances) == 0 || i.Instances[len(i.Instances)-1].ID <= q.AfterInstance {
			return first
		}
		q = &transport.CatchUpRequest{EmptyDisk: true, AfterInstance: i.Instances[len(i.Instances)-1].ID}
	}
}

// lag is the newest snapshot that another node was known to have, and since when one was newer than that here.
type lag struct {
	newestEpoch uint64
	since       time.Time
}

// updateLag notes whether a snapshot that another node has had for a while is still not here.
func (n *Node) updateLag(now time.Time) {
	epoch, _ := n.replica.snapshot()
	l := &n.lagging
	if l.newestEpoch <= epoch { // what was looked for is here: look for what is newest now
		*l = lag{0, now}
		n.eachPeer(func(x *peer) { l.newestEpoch = max(l.newestEpoch, x.client.State().Epoch) })
	}
	behind := l.newestEpoch > epoch && now.Sub(l.since) > maxLag
	if n.behind.Swap(behind) != behind {
		n.log.Log("msg", "behind", "is", behind, "epoch", epoch, "told", l.newestEpoch)
		n.store.NotifySubscribers()
	}
}
