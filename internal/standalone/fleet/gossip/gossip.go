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
	tickInterval       = 100 * time.Millisecond
	maxTickDelay       = time.Second            // behind on its beat by more, the process stood still
	bindRetryInterval  = 250 * time.Millisecond // tries at an address that an older process of this ingress still has
	writeRetryInterval = time.Second            // tries to keep a count that could not be written
	messageQueueLength = 256                    // words that wait to be looked at
	linksTimeout       = 700 * time.Millisecond // for rows: an operator's call is answered within 1 s
	maxLinksResponses  = 4                      // rows that are being sent at once
	joinInterval       = 2 * time.Second
	stateExchanges     = 2 // of the whole state, each behind joinEvery, once it has joined
	leaveTimeout       = 300 * time.Millisecond

	// DefaultInterval is how often the protocol probes a member.
	DefaultInterval = 300 * time.Millisecond

	suspicionTimeout = 2400 * time.Millisecond
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
	options     Options
	log         *logrus.Logger
	startedAt   time.Time
	meter       meter
	protocolLog *protocolLog
	keyring     *memberlist.Keyring // nil: nothing is sealed
	metadata    atomic.Pointer[[]byte]
	lastTick    atomic.Int64 // when the last one was, in ns since base
	instance    atomic.Pointer[instance]

	mu             sync.Mutex // guards what follows
	view           *membership.View
	pendingUpdates []membership.Update // in the order they came, of one member the last
	linksQueries   map[uint64]chan *message
	pauses         int
	dropped        int  // words that came faster than they were looked at
	left           bool // it left, or stood aside
	nextJoinAt     time.Time
	exchangesDone  int  // of the whole state, behind the first
	joined         bool // this instance of the protocol has had the whole state from somebody
	nonce          uint64

	updatesReady      chan struct{}
	messages          chan *message
	written           chan writeResult
	records           chan Record
	linksResponses    chan struct{}
	streams           chan struct{}
	handlers          [256]atomic.Pointer[func(from string, data []byte)]
	goroutines        sync.WaitGroup
	leaveOnce         sync.Once
	cancel            context.CancelFunc
	incarnationStored bool // the count of this start is on disk: it may be told
}

type writeResult struct {
	boot uint64
	err  error
}

// instance is one run of the protocol. After a stall there is another.
type instance struct {
	fleet      *Fleet
	memberlist *memberlist.Memberlist
	transport  *transport
	closed     atomic.Bool
}

// Start joins the fleet in the background: an ingress serves whether or not it is heard. The error is one of the key file.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{options: o, log: o.Log, startedAt: time.Now(), linksQueries: map[uint64]chan *message{}, updatesReady: make(chan struct{}, 1), messages: make(chan *message, messageQueueLength),
		written: make(chan writeResult), records: make(chan Record, 1), linksResponses: make(chan struct{}, maxLinksResponses),
		streams: make(chan struct{}, maxStreams)}
	f.protocolLog = &protocolLog{log: o.Log, refused: &f.meter.rejected}
	f.options.Interval = cmp.Or(o.Interval, DefaultInterval)
	if o.KeyFile != "" {
		keys, err := keyring.Read(o.KeyFile)
		if err != nil {
			return nil, err
		}
		if f.keyring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
			return nil, fmt.Errorf("%w: %w", keyring.ErrKeys, err)
		}
	}
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	f.nonce = binary.LittleEndian.Uint64(nonce[:])>>1 + 1
	record := f.readRecord()
	self := membership.Member{Name: o.Name, Zone: o.Zone, Version: o.Version, Addr: o.Advertise, Number: o.Number, Incarnation: membership.Incarnation{Boot: record.Boot + 1, Nonce: f.nonce}}
	f.view = membership.New(f.now(), self, o.Expect, record.Members, o.Seed^f.nonce)
	f.updateMetadata()
	f.lastTick.Store(int64(time.Since(f.startedAt)))
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	f.goroutines.Add(2)
	go func() { defer f.goroutines.Done(); f.writeRecords(ctx) }()
	go func() { defer f.goroutines.Done(); f.run(ctx) }()
	return f, nil
}

func (f *Fleet) now() membership.Seconds { return time.Since(f.startedAt).Seconds() }

// readRecord takes the record. One that cannot be read is none: the others know the count, and are asked for it.
func (f *Fleet) readRecord() (r Record) {
	if f.options.Store == nil {
		// Without a folder nothing counts the starts. The time does, unless the clock goes back: then others tell.
		return Record{Boot: uint64(time.Now().Unix())}
	}
	if err := f.options.Store.Read(&r); err != nil && !errors.Is(err, fs.ErrNotExist) {
		f.log.WithField("code", "fleet-record-unusable").WithError(err).Warn("the fleet's record cannot be read; others are asked for the count")
		return Record{}
	}
	return r
}

