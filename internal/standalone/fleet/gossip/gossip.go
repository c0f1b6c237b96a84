// Package gossip lets the ingresses of a fleet know of each other. The protocol is memberlist's (SWIM with Lifeguard, sealed
// with the fleet's keys); what it tells and what is heard beside it goes to membership.View, which concludes. This package
// is the network and the disk around both: sockets, instances of the protocol, the record that is kept.
package gossip

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/fleet/keyring"
	"mulleinrouter/internal/standalone/fleet/membership"
)

const (
	beat      = 100 * time.Millisecond
	stallMost = time.Second            // behind on its beat by more, the process stood still
	bindEvery = 250 * time.Millisecond // tries at an address that an older process of this ingress still has
	diskEvery = time.Second            // tries to keep a count that could not be written
	sayMost   = 256                    // words that wait to be looked at
	linksWait = 700 * time.Millisecond // for rows: an operator's call is answered within 1 s
	rowsMost  = 4                      // rows that are being sent at once
	joinEvery = 2 * time.Second
	exchanges = 2 // of the whole state, each behind joinEvery, once it has joined
	leaveMost = 300 * time.Millisecond

	// DefaultInterval is how often the protocol probes a member.
	DefaultInterval = 300 * time.Millisecond

	suspectFor = 2400 * time.Millisecond
)

// Options are what an ingress is told of its fleet.
type Options struct {
	Fleet, Name, Zone, Version string
	Listen                     string   // host:port; port 0 draws one
	Advertise                  string   // host:port that others are told; empty: what it listens at
	Join                       []string // addresses that are written down
	KeyFile                    string   // empty: neither sealed nor checked
	Interval                   time.Duration
	Expect                     int // members that the configuration names
	Number                     int // of this one among them, from 0
	Seed                       uint64
	Store                      Store // nil: nothing is kept
	Log                        *logrus.Logger

	// Network makes the transport of an instance, and the address that others are told; nil: sockets.
	Network func() (memberlist.NodeAwareTransport, string, error)
}

// Store keeps the record of this ingress where a folder lasts. Write returns once the record is on the disk.
type Store interface {
	Read(v any) error // fs.ErrNotExist: there is none
	Write(v any) error
}

// Record is what is kept: how often a process began under this name, and the last agreed fleet.
type Record struct {
	Boot    uint64              `json:"Boot"`
	Members []membership.Member `json:"Members"`
}

// Fleet is this ingress among the others.
type Fleet struct {
	o     Options
	log   *logrus.Logger
	base  time.Time
	meter meter
	lines *lines
	ring  *memberlist.Keyring // nil: nothing is sealed
	meta  atomic.Pointer[[]byte]
	beat  atomic.Int64 // when the last one was, in ns since base
	inst  atomic.Pointer[instance]

	mu        sync.Mutex // guards what follows
	view      *membership.View
	pending   []membership.Update // in the order they came, of one member the last
	rows      map[uint64]chan *message
	stalls    int
	lost      int  // words that came faster than they were looked at
	down      bool // it left, or stood aside
	joinAt    time.Time
	exchanges int  // of the whole state, behind the first
	joined    bool // this instance of the protocol has had the whole state from somebody
	nonce     uint64

	wake    chan struct{}
	words   chan *message
	stored  chan stored
	store   chan Record
	sending chan struct{}
	streams chan struct{}
	takers  [256]atomic.Pointer[func(from string, data []byte)]
	ending  sync.WaitGroup
	leaving sync.Once
	cancel  context.CancelFunc
	counted bool // the count of this start is on disk: it may be told
}

type stored struct {
	boot uint64
	err  error
}

// instance is one run of the protocol. After a stall there is another.
type instance struct {
	fleet     *Fleet
	list      *memberlist.Memberlist
	transport *transport
	gone      atomic.Bool
}

// Start joins the fleet in the background: an ingress serves whether or not it is heard. The error is one of the key file.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{o: o, log: o.Log, base: time.Now(), rows: map[uint64]chan *message{}, wake: make(chan struct{}, 1), words: make(chan *message, sayMost),
		stored: make(chan stored), store: make(chan Record, 1), sending: make(chan struct{}, rowsMost),
		streams: make(chan struct{}, mostStreams)}
	f.lines = &lines{log: o.Log, refused: &f.meter.refused}
	f.o.Interval = cmp.Or(o.Interval, DefaultInterval)
	if o.KeyFile != "" {
		keys, err := keyring.Read(o.KeyFile)
		if err != nil {
			return nil, err
		}
		if f.ring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
			return nil, fmt.Errorf("%w: %w", keyring.ErrKeys, err)
		}
	}
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	f.nonce = binary.LittleEndian.Uint64(nonce[:])>>1 + 1
	record := f.read()
	self := membership.Member{Name: o.Name, Zone: o.Zone, Version: o.Version, Addr: o.Advertise, Number: o.Number, Incarnation: membership.Incarnation{Boot: record.Boot + 1, Nonce: f.nonce}}
	f.view = membership.New(f.now(), self, o.Expect, record.Members, o.Seed^f.nonce)
	f.tellSelf()
	f.beat.Store(int64(time.Since(f.base)))
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	f.ending.Add(2)
	go func() { defer f.ending.Done(); f.keep(ctx) }()
	go func() { defer f.ending.Done(); f.run(ctx) }()
	return f, nil
}

