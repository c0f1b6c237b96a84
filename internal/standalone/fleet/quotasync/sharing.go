// Package quotasync has an ingress share quotas and judgements on servers with the others: the clock, the fleet's messages and the
// engine round package share, which decides.
package quotasync

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/quotashare"
)

const (
	topic     gossip.Topic = 10
	beat                   = 100 * time.Millisecond
	stallMost              = time.Second
	queueMost              = 1024 // words that wait; more are lost, as on the network
)

// Fleet is what sharing needs of membership.
type Fleet interface {
	Send(name string, topic gossip.Topic, data []byte)
	Handle(topic gossip.Topic, take func(from string, data []byte))
	Living() []string
	Numbers() map[int]string
	Gone() bool // it left, or another process took its name
}

// Engine is where what is decided goes.
type Engine interface {
	SetGrants(all []decision.QuotaGrant, lease decision.Seconds)
	SetSuspects(servers []string)
	UnhealthyServers() []string
	PoolSize() (listed, avoided int)
}

// Options say what an ingress is.
type Options struct {
	quotashare.Options
	Fleet Fleet
	Clock float64 // seconds of its clock a second: a rehearsal has it run fast or slow
	Log   *logrus.Logger
}

// Sharing is that of one ingress. It is the engine's Sharer.
type Sharing struct {
	o    Options
	base time.Time
	in   chan word

	mu   sync.Mutex // guards the book
	book *quotashare.Book
	beat time.Duration
}

type word struct {
	from string
	word quotashare.Word
}

// New returns one that does not speak yet.
func New(o Options) *Sharing {
	s := &Sharing{o: o, base: time.Now(), in: make(chan word, queueMost)}
	s.book = quotashare.New(0, o.Options)
	o.Fleet.Handle(topic, func(from string, data []byte) {
		var w quotashare.Word
		if cbor.Unmarshal(data, &w) != nil {
			return
		}
		select {
		case s.in <- word{from, w}:
		default:
		}
	})
	return s
}

func (s *Sharing) now() quotashare.Seconds { return time.Since(s.base).Seconds() * s.o.Clock }

// ObserveRequest takes a request that the engine reports; ObserveCounterCall and ObserveCounterReply take its calls of the counter.
func (s *Sharing) ObserveRequest(customer string, first, doors int, quota, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Step(s.now(), quotashare.Asked{Member: customer, First: first, Doors: doors, Quota: quota, Units: units})
}

// ObserveCounterCall takes a call of the counter.
func (s *Sharing) ObserveCounterCall(name string, amount float64, keep decision.Seconds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Step(s.now(), quotashare.Adding{Name: name, Amount: amount, Keep: keep})
}

// Counted tells of its answer. While the counter is not trusted the module hears that it answers, and no total.
func (s *Sharing) ObserveCounterReply(name string, outcome decision.Outcome, total float64) decision.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := outcome == decision.Succeeded || outcome == decision.Rejected || outcome == decision.Failed
	s.carry(s.book.Step(s.now(), quotashare.Counted{Name: name, Answered: answered, Done: outcome == decision.Succeeded, Total: total}))
	if sound, _ := s.book.Sound(); !sound && outcome == decision.Succeeded {
		return decision.Failed
	}
	return outcome
}

// Run shares until the context ends.
func (s *Sharing) Run(ctx context.Context, e Engine) {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	s.beat = time.Since(s.base)
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.in:
			s.do(e, quotashare.Heard{From: w.from, Word: w.word})
		case <-tick.C:
			now := time.Since(s.base)
			if now-s.beat > stallMost {
				s.do(e, quotashare.Woken{})
			}
			s.beat = now
			if s.o.Fleet.Gone() {
				s.do(e, quotashare.Aside{})
			}
			listed, _ := e.PoolSize()
			s.do(e, quotashare.Tick{Doors: s.o.Fleet.Numbers(), Living: s.o.Fleet.Living(), Bad: e.UnhealthyServers(), Listed: listed})
		}
	}
}

// do has something happen, and carries out what comes of it. The engine is called without the book's mutex: it calls back.
func (s *Sharing) do(e Engine, event quotashare.Event) {
	s.mu.Lock()
	actions := s.book.Step(s.now(), event)
	now := s.now()
	s.mu.Unlock()
	s.carry(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case quotashare.Hold:
			all := make([]decision.QuotaGrant, 0, len(a.Rights))
			for _, r := range a.Rights {
				all = append(all, decision.QuotaGrant{Customer: r.Member, Rate: r.Rate, Less: r.Less, Keep: r.Keep, Scaled: r.Scaled})
			}
			e.SetGrants(all, a.Until-now)
		case quotashare.Warn:
			e.SetSuspects(a.Servers)
			s.o.Log.WithFields(logrus.Fields{"code": "share-warned", "servers": a.Servers}).Info("the servers that others find bad have changed")
		}
	}
}

// carry does what needs no engine.
func (s *Sharing) carry(actions []quotashare.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quotashare.Say:
			if data, err := cbor.Marshal(a.Word); err == nil {
				s.o.Fleet.Send(a.To, topic, data)
			}
		case quotashare.Turned:
			entry := s.o.Log.WithField("why", a.Why)
			if a.Sound {
				entry.WithField("code", "share-counter-trusted").Info("the counter is trusted again: quotas go by its totals")
			} else {
				entry.WithField("code", "share-counter-doubted").Warn("the counter is not trusted: quotas are shared among the ingresses by loans")
			}
		}
	}
}

// Report is what is told of it, as JSON.
type Report struct {
	Sound   bool                `json:"sound"` // the counter is trusted
	Why     string              `json:"why,omitempty"`
	Refused int                 `json:"refused"` // words that changed nothing
	Given   float64             `json:"given"`   // units a second lent to others, and borrowed
	Taken   float64             `json:"taken"`
	Warned  []string            `json:"warned,omitempty"`
	Members []quotashare.Status `json:"members,omitempty"`
}

// Report tells; of one member, or of all.
func (s *Sharing) Report(member string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Refused: s.book.Refused(), Warned: s.book.Warned()}
	r.Sound, r.Why = s.book.Sound()
	for _, m := range s.book.Members() {
		for _, p := range m.GivenTo {
			r.Given += p.Rate
		}
		for _, p := range m.TakenFrom {
			r.Taken += p.Rate
		}
		if member == "" || m.Member == member {
			r.Members = append(r.Members, m)
		}
	}
	return r
}