// writeRecords writes records, one after another: a slow disk must not hold up the beat.
func (f *Fleet) writeRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.records:
			wanted := r.Boot
			var was Record
			if f.options.Store.Read(&was) == nil {
				r.Boot = max(r.Boot, was.Boot) // a newer process of this ingress counted on: its count is not taken back
			}
			err := f.options.Store.Write(r)
			select {
			case f.written <- writeResult{wanted, err}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// run owns the instances of the protocol, and brings all that happens to the view.
func (f *Fleet) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer f.stopInstance()
	trouble, writing := false, false
	var wanted *uint64 // a count that is to be on disk before it is told
	var diskAt, bindAt time.Time
	want := func(boot uint64) { wanted, diskAt = &boot, time.Time{} }
	write := func(boot uint64) {
		f.mu.Lock()
		r := Record{Boot: boot, Members: f.view.AgreedMembers()}
		f.mu.Unlock()
		f.records <- r
		writing = true
	}
	f.mu.Lock()
	first := f.view.Self().Boot
	f.mu.Unlock()
	if f.options.Store == nil {
		f.incarnationStored = true
	} else {
		want(first)
	}
	dirty := false
	for {
		var actions []membership.Action
		select {
		case <-ctx.Done():
			return
		case s := <-f.written:
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
				f.activateIncarnation(s.boot)
			}
		case <-f.updatesReady:
			actions = f.applyUpdates()
		case m := <-f.messages:
			actions = f.receive(m)
		case <-tick.C:
			now := time.Since(f.startedAt)
			if gap := now - time.Duration(f.lastTick.Load()); gap > maxTickDelay {
				f.restartAfterPause(gap)
			}
			f.lastTick.Store(int64(now))
			actions = f.step(membership.Tick{})
			if !writing && time.Now().After(diskAt) {
				diskAt = time.Now().Add(writeRetryInterval)
				if wanted != nil {
					write(*wanted)
				} else if dirty && f.options.Store != nil {
					dirty = false
					write(f.Self().Boot)
				}
			}
			if f.incarnationStored && f.instance.Load() == nil && !f.hasLeft() && time.Now().After(bindAt) {
				bindAt = time.Now().Add(bindRetryInterval)
				f.startInstance()
			}
			f.joinMembers()
		}
		for _, a := range actions {
			switch a := a.(type) {
			case membership.RaiseIncarnation:
				f.log.WithFields(logrus.Fields{"code": "fleet-count-raised", "boot": a.Boot}).Warn("others know a later start under this name: this one's count is raised")
				if f.options.Store == nil {
					f.activateIncarnation(a.Boot)
				} else {
					want(a.Boot)
				}
			case membership.PersistView:
				dirty = true
			default:
				f.execute(a)
			}
		}
	}
}

// activateIncarnation has a count that is on disk hold.
func (f *Fleet) activateIncarnation(boot uint64) {
	f.mu.Lock()
	if f.view.Self().Boot != boot {
		f.view.SetIncarnation(membership.Incarnation{Boot: boot, Nonce: f.nonce})
	}
	f.updateMetadata()
	f.mu.Unlock()
	f.incarnationStored = true
	f.broadcastMetadata()
}

// step gives an event to the view.
func (f *Fleet) step(e membership.Event) []membership.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Step(f.now(), e)
}

// applyUpdates brings what the protocol told to the view.
func (f *Fleet) applyUpdates() (actions []membership.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused() {
		f.pendingUpdates = nil // told by timers that ran out while this process stood still
		return nil
	}
	for _, t := range f.pendingUpdates {
		actions = append(actions, f.view.Step(f.now(), t)...)
	}
	f.pendingUpdates = nil
	return actions
}

// receive goes by a message.
func (f *Fleet) receive(m *message) []membership.Action {
	switch m.Kind {
	case probeMessage:
		return f.step(m.membershipMessage())
	case linksRequest:
		f.sendLinks(m)
	case linksResponse:
		f.mu.Lock()
		if wait := f.linksQueries[m.QueryID]; wait != nil && len(m.Links) <= membership.MaxMembers {
			select {
			case wait <- m:
			default:
			}
		}
		f.mu.Unlock()
	}
	return nil
}

