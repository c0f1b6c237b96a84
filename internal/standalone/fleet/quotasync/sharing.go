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
	quotaTopic   gossip.Topic = 10
	tickInterval              = 100 * time.Millisecond
	maxTickDelay              = time.Second
	queueLength               = 1024 // words that wait; more are lost, as on the network
)

// Gossip is what sharing needs of membership.
type Gossip interface {
	Send(name string, topic gossip.Topic, data []byte)
	Handle(topic gossip.Topic, take func(from string, data []byte))
	AliveMembers() []string
	MemberNames() map[int]string
	Left() bool // it left, or another process took its name
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
	Gossip    Gossip
	ClockRate float64 // seconds of its clock a second: a rehearsal has it run fast or slow
	Log       *logrus.Logger
}

// Service is that of one ingress. It is the engine's Sharer.
type Service struct {
	options   Options
	startedAt time.Time
	queue     chan received

	mu        sync.Mutex // guards the book
	allocator *quotashare.Allocator
	lastTick  time.Duration
}

type received struct {
	from    string
	message quotashare.Message
}

// New returns one that does not speak yet.
func New(o Options) *Service {
	s := &Service{options: o, startedAt: time.Now(), queue: make(chan received, queueLength)}
	s.allocator = quotashare.New(0, o.Options)
	o.Gossip.Handle(quotaTopic, func(from string, data []byte) {
		var w quotashare.Message
		if cbor.Unmarshal(data, &w) != nil {
			return
		}
		select {
		case s.queue <- received{from, w}:
		default:
		}
	})
	return s
}

func (s *Service) now() quotashare.Seconds {
	return time.Since(s.startedAt).Seconds() * s.options.ClockRate
}

// ObserveRequest takes a request that the engine reports; ObserveCounterCall and ObserveCounterReply take its calls of the counter.
func (s *Service) ObserveRequest(customer string, first, doors int, quota, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.Step(s.now(), quotashare.Demand{Customer: customer, FirstGateway: first, Gateways: doors, Quota: quota, Units: units})
}

// ObserveCounterCall takes a call of the counter.
func (s *Service) ObserveCounterCall(name string, amount float64, keep decision.Seconds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.Step(s.now(), quotashare.CounterCall{Name: name, Amount: amount, TTL: keep})
}

// Counted tells of its answer. While the counter is not trusted the module hears that it answers, and no total.
func (s *Service) ObserveCounterReply(name string, outcome decision.Outcome, total float64) decision.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := outcome == decision.Succeeded || outcome == decision.Rejected || outcome == decision.Failed
	s.execute(s.allocator.Step(s.now(), quotashare.CounterAnswer{Name: name, Answered: answered, HasTotal: outcome == decision.Succeeded, Total: total}))
	if sound, _ := s.allocator.CounterTrusted(); !sound && outcome == decision.Succeeded {
		return decision.Failed
	}
	return outcome
}

// Run shares until the context ends.
func (s *Service) Run(ctx context.Context, e Engine) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	s.lastTick = time.Since(s.startedAt)
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.queue:
			s.step(e, quotashare.Received{From: w.from, Message: w.message})
		case <-tick.C:
			now := time.Since(s.startedAt)
			if now-s.lastTick > maxTickDelay {
				s.step(e, quotashare.Paused{})
			}
			s.lastTick = now
			if s.options.Gossip.Left() {
				s.step(e, quotashare.NameLost{})
			}
			listed, _ := e.PoolSize()
			s.step(e, quotashare.Tick{Ingresses: s.options.Gossip.MemberNames(), AlivePeers: s.options.Gossip.AliveMembers(), UnhealthyServers: e.UnhealthyServers(), ServerCount: listed})
		}
	}
}

// step has something happen, and carries out what comes of it. The engine is called without the book's mutex: it calls back.
func (s *Service) step(e Engine, event quotashare.Event) {
	s.mu.Lock()
	actions := s.allocator.Step(s.now(), event)
	now := s.now()
	s.mu.Unlock()
	s.execute(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case quotashare.SetGrants:
			all := make([]decision.QuotaGrant, 0, len(a.Grants))
			for _, r := range a.Grants {
				all = append(all, decision.QuotaGrant{Customer: r.Customer, Rate: r.Rate, Less: r.Less, Keep: r.Keep, Scaled: r.Scaled})
			}
			e.SetGrants(all, a.Until-now)
		case quotashare.WarnServers:
			e.SetSuspects(a.Servers)
			s.options.Log.WithFields(logrus.Fields{"code": "share-warned", "servers": a.Servers}).Info("the servers that others find bad have changed")
		}
	}
}

// execute does what needs no engine.
func (s *Service) execute(actions []quotashare.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quotashare.SendMessage:
			if data, err := cbor.Marshal(a.Message); err == nil {
				s.options.Gossip.Send(a.To, quotaTopic, data)
			}
		case quotashare.CounterTrustChanged:
			entry := s.options.Log.WithField("why", a.Reason)
			if a.Trusted {
				entry.WithField("code", "share-counter-trusted").Info("the counter is trusted again: quotas go by its totals")
			} else {
				entry.WithField("code", "share-counter-doubted").Warn("the counter is not trusted: quotas are shared among the ingresses by loans")
			}
		}
	}
}

// Report is what is told of it, as JSON.
type Report struct {
	CounterTrusted bool                `json:"sound"` // the counter is trusted
	Reason         string              `json:"why,omitempty"`
	Rejected       int                 `json:"refused"` // words that changed nothing
	Lent           float64             `json:"given"`   // units a second lent to others, and borrowed
	Borrowed       float64             `json:"taken"`
	WarnedServers  []string            `json:"warned,omitempty"`
	Customers      []quotashare.Status `json:"members,omitempty"`
}

// Report tells; of one member, or of all.
func (s *Service) Report(member string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Rejected: s.allocator.Rejected(), WarnedServers: s.allocator.WarnedServers()}
	r.CounterTrusted, r.Reason = s.allocator.CounterTrusted()
	for _, m := range s.allocator.Customers() {
		for _, p := range m.LentTo {
			r.Lent += p.Rate
		}
		for _, p := range m.BorrowedFrom {
			r.Borrowed += p.Rate
		}
		if member == "" || m.Customer == member {
			r.Customers = append(r.Customers, m)
		}
	}
	return r
}
