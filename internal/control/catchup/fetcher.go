package catchup

import (
	"sync"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/peers"
	"mulleinrouter/internal/control/replica"
)

const (
	fastChunk    = 100 * time.Millisecond // the next chunk is larger if one arrived within this time
	slowChunk    = 400 * time.Millisecond // the next chunk is of the minimum size if one took longer than this
	chunkTimeout = 5 * time.Second        // for the answer with one chunk
	stallTimeout = time.Second            // time without a chunk after which another source is tried as well
	fetchTimeout = 300 * time.Millisecond // time in which one call of Fetch requests further chunks
	pollInterval = 50 * time.Millisecond  // between two checks of the progress of a background fetch
	// maxWaiters is the maximum number of concurrent calls of Fetch for a node. Further calls return at once, so that a
	// node that does not answer blocks only a few goroutines.
	maxWaiters = 4
)

// Fetcher fetches chunks for a replica. It is safe for concurrent use.
type Fetcher struct {
	replica *replica.Replica
	peers   *peers.Set

	mu      sync.Mutex // guards sources
	sources map[*peers.Peer]*source
}

// source is the state of the fetches from one node.
type source struct {
	addr string
	peer *peers.Peer
	// slot limits the node to one chunk at a time. Each node has its own slot, so that a partitioned node does not
	// delay fetches from the others.
	slot                 chan struct{}
	waiting              atomic.Int32 // calls of Fetch for this source that are in progress
	fetchingInBackground atomic.Bool
	chunkBytes           int // size of the next chunk to request; guarded by the slot
}

// NewFetcher makes a fetcher for a replica.
func NewFetcher(r *replica.Replica, p *peers.Set) *Fetcher {
	return &Fetcher{replica: r, peers: p, sources: map[*peers.Peer]*source{}}
}

func (f *Fetcher) source(p *peers.Peer) *source {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[p]
	if s == nil {
		s = &source{addr: p.Addr, peer: p, slot: make(chan struct{}, 1)}
		f.sources[p] = s
	}
	return s
}

// Fetch gets chosen changes from a control node until the local snapshot has reached the given epoch, and returns the
// epoch of the local snapshot. It stops requesting chunks after fetchTimeout, or once a chunk did not arrive or was not
// used. It requests none if maxWaiters calls of Fetch for the node are in progress already. While a background fetch is
// running and chunks are staged, it waits for that fetch instead of requesting the same chunks again.
func (f *Fetcher) Fetch(from string, epoch uint64) uint64 {
	current := f.replica.Epoch()
	p := f.peers.Find(from)
	if p == nil || current >= epoch {
		return current
	}
	s := f.source(p)
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > maxWaiters {
		return current
	}
	deadline := time.Now().Add(fetchTimeout)
	for used := true; used && current < epoch && time.Now().Before(deadline); {
		if f.backgroundFetchRunning() && f.replica.Transferring() {
			time.Sleep(pollInterval)
			current = f.replica.Epoch()
			continue
		}
		current, used = f.fetchChunk(s, epoch)
	}
	return current
}

// fetchChunk gets one chunk. It returns the epoch of the local snapshot afterwards, and whether the replica used the
// chunk.
func (f *Fetcher) fetchChunk(s *source, epoch uint64) (current uint64, used bool) {
	s.slot <- struct{}{}
	defer func() { <-s.slot }()
	if current = f.replica.Epoch(); current >= epoch {
		return current, false
	}
	request, began := f.replica.NextCatchUpRequest(), time.Now()
	request.MaxBytes = s.chunkBytes
	answer := f.peers.Call(s.addr, chunkTimeout, &transport.Frame{CatchUpRequest: request})
	if answer == nil || answer.CatchUpChunk == nil {
		s.chunkBytes = replica.MinChunkBytes
		return current, false
	}
	s.adaptChunkBytes(time.Since(began))
	return f.replica.StageChunk(request, answer.CatchUpChunk)
}

// adaptChunkBytes sets the size of the next chunk according to the time that the last one took.
func (s *source) adaptChunkBytes(took time.Duration) {
	switch {
	case took < fastChunk:
		s.chunkBytes = min(max(2*s.chunkBytes, 2*replica.MinChunkBytes), replica.MaxChunkBytes)
	case took > slowChunk:
		s.chunkBytes = replica.MinChunkBytes
	}
}

// StartBackgroundFetch starts to fetch newer changes in the background from a peer that is known to have them. If a
// background fetch is running already, it starts one from another peer only if no chunk has arrived for stallTimeout.
func (f *Fetcher) StartBackgroundFetch() {
	epoch := f.replica.Epoch()
	if f.backgroundFetchRunning() && time.Since(f.replica.LastChunkAt()) < stallTimeout {
		return
	}
	for _, p := range f.peers.All() {
		state := p.State()
		if !p.Connected() || state.Epoch <= epoch {
			continue
		}
		if s := f.source(p); s.fetchingInBackground.CompareAndSwap(false, true) {
			go f.fetchInBackground(s)
			return
		}
	}
}

func (f *Fetcher) fetchInBackground(s *source) {
	defer s.fetchingInBackground.Store(false)
	for used := true; used; {
		_, used = f.fetchChunk(s, s.peer.State().Epoch)
	}
}

// backgroundFetchRunning reports whether a background fetch from any peer is running.
func (f *Fetcher) backgroundFetchRunning() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sources {
		if s.fetchingInBackground.Load() {
			return true
		}
	}
	return false
}

// FetchInventory requests the electorate and the departing instances on a peer's disk, page by page, and calls merge
// with the instances of each page. It returns the first page, which contains the electorate, or nil if the peer leaves
// a request for any page unanswered.
func (f *Fetcher) FetchInventory(p *peers.Peer, merge func([]registry.Instance)) (first *transport.CatchUpChunk) {
	request := &transport.CatchUpRequest{EmptyDisk: true}
	for {
		answer := f.peers.Call(p.Addr, chunkTimeout, &transport.Frame{CatchUpRequest: request})
		if answer == nil || answer.CatchUpChunk == nil {
			return nil
		}
		page := answer.CatchUpChunk
		if first == nil {
			first = page
		}
		merge(page.Instances)
		if !page.MoreInstances || len(page.Instances) == 0 {
			return first
		}
		last := page.Instances[len(page.Instances)-1].ID
		if last <= request.AfterInstance { // the peer does not advance; prevents an endless loop
			return first
		}
		request = &transport.CatchUpRequest{EmptyDisk: true, AfterInstance: last}
	}
}
