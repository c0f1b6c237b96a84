package shards

import (
	"slices"
	"sync"

	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/mutants"
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
	mu       sync.Mutex // guards the fields below
	messages []shard.Message
	calls    []queuedCall
	replies  []queuedReply
	wake     chan struct{} // capacity 1; signals that something is waiting
}

// queuedCall is a call and the time, by Service.now, after which nothing waits for its reply. It is not sent then,
// because a process that was suspended meanwhile would have it executed long after its caller has repeated it.
type queuedCall struct {
	expires float64
	call    transport.CoordinationCall
}

// queuedReply is a reply and the incarnation of the process that made the call.
type queuedReply struct {
	caller uint64
	reply  transport.CoordinationReply
}

// batch is what is sent to a peer in one frame.
type batch struct {
	contents transport.Coordination
	caller   uint64 // incarnation of the only process that may receive the replies, if there are any
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
	o.add(func() { o.messages = append(o.messages, m) })
}

func (o *outbox) addCall(expires float64, call transport.CoordinationCall) {
	o.add(func() { o.calls = append(o.calls, queuedCall{expires, call}) })
}

// addReply queues the reply to a call of the peer's process with the incarnation caller. No other process of the peer
// receives the reply, because call numbers are unique within a process only.
func (o *outbox) addReply(caller uint64, reply transport.CoordinationReply) {
	o.add(func() { o.replies = append(o.replies, queuedReply{caller, reply}) })
}

// add queues one message, call or reply, unless maxQueued of them are waiting.
func (o *outbox) add(queue func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.length() >= maxQueued {
		return
	}
	queue()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) length() int { return len(o.messages) + len(o.calls) + len(o.replies) }

// take removes and returns what is to be sent in the next frame: about maxBatchBytes, and at least one entry if there
// is any. All replies in it are for the same process. Calls that have expired are dropped. More reports that entries
// are left.
func (o *outbox) take(now float64) (b batch, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	left := maxBatchBytes
	b.contents.Messages, o.messages = split(o.messages, messageBytes, &left)
	b.contents.Calls = o.takeCalls(now, &left)
	b.caller, b.contents.Replies = o.takeReplies(&left)
	if more = o.length() > 0; !more {
		o.messages, o.calls, o.replies = nil, nil, nil // releases the memory of a long queue
	}
	return b, more
}

// takeCalls removes and returns the first calls, as far as they are within the bytes that are left.
func (o *outbox) takeCalls(now float64, left *int) (calls []transport.CoordinationCall) {
	o.calls = slices.DeleteFunc(o.calls, func(q queuedCall) bool { return now >= q.expires })
	first, rest := split(o.calls, queuedCallBytes, left)
	o.calls = rest
	for _, queued := range first {
		calls = append(calls, queued.call)
	}
	return calls
}

// takeReplies removes and returns the first replies that are for the same process, as far as they are within the bytes
// that are left.
func (o *outbox) takeReplies(left *int) (caller uint64, replies []transport.CoordinationReply) {
	if len(o.replies) == 0 {
		return 0, nil
	}
	caller = o.replies[0].caller
	sameCaller := slices.IndexFunc(o.replies, func(q queuedReply) bool { return q.caller != caller })
	if sameCaller < 0 {
		sameCaller = len(o.replies)
	}
	first, _ := split(o.replies[:sameCaller], queuedReplyBytes, left)
	o.replies = o.replies[len(first):]
	for _, queued := range first {
		replies = append(replies, queued.reply)
	}
	return caller, replies
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

func queuedCallBytes(q *queuedCall) int {
	r := &q.call.Request
	return entryOverhead + len(r.Name) + len(r.Owner) + len(r.Value)
}

func queuedReplyBytes(q *queuedReply) int {
	bytes := entryOverhead + len(q.reply.Result.Value)
	for _, event := range q.reply.Result.Events {
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
			var next batch
			next, more = o.take(s.now())
			s.send(addr, next)
		}
	}
}

// send sends a batch to a peer. If the process that the replies are for has ended, they are dropped and the rest is
// sent to its successor. Other errors are ignored, because replicas and callers send again what is lost.
func (s *Service) send(addr string, b batch) {
	frame := &transport.Frame{Coordination: &b.contents}
	if len(b.contents.Replies) == 0 || mutants.On("shards/replies-to-any-process") {
		_ = s.options.Peers.Send(addr, frame)
		return
	}
	if s.options.Peers.SendTo(addr, b.caller, frame) == nil {
		return
	}
	b.contents.Replies = nil
	if len(b.contents.Messages)+len(b.contents.Calls) > 0 {
		_ = s.options.Peers.Send(addr, frame)
	}
}

// Receive processes the messages, calls and replies of a process of another control node. It does not block.
func (s *Service) Receive(from Process, c *transport.Coordination) {
	for _, m := range c.Messages {
		if hosts := s.hosts.Load(); hosts != nil && m.Shard < Count {
			m.From = from.Addr
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
