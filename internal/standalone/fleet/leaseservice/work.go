package leaseservice

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// Record is what an ingress holds, as it was when it was last written. Writing it is the proof that there is room: who cannot
// keep what it does under a duty does nothing under it.
type Record struct {
	Name   string            `json:"Name"`
	Boot   uint64            `json:"Boot"`
	Tokens map[string]uint64 `json:"Tokens"` // by duty
}

// Work is what a duty is: it runs until the context ends, and asks for the token before each effect. Returning early gives the
// duty up: it cannot be done here.
type Work func(ctx context.Context, token func() (uint64, bool)) error

type incoming struct {
	topic gossip.Topic
	from  string
	data  []byte
}

type role struct {
	run           Work
	preferredZone string
	cancel        context.CancelFunc // nil: it does not run
	ended         chan struct{}
}

// take goes by a message.
func (s *Service) handleMessage(m incoming) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch m.topic {
	case topicVote:
		if s.voter != nil {
			if out, err := s.voter.Receive(now, m.data); err == nil {
				s.deliver(out)
			}
		}
	case topicAcquireRequest:
		var a singleton.AcquireRequest
		if s.voter != nil && cbor.Unmarshal(m.data, &a) == nil && a.From.Name == m.from {
			s.deliver(s.voter.HandleRequest(now, a))
		}
	case topicAcquireResponse:
		var a singleton.AcquireResponse
		if slices.Contains(s.options.Voters, m.from) && cbor.Unmarshal(m.data, &a) == nil {
			s.responseReceived(a)
		}
	case topicWake:
		s.execute(s.leaseHolder.Step(now, singleton.WakeReceived{}))
	case topicCall:
		s.handleCall(m)
	case topicExport:
		s.handleExport(m)
	case topicCallResponse, topicExportResponse:
		if len(m.data) > 8 {
			if wait, ok := s.pendingCalls.Load(binary.BigEndian.Uint64(m.data)); ok {
				select {
				case wait.(chan []byte) <- m.data[8:]:
				default:
				}
			}
		}
	}
}

func (s *Service) responseReceived(a singleton.AcquireResponse) {
	for _, g := range a.Grants {
		s.roleStatus[g.Role] = g
	}
	s.execute(s.leaseHolder.Step(s.now(), singleton.ResponseReceived{Response: a}))
}

// out carries out what the voter wants. The mutex is held.
func (s *Service) deliver(o quorum.Output) {
	for _, p := range o.Messages {
		s.options.Fleet.Send(p.To, topicVote, p.Data)
	}
	self := s.options.Fleet.Self().Name
	for _, r := range o.Replies {
		if r.To.Name == self {
			s.responseReceived(r.Response)
			continue
		}
		if data, err := cbor.Marshal(r.Response); err == nil {
			s.options.Fleet.Send(r.To.Name, topicAcquireResponse, data)
		}
	}
	for _, n := range o.Wake {
		if n == self {
			s.execute(s.leaseHolder.Step(s.now(), singleton.WakeReceived{}))
			continue
		}
		s.options.Fleet.Send(n, topicWake, []byte{1})
	}
}

// carry does what the holder wants. The mutex is held.
func (s *Service) execute(actions []singleton.LeaseHolderAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case singleton.SendRequest:
			data, err := cbor.Marshal(a.Request)
			if err != nil {
				continue
			}
			self := s.options.Fleet.Self().Name
			for _, v := range s.options.Voters {
				if v != self {
					s.options.Fleet.Send(v, topicAcquireRequest, data)
				} else if s.voter != nil {
					s.deliver(s.voter.HandleRequest(s.now(), a.Request))
				}
			}
		case singleton.LeaseGained:
			s.options.Log.WithFields(logrus.Fields{"code": "duty-gained", "duty": a.Role, "token": a.Token}).Info("this ingress holds a duty")
			s.startWork(a.Role, a.Token)
		case singleton.LeaseLost:
			s.options.Log.WithFields(logrus.Fields{"code": "duty-lost", "duty": a.Role, "token": a.Token}).Warn("this ingress holds a duty no more")
			if w := s.roles[a.Role]; w != nil && w.cancel != nil {
				w.cancel()
			}
		case singleton.StepDown:
			if w := s.roles[a.Role]; w != nil && w.cancel != nil {
				w.cancel()
			}
		}
	}
}

// begin runs the work of a duty. The mutex is held.
func (s *Service) startWork(name string, token uint64) {
	w := s.roles[name]
	if w == nil || w.cancel != nil {
		return
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	w.ended = make(chan struct{})
	ended := w.ended
	go func() {
		err := w.run(ctx, func() (uint64, bool) {
			t, ok := s.FencingToken(name)
			return t, ok && t == token
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		stopped := ctx.Err() != nil
		w.cancel()
		w.cancel = nil
		close(ended)
		if stopped {
			s.execute(s.leaseHolder.Step(s.now(), singleton.SteppedDown{Role: name}))
			if t, ok := s.leaseHolder.FencingToken(s.now(), name); ok && t != token { // it was gained again meanwhile
				s.startWork(name, t)
			}
			return
		}
		s.options.Log.WithFields(logrus.Fields{"code": "duty-resigned", "duty": name}).WithError(err).Error("the work of a duty cannot be done here; another ingress may have it")
		s.execute(s.leaseHolder.Step(s.now(), singleton.Resign{Role: name}))
		time.AfterFunc(reacquireDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.acquireAll()
		})
	}()
}

const reacquireDelay = 10 * time.Second // who could not do a duty asks for it again

// Holder is who holds a duty, as last heard; empty: nobody is known.
func (s *Service) LeaseHolder(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roleStatus[name].Holder
}

var errNoResponse = errors.New("no voter that leads has answered: is there a majority?")

// wait sends something that is answered under a number.
func (s *Service) call(ctx context.Context, to []string, topic gossip.Topic, body []byte, most time.Duration) ([]byte, error) {
	var r [8]byte
	rand.Read(r[:])
	id := binary.BigEndian.Uint64(r[:])
	answer := make(chan []byte, 1)
	s.pendingCalls.Store(id, answer)
	defer s.pendingCalls.Delete(id)
	data := append(r[:], body...)
	self := s.options.Fleet.Self().Name
	for _, name := range to {
		if name == self {
			s.inbox <- incoming{topic, self, data}
			continue
		}
		s.options.Fleet.Send(name, topic, data)
	}
	select {
	case b := <-answer:
		return b, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(most):
		return nil, errNoResponse
	}
}

// tell answers what came under a number.
func (s *Service) respond(to string, topic gossip.Topic, id []byte, body []byte) {
	data := append(slices.Clone(id[:8]), body...)
	if to == s.options.Fleet.Self().Name {
		select {
		case s.inbox <- incoming{topic, to, data}:
		default:
		}
		return
	}
	s.options.Fleet.Send(to, topic, data)
}