func (f *Fleet) now() membership.Seconds { return time.Since(f.base).Seconds() }

// read takes the record. One that cannot be read is none: the others know the count, and are asked for it.
func (f *Fleet) read() (r Record) {
	if f.o.Store == nil {
		// Without a folder nothing counts the starts. The time does, unless the clock goes back: then others tell.
		return Record{Boot: uint64(time.Now().Unix())}
	}
	if err := f.o.Store.Read(&r); err != nil && !errors.Is(err, fs.ErrNotExist) {
		f.log.WithField("code", "fleet-record-unusable").WithError(err).Warn("the fleet's record cannot be read; others are asked for the count")
		return Record{}
	}
	return r
}

// keep writes records, one after another: a slow disk must not hold up the beat.
func (f *Fleet) keep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.store:
			wanted := r.Boot
			var was Record
			if f.o.Store.Read(&was) == nil {
				r.Boot = max(r.Boot, was.Boot) // a newer process of this ingress counted on: its count is not taken back
			}
			err := f.o.Store.Write(r)
			select {
			case f.stored <- stored{wanted, err}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// run owns the instances of the protocol, and brings all that happens to the view.
func (f *Fleet) run(ctx context.Context) {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	defer f.stop()
	trouble, writing := false, false
	var wanted *uint64 // a count that is to be on disk before it is told
	var diskAt, bindAt time.Time
	want := func(boot uint64) { wanted, diskAt = &boot, time.Time{} }
	write := func(boot uint64) {
		f.mu.Lock()
		r := Record{Boot: boot, Members: f.view.AgreedMembers()}
		f.mu.Unlock()
		f.store <- r
		writing = true
	}
	f.mu.Lock()
	first := f.view.Self().Boot
	f.mu.Unlock()
	if f.o.Store == nil {
		f.counted = true
	} else {
		want(first)
	}
	dirty := false
	for {
		var actions []membership.Action
		select {
		case <-ctx.Done():
			return
		case s := <-f.stored:
			writing = false
			if s.err != nil {
				if !trouble {
					f.log.WithField("code", "fleet-disk").WithError(s.err).Error("the fleet's record cannot be written; a count that is not on disk is not told")
				}
				trouble = true
				break
			}
			if trouble {
				f.log.WithField("code", "fleet-disk-usable").Info("the fleet's record can be written again")
			}
			trouble = false
			if wanted != nil && s.boot == *wanted {
				wanted = nil
				f.counts(s.boot)
			}
		case <-f.wake:
			actions = f.take()
		case m := <-f.words:
			actions = f.hear(m)
		case <-tick.C:
			now := time.Since(f.base)
			if gap := now - time.Duration(f.beat.Load()); gap > stallMost {
				f.stalled(gap)
			}
			f.beat.Store(int64(now))
			actions = f.step(membership.Tick{})
			if !writing && time.Now().After(diskAt) {
				diskAt = time.Now().Add(diskEvery)
				if wanted != nil {
					write(*wanted)
				} else if dirty && f.o.Store != nil {
					dirty = false
					write(f.Self().Boot)
				}
			}
			if f.counted && f.inst.Load() == nil && !f.isDown() && time.Now().After(bindAt) {
				bindAt = time.Now().Add(bindEvery)
				f.begin()
			}
			f.join()
		}
		for _, a := range actions {
			switch a := a.(type) {
			case membership.RaiseIncarnation:
				f.log.WithFields(logrus.Fields{"code": "fleet-count-raised", "boot": a.Boot}).Warn("others know a later start under this name: this one's count is raised")
				if f.o.Store == nil {
					f.counts(a.Boot)
				} else {
					want(a.Boot)
				}
			case membership.PersistView:
				dirty = true
			default:
				f.carry(a)
			}
		}
	}
}

// counts has a count that is on disk hold.
func (f *Fleet) counts(boot uint64) {
	f.mu.Lock()
	if f.view.Self().Boot != boot {
		f.view.SetIncarnation(membership.Incarnation{Boot: boot, Nonce: f.nonce})
	}
	f.tellSelf()
	f.mu.Unlock()
	f.counted = true
	f.announce()
}

// step gives an event to the view.
func (f *Fleet) step(e membership.Event) []membership.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Step(f.now(), e)
}

// take brings what the protocol told to the view.
func (f *Fleet) take() (actions []membership.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.still() {
		f.pending = nil // told by timers that ran out while this process stood still
		return nil
	}
	for _, t := range f.pending {
		actions = append(actions, f.view.Step(f.now(), t)...)
	}
	f.pending = nil
	return actions
}

