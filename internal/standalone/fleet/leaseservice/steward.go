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
	topicVote   gossip.Topic = 1 // among voters
	topicAsk    gossip.Topic = 2 // duty.Ask
	topicAnswer gossip.Topic = 3 // duty.Answer
	topicNudge  gossip.Topic = 4
	topicCall   gossip.Topic = 5 // operators' calls, to whoever leads
	topicTold   gossip.Topic = 6 // the answer
	topicPost   gossip.Topic = 7 // a batch of use, to the holder of its export
	topicPosted gossip.Topic = 8
)

const (
	beat      = 100 * time.Millisecond
	stallMost = time.Second
	queueMost = 1024 // messages that wait; more are lost, as on the network
	callMost  = 800 * time.Millisecond
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

	Clock float64                         // seconds of its clock a second: a rehearsal has it run fast or slow; 0: 1
	Votes func(quorum.Store) quorum.Store // a rehearsal has it fail; nil: as it is
	Keep  func(Record) error              // replaces the record on disk, and returns once it is there
}

// Steward is the one of an ingress.
type Steward struct {
	o      Options
	base   time.Time
	in     chan incoming
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex // guards what follows
	holder  *singleton.LeaseHolder
	core    *quorum.Core // nil: no voter
	store   *boltstore.Store
	works   map[string]*work
	known   map[string]singleton.RoleStatus // the last answer
	beatAt  time.Duration
	self    singleton.Identity
	state   string
	billing string

	failing   time.Time  // since when billing is not reached; zero: it was, last
	unreached chan error // it was not for too long

	drained  bool          // operators have it do nothing
	roomless bool          // its record cannot be written
	keptAt   time.Duration // when it was last written, or found to be

	waits sync.Map // of calls and posts, by number
}

// Start begins. A voter whose folder cannot be used says so, and the rest goes on.
func Start(o Options) *Steward {
	s := &Steward{o: o, base: time.Now(), in: make(chan incoming, queueMost), works: map[string]*work{}, known: map[string]singleton.RoleStatus{}, unreached: make(chan error, 1)}
	self := o.Fleet.Self()
	s.holder = singleton.NewLeaseHolder(claimant(self), o.Zone)
	if slices.Contains(o.Voters, self.Name) {
		s.store = &boltstore.Store{Path: filepath.Join(o.Dir, "votes.db")}
		var votes quorum.Store = s.store
		if o.Votes != nil {
			votes = o.Votes(votes)
		}
		core, err := quorum.Open(self.Name, o.Voters, votes, uint64(time.Now().Unix())<<20)
		if err != nil {
			o.Log.WithField("code", "duty-voter-unusable").WithError(err).Error("this voter does not vote: its folder cannot be used")
		}
		s.core = core
	}
	for _, t := range []gossip.Topic{topicVote, topicAsk, topicAnswer, topicNudge, topicCall, topicTold, topicPost, topicPosted} {
		o.Fleet.Handle(t, func(from string, data []byte) {
			select {
			case s.in <- incoming{t, from, data}:
			default:
			}
		})
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Add(1)
	go func() { defer s.done.Done(); s.run(ctx) }()
	if o.Keep != nil {
		s.done.Add(1)
		go func() { defer s.done.Done(); s.prove(ctx) }()
	}
	return s
}

func claimant(m membership.Member) singleton.Identity {
	return singleton.Identity{Name: m.Name, Boot: m.Boot, Nonce: m.Nonce}
}

func (s *Steward) now() singleton.Seconds {
	return time.Since(s.base).Seconds() * cmp.Or(s.o.Clock, 1)
}

// Do has this ingress want a duty, and run its work while it is held.
func (s *Steward) Do(name, zone string, w Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.works[name] = &work{do: w, zone: zone}
	s.want()
}

// want asks for all duties that this ingress may do. The mutex is held.
func (s *Steward) want() {
	if s.drained || s.roomless {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.works)) {
		s.carry(s.holder.Step(s.now(), singleton.Acquire{Role: name, PreferredZone: s.works[name].zone}))
	}
}

