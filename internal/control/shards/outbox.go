package shards

import (
	"sync"

	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/cluster/transport"
)

// maxQueued limits the messages, calls and replies that wait for one peer. Further ones are dropped, as on a failing
// link, so that memory stays bounded.
const maxQueued = 2048

// outbox queues messages, calls and replies for one peer. All that are queued while a frame is being written are sent
// in the next frame.
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

// take removes and returns all that is waiting.
func (o *outbox) take() transport.Coordination {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting := o.waiting
	o.waiting = transport.Coordination{}
	return waiting
}

// sendAll sends the queue of a peer whenever it is not empty, until the service ends.
func (s *Service) sendAll(addr string, o *outbox) {
	for {
		select {
		case <-o.wake:
		case <-s.ctx.Done():
			return
		}
		waiting := o.take()
		// An error is ignored, because replicas and callers send again what is lost.
		_ = s.options.Peers.Send(addr, &transport.Frame{Coordination: &waiting})
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
