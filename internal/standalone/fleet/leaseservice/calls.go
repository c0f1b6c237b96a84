package leaseservice

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/standalone/fleet/gossip"
)

// callIDLength is the length in bytes of the call id that precedes the body of a call and of its response.
const callIDLength = 8

// pendingCalls are the calls that wait for a response. Its zero value is ready for use.
type pendingCalls struct {
	mu        sync.Mutex // guards responses
	responses map[uint64]chan []byte
}

// add registers a call and returns a channel that receives its first response.
func (p *pendingCalls) add(id uint64) <-chan []byte {
	response := make(chan []byte, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.responses == nil {
		p.responses = map[uint64]chan []byte{}
	}
	p.responses[id] = response
	return response
}

func (p *pendingCalls) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, id)
}

// complete passes a response to the call that waits for it. Any further responses to the call are dropped.
func (p *pendingCalls) complete(data []byte) {
	if len(data) <= callIDLength {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	response, pending := p.responses[binary.BigEndian.Uint64(data)]
	if !pending {
		return
	}
	select {
	case response <- data[callIDLength:]:
	default:
	}
}

// call sends a request to the receivers and returns the first response. It fails if the service is stopped before the
// request to this ingress itself is in the inbox, and otherwise after the timeout or when ctx ends. While the inbox is
// full, the call waits, and the timeout has not begun.
func (s *Service) call(
	ctx context.Context, receivers []string, topic gossip.Topic, body []byte, timeout time.Duration,
) ([]byte, error) {
	var id [callIDLength]byte
	rand.Read(id[:])
	callID := binary.BigEndian.Uint64(id[:])
	response := s.calls.add(callID)
	defer s.calls.remove(callID)
	data := append(id[:], body...)
	self := s.self()
	for _, name := range receivers {
		if name != self {
			s.options.Fleet.Send(name, topic, data)
			continue
		}
		select {
		case s.inbox <- message{topic, self, data}:
		case <-s.ctx.Done():
			return nil, errStopped
		}
	}
	select {
	case body := <-response:
		return body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(timeout):
		return nil, errNoResponse
	}
}

// respond sends the response to a call.
func (s *Service) respond(request message, topic gossip.Topic, body []byte) {
	data := append(slices.Clone(request.data[:callIDLength]), body...)
	if request.from == s.self() {
		s.enqueue(message{topic, request.from, data})
		return
	}
	s.options.Fleet.Send(request.from, topic, data)
}