// hear goes by a message.
func (f *Fleet) hear(m *message) []membership.Action {
	switch m.Kind {
	case word:
		return f.step(m.wordOf())
	case rowAsk:
		f.answerRow(m)
	case row:
		f.mu.Lock()
		if wait := f.rows[m.Ask]; wait != nil && len(m.Row) <= membership.MaxMembers {
			select {
			case wait <- m:
			default:
			}
		}
		f.mu.Unlock()
	}
	return nil
}

// carry does what the view wants.
func (f *Fleet) carry(a membership.Action) {
	switch a := a.(type) {
	case membership.SendMessage:
		if i := f.inst.Load(); i != nil {
			i.send(a.To, a.Addr, messageOf(a.Message))
		}
	case membership.Rejoin:
		if i := f.inst.Load(); i != nil {
			go i.list.Join([]string{a.Addr})
		}
	case membership.NameConflict:
		f.log.WithFields(logrus.Fields{"code": "fleet-name-twice", "boot": a.Winner.Boot}).Error("another process began under this ingress's name: this one leaves the fleet and serves on alone")
		f.mu.Lock()
		f.down = true
		f.mu.Unlock()
		f.stop()
	case membership.ViewChanged:
		c := a.Change
		entry := f.log.WithFields(logrus.Fields{"view": c.View, "member": c.Name})
		if a.Reachability {
			j := f.Judgement()
			entry.WithFields(logrus.Fields{"code": "fleet-judgement", "judgement": c.What, "heard": j.Alive, "agreed": j.Agreed}).Warn("how much of the fleet is heard has changed")
			break
		}
		entry.WithFields(logrus.Fields{"code": "fleet-member", "change": c.What, "state": c.To.String(), "was": c.From.String(), "boot": c.Boot}).Info("the view of the fleet has changed")
	}
}

// still tells whether this process has stood still and has not noticed: nothing that timers concluded counts.
func (f *Fleet) still() bool { return time.Since(f.base)-time.Duration(f.beat.Load()) > stallMost }

// stalled begins anew: the protocol's timers ran out while others could not answer.
func (f *Fleet) stalled(gap time.Duration) {
	f.log.WithFields(logrus.Fields{"code": "fleet-stalled", "for": gap.Seconds()}).Warn("this process stood still: what it did not hear meanwhile counts for nothing")
	if i := f.inst.Swap(nil); i != nil {
		i.gone.Store(true)
		go i.list.Shutdown()
	}
	f.mu.Lock()
	f.stalls++
	f.pending = nil
	f.mu.Unlock()
	for len(f.words) > 0 { // they were sent before, and their senders asked again since
		<-f.words
	}
	f.step(membership.Paused{Duration: gap.Seconds()})
}

// tellSelf renews what this member says of itself. The mutex is held.
func (f *Fleet) tellSelf() {
	s := f.view.Self()
	b := encode(about{Claim: pairOf(s.Incarnation), Zone: s.Zone, Version: s.Version, Phase: s.Phase, Number: s.Number})
	f.meta.Store(&b)
}

// announce has the others hear what this member says of itself.
func (f *Fleet) announce() {
	if i := f.inst.Load(); i != nil {
		go i.list.UpdateNode(time.Second)
	}
}

// Phase tells the fleet where this process is in its life.
func (f *Fleet) Phase(p membership.Phase) {
	f.mu.Lock()
	if f.view.Self().Phase == p || f.down {
		f.mu.Unlock()
		return
	}
	f.view.Step(f.now(), membership.PhaseChanged{Phase: p})
	f.tellSelf()
	f.mu.Unlock()
	f.announce()
}

// Leave says goodbye, so that nobody looks for this member. handOver: a newer process of this ingress takes the name over,
// and nothing is said: to the others it is one member that began anew.
// A second call waits for the first.
func (f *Fleet) Leave(handOver bool) {
	f.leaving.Do(func() {
		f.mu.Lock()
		was := f.down
		f.down = true
		f.mu.Unlock()
		if i := f.inst.Load(); i != nil && !was && !handOver {
			i.list.Leave(leaveMost)
			time.Sleep(f.o.Interval / 2) // its last packets carry the goodbye further
		}
		f.stop()
	})
}

// Stop ends all that this package started.
func (f *Fleet) Stop() {
	f.cancel()
	f.ending.Wait()
}

// Reload reads the key file again. One that cannot be used changes nothing.
func (f *Fleet) Reload() error {
	if f.ring == nil {
		return nil
	}
	keys, err := keyring.Read(f.o.KeyFile)
	if err != nil {
		return err
	}
	return rotate(f.ring, keys)
}

// Self is what this ingress says of itself.
func (f *Fleet) Self() membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Self()
}

// Judgement is how much of the fleet this ingress hears, and until when that may be believed. A process that stands still
// and has not noticed is cut off.
func (f *Fleet) Judgement() membership.Reachability {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.view.Reachability(f.now())
	if f.still() {
		j.Level = membership.Partitioned
	}
	return j
}

// Rank is this ingress's place among the living, for taking turns; a hint.
func (f *Fleet) Rank() (rank, of int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Rank()
}