// Resign gives all duties up: this process goes. It waits until their work has stopped, and the voters were told once.
func (s *Steward) Resign() {
	s.mu.Lock()
	s.drained = true
	ended := s.resign()
	s.mu.Unlock()
	for _, e := range ended {
		select {
		case <-e:
		case <-time.After(time.Second): // its token is refused before long
		}
	}
}

// resign gives all up, and tells when their work has ended. The mutex is held.
func (s *Steward) resign() (ended []chan struct{}) {
	for _, name := range slices.Sorted(maps.Keys(s.works)) {
		if w := s.works[name]; w.cancel != nil {
			w.cancel()
			ended = append(ended, w.ended)
		}
		s.carry(s.holder.Step(s.now(), singleton.Resign{Role: name}))
	}
	return ended
}

// Rejoin has it want again what it resigned.
func (s *Steward) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = false
	s.want()
}

// prove writes the record, over and over: more often where this ingress holds something.
func (s *Steward) prove(ctx context.Context) {
	tick := time.NewTicker(proveEvery)
	defer tick.Stop()
	for n := 0; ; n++ {
		s.mu.Lock()
		r := Record{Name: s.o.Fleet.Self().Name, Boot: s.o.Fleet.Self().Boot, Tokens: map[string]uint64{}}
		for name := range s.works {
			if token, ok := s.holder.FencingToken(s.now(), name); ok {
				r.Tokens[name] = token
			}
		}
		s.mu.Unlock()
		if len(r.Tokens) > 0 || n%proveSeldom == 0 {
			s.room(s.o.Keep(r))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

const (
	proveEvery  = 500 * time.Millisecond
	proveSeldom = 4 // of these, where it holds nothing
	proveMost   = 2 * time.Second
)

// room goes by whether the record could be written.
func (s *Steward) room(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keptAt = time.Since(s.base)
	switch {
	case err != nil && !s.roomless:
		s.roomless = true
		s.o.Log.WithField("code", "duty-no-room").WithError(err).Error("the record of duties cannot be written: this ingress gives up what it holds, and takes nothing until it can")
		s.resign()
	case err == nil && s.roomless:
		s.roomless = false
		s.o.Log.WithField("code", "duty-room").Info("the record of duties can be written again")
		s.want()
	}
}

// Stop ends it.
func (s *Steward) Stop() {
	s.cancel()
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.works {
		if w.cancel != nil {
			w.cancel()
		}
	}
	if s.store != nil {
		s.store.Close()
	}
}

// May tells whether this ingress holds a duty now, and under which token.
func (s *Steward) May(name string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.FencingToken(s.now(), name)
}

func (s *Steward) run(ctx context.Context) {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	s.beatAt = time.Since(s.base)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.in:
			s.take(m)
		case <-tick.C:
			s.tick()
		}
	}
}

func (s *Steward) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.base)
	if now-s.beatAt > stallMost {
		s.carry(s.holder.Step(s.now(), singleton.StallDetected{}))
	}
	s.beatAt = now
	if c := claimant(s.o.Fleet.Self()); c != s.self {
		s.holder.SetIdentity(c)
		s.self = c
	}
	if s.core != nil {
		s.core.Resume(s.now())
		s.out(s.core.Tick(s.now()))
		st := s.core.Status()
		if text := fmt.Sprint(st.State, st.Leader, st.Voters); text != s.state {
			s.state = text
			s.o.Log.WithFields(logrus.Fields{"code": "duty-voter", "state": string(st.State), "leader": st.Leader, "voters": fmt.Sprint(st.Voters), "why": st.Why}).Info("what this voter is has changed")
		}
	}
	if s.o.Keep != nil && now-s.keptAt > proveMost+proveSeldom*proveEvery && !s.roomless {
		s.roomless = true // a disk that hangs says nothing
		s.o.Log.WithField("code", "duty-no-room").Error("the record of duties is not written in time: this ingress gives up what it holds, and takes nothing until it is")
		s.resign()
	}
	s.carry(s.holder.Step(s.now(), singleton.LeaseHolderTick{}))
}