// execute does what the view wants.
func (f *Fleet) execute(a membership.Action) {
	switch a := a.(type) {
	case membership.SendMessage:
		if i := f.instance.Load(); i != nil {
			i.send(a.To, a.Addr, encodeMembershipMessage(a.Message))
		}
	case membership.Rejoin:
		if i := f.instance.Load(); i != nil {
			go i.memberlist.Join([]string{a.Addr})
		}
	case membership.NameConflict:
		f.log.WithFields(logrus.Fields{"code": "fleet-name-twice", "boot": a.Winner.Boot}).Error("another process began under this ingress's name: this one leaves the fleet and serves on alone")
		f.mu.Lock()
		f.left = true
		f.mu.Unlock()
		f.stopInstance()
	case membership.ViewChanged:
		c := a.Change
		entry := f.log.WithFields(logrus.Fields{"view": c.View, "member": c.Name})
		if a.Reachability {
			j := f.Reachability()
			entry.WithFields(logrus.Fields{"code": "fleet-judgement", "judgement": c.What, "heard": j.Alive, "agreed": j.Agreed}).Warn("how much of the fleet is heard has changed")
			break
		}
		entry.WithFields(logrus.Fields{"code": "fleet-member", "change": c.What, "state": c.To.String(), "was": c.From.String(), "boot": c.Boot}).Info("the view of the fleet has changed")
	}
}

// paused tells whether this process has stood still and has not noticed: nothing that timers concluded counts.
func (f *Fleet) paused() bool {
	return time.Since(f.startedAt)-time.Duration(f.lastTick.Load()) > maxTickDelay
}

// restartAfterPause begins anew: the protocol's timers ran out while others could not answer.
func (f *Fleet) restartAfterPause(gap time.Duration) {
	f.log.WithFields(logrus.Fields{"code": "fleet-stalled", "for": gap.Seconds()}).Warn("this process stood still: what it did not hear meanwhile counts for nothing")
	if i := f.instance.Swap(nil); i != nil {
		i.closed.Store(true)
		go i.memberlist.Shutdown()
	}
	f.mu.Lock()
	f.pauses++
	f.pendingUpdates = nil
	f.mu.Unlock()
	for len(f.messages) > 0 { // they were sent before, and their senders asked again since
		<-f.messages
	}
	f.step(membership.Paused{Duration: gap.Seconds()})
}

// updateMetadata renews what this member says of itself. The mutex is held.
func (f *Fleet) updateMetadata() {
	s := f.view.Self()
	b := encode(metadata{Incarnation: incarnationPair(s.Incarnation), Zone: s.Zone, Version: s.Version, Phase: s.Phase, Number: s.Number})
	f.metadata.Store(&b)
}

// broadcastMetadata has the others hear what this member says of itself.
func (f *Fleet) broadcastMetadata() {
	if i := f.instance.Load(); i != nil {
		go i.memberlist.UpdateNode(time.Second)
	}
}

// SetPhase tells the fleet where this process is in its life.
func (f *Fleet) SetPhase(p membership.Phase) {
	f.mu.Lock()
	if f.view.Self().Phase == p || f.left {
		f.mu.Unlock()
		return
	}
	f.view.Step(f.now(), membership.PhaseChanged{Phase: p})
	f.updateMetadata()
	f.mu.Unlock()
	f.broadcastMetadata()
}

// Leave says goodbye, so that nobody looks for this member. handOver: a newer process of this ingress takes the name over,
// and nothing is said: to the others it is one member that began anew.
// A second call waits for the first.
func (f *Fleet) Leave(handOver bool) {
	f.leaveOnce.Do(func() {
		f.mu.Lock()
		was := f.left
		f.left = true
		f.mu.Unlock()
		if i := f.instance.Load(); i != nil && !was && !handOver {
			i.memberlist.Leave(leaveTimeout)
			time.Sleep(f.options.Interval / 2) // its last packets carry the goodbye further
		}
		f.stopInstance()
	})
}

// Stop ends all that this package started.
func (f *Fleet) Stop() {
	f.cancel()
	f.goroutines.Wait()
}

// Reload reads the key file again. One that cannot be used changes nothing.
func (f *Fleet) Reload() error {
	if f.keyring == nil {
		return nil
	}
	keys, err := keyring.Read(f.options.KeyFile)
	if err != nil {
		return err
	}
	return rotate(f.keyring, keys)
}

// Self is what this ingress says of itself.
func (f *Fleet) Self() membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Self()
}

// Reachability is how much of the fleet this ingress hears, and until when that may be believed. A process that stands still
// and has not noticed is cut off.
func (f *Fleet) Reachability() membership.Reachability {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.view.Reachability(f.now())
	if f.paused() {
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
