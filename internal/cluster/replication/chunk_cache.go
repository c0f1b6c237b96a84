package replication

import (
	"sync"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

const (
	chunkBytes       = 64 << 10    // bytes of an update, about
	smallChangeBytes = 4 << 10     // bytes that a new subscriber may lack and still get with the next update
	chunkLifetime    = time.Second // for which a chunk is shared with other subscribers
	chunkCacheBytes  = 512 << 10   // bytes of the chunks that are kept
)

// chunkCache holds the encoded chunks of the snapshot that new subscribers get. After a loss of power hundreds
// subscribe at once, and a process that encodes the snapshot for each of them delays everything else, operators' calls
// at each of their steps. So one chunk is encoded at a time, and all subscribers get the same one. A chunk stays valid:
// what has changed since comes again behind it. It carries no status of the source, which would be out of date.
type chunkCache struct {
	mu     sync.Mutex       // guards the fields below
	chunks map[uint64]chunk // by the sequence number behind which they begin
	bytes  int
}

// chunk is an encoded update with what changed up to a sequence number.
type chunk struct {
	frame     []byte
	last      uint64
	encodedAt time.Time
}

// chunk returns what changed behind a sequence number, about as much as fills a write; not found: it is little, and
// goes with the next update.
func (s *Source) chunk(since uint64) (found chunk, ok bool, err error) {
	cache, now := &s.cache, time.Now()
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cached, ok := cache.chunks[since]; ok && now.Sub(cached.encodedAt) < chunkLifetime {
		return cached, true, nil
	}
	if s.Store.ChangesSince(since, smallChangeBytes).Complete {
		return chunk{}, false, nil
	}
	update := &transport.Update{Incarnation: s.Store.Incarnation(), Clock: s.Clock.Now()}
	changes := s.Store.ChangesSince(since, chunkBytes)
	update.Items, update.Instances, update.Seq = changes.Items, changes.Instances, changes.Seq
	buffer := make([]byte, 0, chunkBytes+chunkBytes/4)
	frame, err := transport.Append(buffer, &transport.Frame{Update: update})
	if err != nil {
		return chunk{}, false, err
	}
	encoded := chunk{frame: frame, last: changes.Seq, encodedAt: now}
	cache.add(since, encoded)
	return encoded, true, nil
}

// add keeps a chunk; all others go where there would be too many bytes. The mutex is held.
func (cc *chunkCache) add(since uint64, encoded chunk) {
	if cc.bytes += len(encoded.frame); cc.chunks == nil || cc.bytes > chunkCacheBytes {
		cc.chunks, cc.bytes = map[uint64]chunk{}, len(encoded.frame)
	}
	cc.chunks[since] = encoded
}
