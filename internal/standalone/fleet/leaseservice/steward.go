// Package leaseservice does the duties of an ingress: it asks the voters for those that this ingress would do, is one of the voters
// where the configuration names it, and runs the work of a duty for as long as it is held. What decides is duty and quorum;
// this package is the clock, the fleet's messages and the disk round them.
package leaseservice

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/fleet/quorum/boltstore"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// Topics of messages between ingresses.
const (
	topicVote            gossip.Topic = 1 // among voters
	topicAcquireRequest  gossip.Topic = 2 // duty.Ask
	topicAcquireResponse gossip.Topic = 3 // duty.Answer
	topicWake            gossip.Topic = 4
	topicCall            gossip.Topic = 5 // operators' calls, to whoever leads
	topicCallResponse    gossip.Topic = 6 // the answer
	topicExport          gossip.Topic = 7 // a batch of use, to the holder of its export
	topicExportResponse  gossip.Topic = 8
)

const (
	tickInterval   = 100 * time.Millisecond
	stallThreshold = time.Second
	inboxSize      = 1024 // messages that wait; more are lost, as on the network
	callTimeout    = 800 * time.Millisecond
)

// Fleet is what a steward needs of membership.
type Fleet interface {
	Self() membership.Member
	Send(name string, topic gossip.Topic, data []byte)
	Handle(topic gossip.Topic, take func(from string, data []byte))
}

// Options say what a steward is.
type Options struct {
	Fleet  Fleet
	Zone   string
	Voters []string // by name
	Dir    string   // where this ingress keeps its votes, if it is a voter
	Log    *logrus.Logger

	ClockRate   float64                         // seconds of its clock a second: a rehearsal has it run fast or slow; 0: 1
	WrapStore   func(quorum.Store) quorum.Store // a rehearsal has it fail; nil: as it is
	StoreRecord func(Record) error              // replaces the record on disk, and returns once it is there
}

// Steward is the one of an ingress.
type Service struct {
	options    Options
	startedAt  time.Time
	inbox      chan incoming
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu              sync.Mutex // guards what follows
	leaseHolder     *singleton.LeaseHolder
	voter           *quorum.Voter // nil: no voter
	store           *boltstore.Store
	roles           map[string]*role
	roleStatus      map[string]singleton.RoleStatus // the last answer
	lastTick        time.Duration
	identity        singleton.Identity
	voterState      string
	billingEndpoint string

	unreachableSince time.Time  // since when billing is not reached; zero: it was, last
	unreachable      chan error // it was not for too long

	drained         bool          // operators have it do nothing
	recordFailed    bool          // its record cannot be written
	recordCheckedAt time.Duration // when it was last written, or found to be

	pendingCalls sync.Map // of calls and posts, by number
}

// Start begins. A voter whose folder cannot be used says so, and the rest goes on.
func Start(o Options) *Service {
	s := &Service{options: o, startedAt: time.Now(), inbox: make(chan incoming, inboxSize), roles: map[string]*role{}, roleStatus: map[string]singleton.RoleStatus{}, unreachable: make(chan error, 1)}
	self := o.Fleet.Self()
	s.leaseHolder = singleton.NewLeaseHolder(claimant(self), o.Zone)
	if slices.Contains(o.Voters, self.Name) {
		s.store = &boltstore.Store{Path: filepath.Join(o.Dir, "votes.db")}
		var votes quorum.Store = s.store
		if o.WrapStore != nil {
			votes = o.WrapStore(votes)
		}
		core, err := quorum.Open(self.Name, o.Voters, votes, uint64(time.Now().Unix())<<20)
		if err != nil {
			o.Log.WithField("code", "duty-voter-unusable").WithError(err).Error("this voter does not vote: its folder cannot be used")
		}
		s.voter = core
	}
	for _, t := range []gossip.Topic{topicVote, topicAcquireRequest, topicAcquireResponse, topicWake, topicCall, topicCallResponse, topicExport, topicExportResponse} {
		o.Fleet.Handle(t, func(from string, data []byte) {
			select {
			case s.inbox <- incoming{t, from, data}:
			default:
			}
		})
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Add(1)
	go func() { defer s.goroutines.Done(); s.run(ctx) }()
	if o.StoreRecord != nil {
		s.goroutines.Add(1)
		go func() { defer s.goroutines.Done(); s.storeRecords(ctx) }()
	}
	return s
}

func claimant(m membership.Member) singleton.Identity {
	return singleton.Identity{Name: m.Name, Boot: m.Boot, Nonce: m.Nonce}
}

func (s *Service) now() singleton.Seconds {
	return time.Since(s.startedAt).Seconds() * cmp.Or(s.options.ClockRate, 1)
}

// Do has this ingress want a duty, and run its work while it is held.
func (s *Service) AddRole(name, zone string, w Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roles[name] = &role{run: w, preferredZone: zone}
	s.acquireAll()
}

// want asks for all duties that this ingress may do. The mutex is held.
func (s *Service) acquireAll() {
	if s.drained || s.recordFailed {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.roles)) {
		s.execute(s.leaseHolder.Step(s.now(), singleton.Acquire{Role: name, PreferredZone: s.roles[name].preferredZone}))
	}
}

