package quotasync

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/quotashare"
)

const (
	quotaTopic gossip.Topic = 10 // for quotashare.Message

	tickInterval = 100 * time.Millisecond // time between two ticks of the allocator
	maxTickDelay = time.Second            // a longer time between two ticks means that the process was suspended
	queueLength  = 1024                   // messages; further ones are dropped, like messages that the network loses
)

// Gossip is the part of the fleet's gossip that the service uses.
type Gossip interface {
	Send(name string, topic gossip.Topic, data []byte)
	Handle(topic gossip.Topic, handler func(from string, data []byte))
	AliveMembers() []string
	MemberNames() map[int]string
	Left() bool // whether this process has left the fleet, or another process uses its name
}

// Engine enforces the grants and warnings, and knows the health of servers.
type Engine interface {
	// SetGrants replaces all grants. They expire after the lease.
	SetGrants(all []decision.QuotaGrant, lease decision.Seconds)
	// SetSuspects replaces the servers that other ingresses find unhealthy.
	SetSuspects(servers []string)
	// UnhealthyServers returns the servers that this ingress itself finds unhealthy.
	UnhealthyServers() []string
	// PoolSize returns the number of servers in the endpoint list, and how many of these the engine avoids now.
	PoolSize() (listed, avoided int)
}

// Options are the options of a Service.
type Options struct {
	quotashare.Options
	Gossip    Gossip
	ClockRate float64 // seconds of the service's clock per second: 1, except in fault tests of clock drift
	Log       log.Logger
}

// Service runs the allocator of one ingress. It implements engine.QuotaSharer and is safe for concurrent use.
type Service struct {
	options   Options
	startedAt time.Time
	queue     chan quotashare.Received

	mu        sync.Mutex // guards allocator
	allocator *quotashare.Allocator
}

// New returns a service that queues received messages. It applies them and sends messages only during Run.
func New(o Options) *Service {
	s := &Service{
		options:   o,
		startedAt: time.Now(),
		queue:     make(chan quotashare.Received, queueLength),
		allocator: quotashare.New(0, o.Options),
	}
	o.Gossip.Handle(quotaTopic, s.enqueue)
	return s
}

// enqueue queues a message of another ingress without blocking. The message is dropped if it can't be decoded or the
// queue is full.
func (s *Service) enqueue(from string, data []byte) {
	var m quotashare.Message
	if cbor.Unmarshal(data, &m) != nil {
		return
	}
	select {
	case s.queue <- quotashare.Received{From: from, Message: m}:
	default:
	}
}

func (s *Service) now() quotashare.Seconds {
	return time.Since(s.startedAt).Seconds() * s.options.ClockRate
}

// ObserveRequest reports a request of a customer, with the index of the customer's first gateway, the number of its
// gateways, its quota in units a second, and the units of the request.
func (s *Service) ObserveRequest(customer string, firstGateway, gateways int, quota, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.Step(s.now(), quotashare.Demand{
		Customer:     customer,
		FirstGateway: firstGateway,
		Gateways:     gateways,
		Quota:        quota,
		Units:        units,
	})
}

// ObserveCounterCall reports the start of a call to the counter. ttl is how long the counter keeps the name.
func (s *Service) ObserveCounterCall(name string, amount float64, ttl decision.Seconds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.Step(s.now(), quotashare.CounterCall{Name: name, Amount: amount, TTL: ttl})
}

// ObserveCounterReply reports the outcome of a call to the counter, and returns the outcome that the decision module
// must use: while the counter is not trusted, a call that returned a total counts as failed.
func (s *Service) ObserveCounterReply(name string, outcome decision.Outcome, total float64) decision.Outcome {
	succeeded := outcome == decision.Succeeded
	answer := quotashare.CounterAnswer{
		Name:     name,
		Answered: succeeded || outcome == decision.Rejected || outcome == decision.Failed,
		HasTotal: succeeded,
		Total:    total,
	}
	s.mu.Lock()
	actions := s.allocator.Step(s.now(), answer)
	trusted, _ := s.allocator.CounterTrusted()
	s.mu.Unlock()
	s.execute(actions)
	if !trusted && succeeded {
		return decision.Failed
	}
	return outcome
}

// Run applies messages and ticks until the context ends.
func (s *Service) Run(ctx context.Context, e Engine) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := time.Since(s.startedAt)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			s.step(e, m)
		case <-ticker.C:
			now := time.Since(s.startedAt)
			if now-lastTick > maxTickDelay {
				s.step(e, quotashare.Paused{})
			}
			lastTick = now
			s.tick(e)
		}
	}
}

func (s *Service) tick(e Engine) {
	if s.options.Gossip.Left() {
		s.step(e, quotashare.NameLost{})
	}
	servers, _ := e.PoolSize()
	s.step(e, quotashare.Tick{
		Ingresses:        s.options.Gossip.MemberNames(),
		AlivePeers:       s.options.Gossip.AliveMembers(),
		UnhealthyServers: e.UnhealthyServers(),
		ServerCount:      servers,
	})
}

// step applies an event and carries out its actions. The mutex is not held while actions are carried out, because the
// engine calls back into the service.
func (s *Service) step(e Engine, event quotashare.Event) {
	s.mu.Lock()
	actions := s.allocator.Step(s.now(), event)
	now := s.now()
	s.mu.Unlock()
	s.execute(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case quotashare.SetGrants:
			e.SetGrants(a.Grants, a.Until-now)
		case quotashare.WarnServers:
			e.SetSuspects(a.Servers)
			level.Info(s.options.Log).Log("msg", "the servers that other ingresses find unhealthy have changed",
				"code", "share-warned", "servers", a.Servers,
			)
		}
	}
}

func (s *Service) logCounterTrust(change quotashare.CounterTrustChanged) {
	logger := log.With(s.options.Log, "why", change.Reason)
	if change.Trusted {
		level.Info(logger).Log("msg", "the counter is trusted again: quotas are enforced by its totals",
			"code", "share-counter-trusted",
		)
		return
	}
	level.Warn(logger).Log("msg", "the counter is not trusted: quotas are enforced by leased grants",
		"code", "share-counter-doubted",
	)
}

// execute carries out the actions that don't need the engine.
func (s *Service) execute(actions []quotashare.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quotashare.SendMessage:
			if data, err := cbor.Marshal(a.Message); err == nil {
				s.options.Gossip.Send(a.To, quotaTopic, data)
			}
		case quotashare.CounterTrustChanged:
			s.logCounterTrust(a)
		}
	}
}
