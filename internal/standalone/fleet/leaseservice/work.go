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

type work struct {
	do     Work
	zone   string
	cancel context.CancelFunc // nil: it does not run
	ended  chan struct{}
}

// take goes by a message.
func (s *Steward) take(m incoming) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch m.topic {
	case topicVote:
		if s.core != nil {
			if out, err := s.core.Receive(now, m.data); err == nil {
				s.out(out)
			}
		}
	case topicAsk:
		var a singleton.Ask
		if s.core != nil && cbor.Unmarshal(m.data, &a) == nil && a.From.Name == m.from {
			s.out(s.core.Ask(now, a))
		}
	case topicAnswer:
		var a singleton.Answer
		if slices.Contains(s.o.Voters, m.from) && cbor.Unmarshal(m.data, &a) == nil {
			s.answered(a)
		}
	case topicNudge:
		s.carry(s.holder.Step(now, singleton.Nudged{}))
	case topicCall:
		s.call(m)
	case topicPost:
		s.post(m)
	case topicTold, topicPosted:
		if len(m.data) > 8 {
			if wait, ok := s.waits.Load(binary.BigEndian.Uint64(m.data)); ok {
				select {
				case wait.(chan []byte) <- m.data[8:]:
				default:
				}
			}
		}
	}
}

func (s *Steward) answered(a singleton.Answer) {
	for _, g := range a.Grants {
		s.known[g.Duty] = g
	}
	s.carry(s.holder.Step(s.now(), singleton.Answered{Answer: a}))
}

// out carries out what the voter wants. The mutex is held.
func (s *Steward) out(o quorum.Out) {
	for _, p := range o.Send {
		s.o.Fleet.Send(p.To, topicVote, p.Data)
	}
	self := s.o.Fleet.Self().Name
	for _, r := range o.Reply {
		if r.To.Name == self {
			s.answered(r.Answer)
			continue
		}
		if data, err := cbor.Marshal(r.Answer); err == nil {
			s.o.Fleet.Send(r.To.Name, topicAnswer, data)
		}
	}
	for _, n := range o.Nudge {
		if n == self {
			s.carry(s.holder.Step(s.now(), singleton.Nudged{}))
			continue
		}
		s.o.Fleet.Send(n, topicNudge, []byte{1})
	}
}

// carry does what the holder wants. The mutex is held.
func (s *Steward) carry(actions []singleton.HolderAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case singleton.Send:
			data, err := cbor.Marshal(a.Ask)
			if err != nil {
				continue
			}
			self := s.o.Fleet.Self().Name
			for _, v := range s.o.Voters {
				if v != self {
					s.o.Fleet.Send(v, topicAsk, data)
				} else if s.core != nil {
					s.out(s.core.Ask(s.now(), a.Ask))
				}
			}
		case singleton.Gained:
			s.o.Log.WithFields(logrus.Fields{"code": "duty-gained", "duty": a.Duty, "token": a.Token}).Info("this ingress holds a duty")
			s.begin(a.Duty, a.Token)
		case singleton.Lost:
			s.o.Log.WithFields(logrus.Fields{"code": "duty-lost", "duty": a.Duty, "token": a.Token}).Warn("this ingress holds a duty no more")
			if w := s.works[a.Duty]; w != nil && w.cancel != nil {
				w.cancel()
			}
		case singleton.Yield:
			if w := s.works[a.Duty]; w != nil && w.cancel != nil {
				w.cancel()
			}
		}
	}
}

// begin runs the work of a duty. The mutex is held.
func (s *Steward) begin(name string, token uint64) {
	w := s.works[name]
	if w == nil || w.cancel != nil {
		return
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	w.ended = make(chan struct{})
	ended := w.ended
	go func() {
		err := w.do(ctx, func() (uint64, bool) {
			t, ok := s.May(name)
			return t, ok && t == token
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		stopped := ctx.Err() != nil
		w.cancel()
		w.cancel = nil
		close(ended)
		if stopped {
			s.carry(s.holder.Step(s.now(), singleton.Yielded{Duty: name}))
			if t, ok := s.holder.May(s.now(), name); ok && t != token { // it was gained again meanwhile
				s.begin(name, t)
			}
			return
		}
		s.o.Log.WithFields(logrus.Fields{"code": "duty-resigned", "duty": name}).WithError(err).Error("the work of a duty cannot be done here; another ingress may have it")
		s.carry(s.holder.Step(s.now(), singleton.Resign{Duty: name}))
		time.AfterFunc(resignFor, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.want()
		})
	}()
}

const resignFor = 10 * time.Second // who could not do a duty asks for it again

// Holder is who holds a duty, as last heard; empty: nobody is known.
func (s *Steward) Holder(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[name].Holder
}

var errNoAnswer = errors.New("no voter that leads has answered: is there a majority?")

// wait sends something that is answered under a number.
func (s *Steward) wait(ctx context.Context, to []string, topic gossip.Topic, body []byte, most time.Duration) ([]byte, error) {
	var r [8]byte
	rand.Read(r[:])
	id := binary.BigEndian.Uint64(r[:])
	answer := make(chan []byte, 1)
	s.waits.Store(id, answer)
	defer s.waits.Delete(id)
	data := append(r[:], body...)
	self := s.o.Fleet.Self().Name
	for _, name := range to {
		if name == self {
			s.in <- incoming{topic, self, data}
			continue
		}
		s.o.Fleet.Send(name, topic, data)
	}
	select {
	case b := <-answer:
		return b, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(most):
		return nil, errNoAnswer
	}
}

// tell answers what came under a number.
func (s *Steward) tell(to string, topic gossip.Topic, id []byte, body []byte) {
	data := append(slices.Clone(id[:8]), body...)
	if to == s.o.Fleet.Self().Name {
		select {
		case s.in <- incoming{topic, to, data}:
		default:
		}
		return
	}
	s.o.Fleet.Send(to, topic, data)
}
