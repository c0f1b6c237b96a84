package leaseservice

import (
	"cmp"
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/fleet/quorum/boltstore"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

const (
	tickInterval   = 100 * time.Millisecond
	stallThreshold = time.Second // without a tick, after which the process is taken to have been paused
	inboxSize      = 1024        // messages; more are dropped, as on the network
	storeFile      = "votes.db"  // of a voter, in Options.Dir
	tokenBaseShift = 20          // of the time in seconds, see quorum.Open
)

// Service runs the leases of one ingress. Its methods are safe for concurrent use.
type Service struct {
	options   Options
	startedAt time.Time
	inbox     chan message
	calls     pendingCalls
	billing   billingState

	ctx        context.Context // ends with Stop
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // run, storeRecords, announcers
	workers    sync.WaitGroup // work of roles, exports

	// The voter belongs to the goroutine of runVoter, which alone uses voter and voterStatus, and holds no lock while
	// the voter waits for its disk. Others reach it by onVoter. Without a voter the pointers are nil.
	voter          *quorum.Voter
	voterStatus    voterStatus // as last logged
	store          *boltstore.Store
	voterSteps     chan func()
	stopVoter      context.CancelFunc
	voterGoroutine sync.WaitGroup

	// mu guards what follows. It is held while messages are sent, which does not block, and never while the voter or
	// storeRecords waits for the disk.
	mu          sync.Mutex
	leaseHolder *singleton.LeaseHolder
	identity    singleton.Identity
	roles       map[string]*role
	roleStatus  map[string]singleton.RoleStatus // by role, of the last response
	lastTick    time.Duration                   // since startedAt
	resigned    bool                            // no role is requested, see Resign
	stopped     bool

	recordFailed    bool          // the record cannot be stored: no role is requested
	recordCheckedAt time.Duration // since startedAt: when it was last stored, or failed to be
}

// voterStatus is the part of a voter's status of which changes are logged.
type voterStatus struct {
	state  quorum.State
	leader string
	voters string
}

// Start starts a service. A voter whose store cannot be opened is logged, and the rest runs without it.
func Start(o Options) *Service {
	self := o.Fleet.Self()
	s := &Service{
		options:     o,
		startedAt:   time.Now(),
		inbox:       make(chan message, inboxSize),
		billing:     billingState{unreachable: make(chan error, 1)},
		voterSteps:  make(chan func(), inboxSize),
		leaseHolder: singleton.NewLeaseHolder(identityOf(self), o.Zone),
		roles:       map[string]*role{},
		roleStatus:  map[string]singleton.RoleStatus{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var voterContext context.Context
	voterContext, s.stopVoter = context.WithCancel(context.Background())
	if slices.Contains(o.Voters, self.Name) {
		s.openVoter(self.Name)
	}
	for _, topic := range handledTopics {
		o.Fleet.Handle(topic, func(from string, data []byte) { s.enqueue(message{topic, from, data}) })
	}
	s.goroutines.Go(s.run)
	if s.voter != nil {
		s.voterGoroutine.Go(func() { s.runVoter(voterContext) })
	}
	if o.StoreRecord != nil {
		s.goroutines.Go(s.storeRecords)
	}
	return s
}

func (s *Service) openVoter(name string) {
	s.store = &boltstore.Store{Path: filepath.Join(s.options.Dir, storeFile)}
	var store quorum.Store = s.store
	if s.options.WrapStore != nil {
		store = s.options.WrapStore(store)
	}
	tokenBase := uint64(time.Now().Unix()) << tokenBaseShift
	voter, err := quorum.Open(name, s.options.Voters, store, tokenBase)
	if err != nil {
		level.Error(s.log("duty-voter-unusable")).Log("msg", "voter disabled: its store cannot be opened", "error", err)
	}
	s.voter = voter
}

// Stop ends the service, the work of all roles included, and waits. The voter ends last: it handles what the others
// send it as they end.
func (s *Service) Stop() {
	s.cancel()
	s.goroutines.Wait()
	s.mu.Lock()
	s.stopped = true
	for _, r := range s.roles {
		r.stop()
	}
	s.mu.Unlock()
	s.workers.Wait()
	s.stopVoter()
	s.voterGoroutine.Wait()
	if s.store != nil {
		s.store.Close()
	}
}

func identityOf(m membership.Member) singleton.Identity {
	return singleton.Identity{Name: m.Name, Boot: m.Boot, Nonce: m.Nonce}
}

// now is the time of this process's monotonic clock.
func (s *Service) now() singleton.Seconds {
	return time.Since(s.startedAt).Seconds() * cmp.Or(s.options.ClockRate, 1)
}

func (s *Service) self() string { return s.options.Fleet.Self().Name }

// log returns a logger whose lines have a code.
func (s *Service) log(code string) log.Logger { return log.With(s.options.Log, "code", code) }

// run handles messages and ticks of the lease holder until the service is stopped.
func (s *Service) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.mu.Lock()
	s.lastTick = time.Since(s.startedAt)
	s.mu.Unlock()
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.inbox:
			s.handleMessage(m)
		case <-ticker.C:
			s.tick()
		}
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.startedAt)
	if now-s.lastTick > stallThreshold {
		s.stepLeaseHolder(singleton.StallDetected{})
	}
	s.lastTick = now
	if identity := identityOf(s.options.Fleet.Self()); identity != s.identity {
		s.leaseHolder.SetIdentity(identity)
		s.identity = identity
	}
	s.checkRecordStored(now)
	s.stepLeaseHolder(singleton.LeaseHolderTick{})
}

// logVoterStatus logs changes of the voter. It is called by the goroutine of runVoter.
func (s *Service) logVoterStatus() {
	status := s.voter.Status()
	present := voterStatus{status.State, status.Leader, fmt.Sprint(status.Voters)}
	if present == s.voterStatus {
		return
	}
	s.voterStatus = present
	level.Info(s.log("duty-voter")).Log("msg", "voter state changed",
		"state", string(present.state), "leader", present.leader, "voters", present.voters, "why", status.Reason,
	)
}

// FencingToken returns the token under which this ingress may act on a role now; ok is false where it may not.
func (s *Service) FencingToken(role string) (token uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseHolder.FencingToken(s.now(), role)
}

// RoleHolder returns the name of the ingress that holds a role, as far as is known here; empty: none.
func (s *Service) RoleHolder(role string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roleStatus[role].Holder
}
