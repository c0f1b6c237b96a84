package shards

import (
	"sync"

	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/cluster/transport"
)

// maxQueued limits the messages, calls and replies that wait for one peer. Further ones are dropped, as on a failing
// link, so that memory stays bounded.
const maxQueued = 2048

const (
	// maxBatchBytes is the approximate size of the frames in which a queue is sent. A single message may be longer: one
	// with the complete state of a shard. A frame with the states of all shards, or with the answers to many watches,
	// could exceed transport.MaxControlFrame, and would be lost each time that it is sent again.
	maxBatchBytes = 1 << 20
	entryOverhead = 64 // approximate size of an entry in a frame without its texts and records, bytes
)

// outbox queues messages, calls and replies for one peer. What is queued while a frame is being written is sent in the
// next frames.
type outbox struct {
	mu      sync.Mutex // guards waiting
	waiting transport.Coordination
	wake    chan struct{} // capacity 1; signals that something is waiting
}

// outbox returns the outbox of a peer, and creates it on first use.
func (s *Service) outbox(addr string) *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.outboxes[addr]
	if o == nil {
		o = &outbox{wake: make(chan struct{}, 1)}
		s.outboxes[addr] = o
		if !s.ended {
			s.running.Go(func() { s.sendAll(addr, o) })
		}
	}
	return o
}

func (o *outbox) addMessage(m shard.Message) {
	o.add(func(c *transport.Coordination) { c.Messages = append(c.Messages, m) })
}

func (o *outbox) addCall(call transport.CoordinationCall) {
	o.add(func(c *transport.Coordination) { c.Calls = append(c.Calls, call) })
}

func (o *outbox) addReply(reply transport.CoordinationReply) {
	o.add(func(c *transport.Coordination) { c.Replies = append(c.Replies, reply) })
}

// add queues one message, call or reply, unless maxQueued of them are waiting.
func (o *outbox) add(queue func(*transport.Coordination)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := &o.waiting
	if len(w.Messages)+len(w.Calls)+len(w.Replies) >= maxQueued {
		return
	}
	queue(w)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take removes and returns what is to be sent in the next frame: about maxBatchBytes, and at least one entry if there
// is any. More reports that entries are left.
func (o *outbox) take() (batch transport.Coordination, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, left := &o.waiting, maxBatchBytes
	batch.Messages, w.Messages = split(w.Messages, messageBytes, &left)
	batch.Calls, w.Calls = split(w.Calls, callBytes, &left)
	batch.Replies, w.Replies = split(w.Replies, replyBytes, &left)
	if more = len(w.Messages)+len(w.Calls)+len(w.Replies) > 0; !more {
		*w = transport.Coordination{} // releases the memory of a long queue
	}
	return batch, more
}

// split returns the first entries whose size is within the bytes that are left, and the rest. The entry that exceeds
// them is still included, and nothing after it.
func split[T any](entries []T, size func(*T) int, left *int) (first, rest []T) {
	n := 0
	for n < len(entries) && *left > 0 {
		*left -= size(&entries[n])
		n++
	}
	return entries[:n:n], entries[n:]
}

func messageBytes(m *shard.Message) int {
	bytes := entryOverhead + writesBytes(m.Records)
	for _, batch := range m.Batches {
		bytes += entryOverhead + writesBytes(batch.Writes)
	}
	return bytes
}

func writesBytes(writes []shard.Write) (bytes int) {
	for _, w := range writes {
		bytes += entryOverhead + len(w.Key) + len(w.Value)
	}
	return bytes
}

func callBytes(c *transport.CoordinationCall) int {
	return entryOverhead + len(c.Request.Name) + len(c.Request.Owner) + len(c.Request.Value)
}

func replyBytes(r *transport.CoordinationReply) int {
	bytes := entryOverhead + len(r.Result.Value)
	for _, event := range r.Result.Events {
		bytes += entryOverhead + len(event.Name) + len(event.Value)
	}
	return bytes
}

// sendAll sends the queue of a peer whenever it is not empty, until the service ends.
func (s *Service) sendAll(addr string, o *outbox) {
	for {
		select {
		case <-o.wake:
		case <-s.ctx.Done():
			return
		}
		for more := true; more && s.ctx.Err() == nil; {
			var batch transport.Coordination
			batch, more = o.take()
			// An error is ignored, because replicas and callers send again what is lost.
			_ = s.options.Peers.Send(addr, &transport.Frame{Coordination: &batch})
		}
	}
}

// Receive processes the messages, calls and replies of another control node. It does not block.
func (s *Service) Receive(from string, c *transport.Coordination) {
	for _, m := range c.Messages {
		if hosts := s.hosts.Load(); hosts != nil && m.Shard < Count {
			m.From = from
			hosts[m.Shard].step(m)
		}
	}
	for _, call := range c.Calls {
		s.serveForwarded(from, call)
	}
	for _, reply := range c.Replies {
		s.deliver(reply)
	}
}
