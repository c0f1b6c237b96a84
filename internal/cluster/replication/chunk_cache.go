package replication

import (
	"sync"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

const (
	chunkBytes       = 64 << 10    // approximate size of an update, bytes
	smallChangeBytes = 4 << 10     // changes up to this size are sent with the next update instead of a chunk, bytes
	chunkLifetime    = time.Second // time for which a chunk is shared with other subscribers
	chunkCacheBytes  = 512 << 10   // bound on the total size of the cached chunks, bytes
)

// chunkCache contains the encoded chunks of the snapshot that are sent to new subscribers. After a power failure
// hundreds of processes subscribe at once. A process that encodes the snapshot for each of them delays everything else,
// including each step of operators' calls. So one chunk is encoded at a time, and all subscribers receive the same
// chunk. A chunk stays valid, because entries that change after its encoding are sent again after it. It has no status
// of the source, which would be out of date.
type chunkCache struct {
	mu     sync.Mutex       // guards the fields below
	chunks map[uint64]chunk // by the sequence number after which they begin
	bytes  int              // total size of the chunks added since the map was last replaced, overwritten ones included
}

// chunk is an encoded update with the changes up to a sequence number.
type chunk struct {
	frame     []byte
	last      uint64 // sequence number of its last change
	encodedAt time.Time
}

// chunk returns the chunk with the changes after a sequence number. If they are small, it returns ok false, and the
// changes are sent with the next update. If they begin with an item that is too long for an update, it returns
// errLongItem, because the form in which that is sent depends on the subscriber.
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
	changes := s.Store.ChangesSince(since, chunkBytes)
	if changes.longItem() != nil {
		return chunk{}, false, errLongItem
	}
	update := &transport.Update{Incarnation: s.Store.Incarnation(), Clock: s.Clock.Now()}
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

// add caches a chunk. If the cache would exceed chunkCacheBytes, all other chunks are dropped. The mutex must be held.
func (cc *chunkCache) add(since uint64, encoded chunk) {
	if cc.bytes += len(encoded.frame); cc.chunks == nil || cc.bytes > chunkCacheBytes {
		cc.chunks, cc.bytes = map[uint64]chunk{}, len(encoded.frame)
	}
	cc.chunks[since] = encoded
}
