package gossip

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/hashicorp/memberlist"

	"mulleinrouter/internal/standalone/fleet/keyring"
	"mulleinrouter/internal/standalone/fleet/membership"
)

const (
	messageQueueLength = 256 // messages that wait to be applied; more are dropped
	leaveTimeout       = 300 * time.Millisecond
	maxTopics          = 256

	// updateTimeout is for new metadata to be sent, for which nothing waits: memberlist queues it before it waits.
	updateTimeout = time.Nanosecond
)

// Fleet is this ingress among the others of its fleet. It is safe for concurrent use.
type Fleet struct {
	options     Options
	log         log.Logger
	startedAt   time.Time
	nonce       uint64 // of this process's incarnations
	meter       meter
	protocolLog *protocolLog
	keyring     *memberlist.Keyring      // nil: nothing is encrypted
	metadata    atomic.Pointer[[]byte]   // what this member says of itself, encoded
	lastTick    atomic.Int64             // in ns since startedAt
	instance    atomic.Pointer[instance] // nil: the protocol doesn't run
	handlers    [maxTopics]atomic.Pointer[func(from string, data []byte)]

	mu             sync.Mutex // guards the fields up to the next empty line
	view           *membership.View
	pendingUpdates []membership.Update      // of the protocol, in their order
	linksQueries   map[uint64]chan *message // by query ID
	pauses         int                      // how often this process was suspended
	dropped        int                      // messages, as the queue was full
	left           bool                     // this process left the fleet, or lost its name
	nextJoinAt     time.Time
	joined         bool // this instance has exchanged the complete state with a member
	exchangesDone  int  // of the complete state, after the first
	stopped        bool // no goroutine is started any more

	updatesReady   chan struct{} // pendingUpdates is not empty
	messages       chan *message
	records        chan Record // to be written
	written        chan writeResult
	linksResponses chan struct{} // has an element for each response being sent
	streams        chan struct{} // has an element for each payload being sent by a stream

	cancel     context.CancelFunc
	goroutines sync.WaitGroup // writeRecords, the runner, and what spawn started
	leaveOnce  sync.Once
}

// Start joins the fleet in the background: an ingress serves whether or not it reaches others. Errors are those of the
// key file (keyring.ErrKeys) and of the random number generator.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		options:        o,
		log:            o.Log,
		startedAt:      time.Now(),
		linksQueries:   map[uint64]chan *message{},
		updatesReady:   make(chan struct{}, 1),
		messages:       make(chan *message, messageQueueLength),
		records:        make(chan Record, 1),
		written:        make(chan writeResult),
		linksResponses: make(chan struct{}, maxLinksResponses),
		streams:        make(chan struct{}, maxStreams),
	}
	f.protocolLog = &protocolLog{log: o.Log, rejected: &f.meter.rejected}
	f.options.Interval = cmp.Or(o.Interval, DefaultInterval)
	if err := f.loadKeys(); err != nil {
		return nil, err
	}
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, fmt.Errorf("gossip: draw a nonce: %w", err)
	}
	f.nonce = binary.LittleEndian.Uint64(nonce[:])>>1 + 1
	record := f.readRecord()
	self := membership.Member{
		Name:        o.Name,
		Zone:        o.Zone,
		Version:     o.Version,
		Addr:        o.Advertise,
		Number:      o.Number,
		Incarnation: membership.Incarnation{Boot: record.Boot + 1, Nonce: f.nonce},
	}
	f.view = membership.New(f.now(), self, o.Expect, record.Members, o.Seed^f.nonce)
	f.updateMetadata()
	f.lastTick.Store(int64(time.Since(f.startedAt)))
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.goroutines.Go(func() { f.writeRecords(ctx) })
	f.goroutines.Go(func() { newRunner(f).run(ctx) })
	return f, nil
}

func (f *Fleet) loadKeys() error {
	if f.options.KeyFile == "" {
		return nil
	}
	keys, err := keyring.Read(f.options.KeyFile)
	if err != nil {
		return err
	}
	if f.keyring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return fmt.Errorf("%w: %w", keyring.ErrKeys, err)
	}
	return nil
}

func (f *Fleet) now() membership.Seconds { return time.Since(f.startedAt).Seconds() }

// step gives an event to the view.
func (f *Fleet) step(e membership.Event) []membership.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Step(f.now(), e)
}

// updateMetadata renews what this member says of itself. The mutex is held, or Start has not returned yet.
func (f *Fleet) updateMetadata() {
	self := f.view.Self()
	b := encode(metadata{
		Incarnation: self.Pair(),
		Zone:        self.Zone,
		Version:     self.Version,
		Phase:       self.Phase,
		Number:      self.Number,
	})
	f.metadata.Store(&b)
}

// broadcastMetadata sends the others what this member says of itself.
func (f *Fleet) broadcastMetadata() {
	if i := f.instance.Load(); i != nil {
		f.spawn(func() { i.memberlist.UpdateNode(updateTimeout) })
	}
}

// SetPhase announces the phase of this process.
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

// Leave announces that this member leaves, so that nobody probes it. handOver: a newer process of this
// ingress takes over the name, and nothing is announced; the others see one member with a new incarnation. A
// second call waits for the first.
func (f *Fleet) Leave(handOver bool) {
	f.leaveOnce.Do(func() {
		f.mu.Lock()
		alreadyLeft := f.left
		f.left = true
		f.mu.Unlock()
		if i := f.instance.Load(); i != nil && !alreadyLeft && !handOver {
			i.memberlist.Leave(leaveTimeout)
			time.Sleep(f.options.Interval / 2) // the last packets spread the announcement
		}
		f.stopInstance()
	})
}

// Stop ends all goroutines and waits for them.
func (f *Fleet) Stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	f.cancel()
	f.goroutines.Wait()
}

// spawn runs a call of memberlist that may block on the network, unless the fleet is stopped. The call ends with its
// time-out or, at once, with the instance that it is of.
func (f *Fleet) spawn(call func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stopped {
		f.goroutines.Go(call)
	}
}

// Reload reads the key file again. If it can't be used the keys stay as they are; the error is keyring.ErrKeys.
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