// Resign gives all duties up: this process goes. It waits until their work has stopped, and the voters were told once.
func (s *Service) Resign() {
	s.mu.Lock()
	s.drained = true
	ended := s.resignAll()
	s.mu.Unlock()
	for _, e := range ended {
		select {
		case <-e:
		case <-time.After(time.Second): // its token is refused before long
		}
	}
}

// resign gives all up, and tells when their work has ended. The mutex is held.
func (s *Service) resignAll() (ended []chan struct{}) {
	for _, name := range slices.Sorted(maps.Keys(s.roles)) {
		if w := s.roles[name]; w.cancel != nil {
			w.cancel()
			ended = append(ended, w.ended)
		}
		s.execute(s.leaseHolder.Step(s.now(), singleton.Resign{Role: name}))
	}
	return ended
}

// Rejoin has it want again what it resigned.
func (s *Service) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = false
	s.acquireAll()
}

// prove writes the record, over and over: more often where this ingress holds something.
func (s *Service) storeRecords(ctx context.Context) {
	tick := time.NewTicker(recordInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		s.mu.Lock()
		r := Record{Name: s.options.Fleet.Self().Name, Boot: s.options.Fleet.Self().Boot, Tokens: map[string]uint64{}}
		for name := range s.roles {
			if token, ok := s.leaseHolder.FencingToken(s.now(), name); ok {
				r.Tokens[name] = token
			}
		}
		s.mu.Unlock()
		if len(r.Tokens) > 0 || n%idleRecordTicks == 0 {
			s.recordStored(s.options.StoreRecord(r))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

const (
	recordInterval  = 500 * time.Millisecond
	idleRecordTicks = 4 // of these, where it holds nothing
	recordTimeout   = 2 * time.Second
)

// room goes by whether the record could be written.
func (s *Service) recordStored(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCheckedAt = time.Since(s.startedAt)
	switch {
	case err != nil && !s.recordFailed:
		s.recordFailed = true
		s.options.Log.WithField("code", "duty-no-room").WithError(err).Error("the record of duties cannot be written: this ingress gives up what it holds, and takes nothing until it can")
		s.resignAll()
	case err == nil && s.recordFailed:
		s.recordFailed = false
		s.options.Log.WithField("code", "duty-room").Info("the record of duties can be written again")
		s.acquireAll()
	}
}

// Stop ends it.
func (s *Service) Stop() {
	s.cancel()
	s.goroutines.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.roles {
		if w.cancel != nil {
			w.cancel()
		}
	}
	if s.store != nil {
		s.store.Close()
	}
}

// May tells whether this ingress holds a duty now, and under which token.
func (s *Service) FencingToken(name string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseHolder.FencingToken(s.now(), name)
}

func (s *Service) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	s.lastTick = time.Since(s.startedAt)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox:
			s.handleMessage(m)
		case <-tick.C:
			s.tick()
		}
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.startedAt)
	if now-s.lastTick > stallThreshold {
		s.execute(s.leaseHolder.Step(s.now(), singleton.StallDetected{}))
	}
	s.lastTick = now
	if c := claimant(s.options.Fleet.Self()); c != s.identity {
		s.leaseHolder.SetIdentity(c)
		s.identity = c
	}
	if s.voter != nil {
		s.voter.Reopen(s.now())
		s.deliver(s.voter.Tick(s.now()))
		st := s.voter.Status()
		if text := fmt.Sprint(st.State, st.Leader, st.Voters); text != s.voterState {
			s.voterState = text
			s.options.Log.WithFields(logrus.Fields{"code": "duty-voter", "state": string(st.State), "leader": st.Leader, "voters": fmt.Sprint(st.Voters), "why": st.Reason}).Info("what this voter is has changed")
		}
	}
	if s.options.StoreRecord != nil && now-s.recordCheckedAt > recordTimeout+idleRecordTicks*recordInterval && !s.recordFailed {
		s.recordFailed = true // a disk that hangs says nothing
		s.options.Log.WithField("code", "duty-no-room").Error("the record of duties is not written in time: this ingress gives up what it holds, and takes nothing until it is")
		s.resignAll()
	}
	s.execute(s.leaseHolder.Step(s.now(), singleton.LeaseHolderTick{}))
}
