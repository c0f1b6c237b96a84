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
	fastChunk    = 100 * time.Millisecond // a chunk that comes sooner may be followed by a larger one
	slowChunk    = 400 * time.Millisecond // a chunk that comes later is followed by a small one
	chunkTimeout = 5 * time.Second        // for one chunk
	stallTimeout = time.Second            // without a chunk for so long, another source is tried as well
	fetchTimeout = 300 * time.Millisecond // for Fetch to go on with further chunks
	pollInterval = 50 * time.Millisecond
	maxWaiters   = 4 // calls that wait for chunks from one node
)

// Fetcher fetches chunks for a replica. It is safe for concurrent use.
type Fetcher struct {
	replica *replica.Replica
	peers   *peers.Set

	mu      sync.Mutex // guards sources
	sources map[*peers.Peer]*source
}

// source is the fetching from one node.
type source struct {
	addr       string
	peer       *peers.Peer
	slot       chan struct{} // for one chunk at a time; a partitioned node so delays no fetch from another
	waiting    atomic.Int32  // calls that wait for the slot or hold it
	sweeping   atomic.Bool
	chunkBytes int // to request next; guarded by the slot
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

// Fetch gets chosen changes from a control node, up to an epoch at least if all goes well, and returns the epoch
// of the snapshot here then. It fetches for fetchTimeout; while a sweep is under way, it waits for that and does
// not request the same chunks.
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
		if f.sweeping() && f.replica.Transferring() {
			time.Sleep(pollInterval)
			current = f.replica.Epoch()
			continue
		}
		current, used = f.fetchChunk(s, epoch)
	}
	return current
}

// fetchChunk gets one chunk, and returns the epoch of the snapshot here then and whether the chunk was of use.
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

// adaptChunkBytes chooses the size of the next chunk by how long the last one took.
func (s *source) adaptChunkBytes(took time.Duration) {
	switch {
	case took < fastChunk:
		s.chunkBytes = min(max(2*s.chunkBytes, 2*replica.MinChunkBytes), replica.MaxChunkBytes)
	case took > slowChunk:
		s.chunkBytes = replica.MinChunkBytes
	}
}

// Sweep starts to fetch in the background what a peer is known to have, from one that keeps sending.
func (f *Fetcher) Sweep() {
	epoch := f.replica.Epoch()
	if f.sweeping() && time.Since(f.replica.LastChunkAt()) < stallTimeout {
		return
	}
	for _, p := range f.peers.All() {
		state := p.State()
		if !p.Connected() || state.Epoch <= epoch {
			continue
		}
		if s := f.source(p); s.sweeping.CompareAndSwap(false, true) {
			go f.sweepFrom(s)
			return
		}
	}
}

func (f *Fetcher) sweepFrom(s *source) {
	defer s.sweeping.Store(false)
	for used := true; used; {
		_, used = f.fetchChunk(s, s.peer.State().Epoch)
	}
}

// sweeping tells whether a sweep is under way.
func (f *Fetcher) sweeping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sources {
		if s.sweeping.Load() {
			return true
		}
	}
	return false
}

// FetchInventory asks a peer for the electorate and for the departing instances on its disk, page by page; merge
// is called with each page. It returns the first page, in which the electorate stands; nil: the peer does not
// answer.
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
		if last <= request.AfterInstance {
			return first
		}
		request = &transport.CatchUpRequest{EmptyDisk: true, AfterInstance: last}
	}
}
