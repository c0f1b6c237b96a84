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
	tickInterval   = 100 * time.Millisecond // time between two ticks of the lease holder, and of the voter
	stallThreshold = time.Second            // time without a tick after which the process counts as paused
	// inboxSize is the number of messages, voter steps or events of the revision log that each queue can hold. More are
	// dropped, as if the network lost them, except those passed by enqueueBlocking and by call.
	inboxSize      = 1024
	storeFile      = "votes.db" // name of a voter's store in Options.Dir
	tokenBaseShift = 20         // bits by which Unix time is shifted for the token base, see quorum.Open
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
	goroutines sync.WaitGroup // of run, storeRecords and announcers
	workers    sync.WaitGroup // of the work of roles and of exports

	// Only the goroutine of runVoter uses voter and voterStatus. It holds no lock while the voter waits for its disk.
	// Other goroutines only compare voter with nil, and use the voter through enqueueVoterStep. voter and store are nil
	// if the configuration does not list this ingress as a voter.
	voter          *quorum.Voter
	voterStatus    voterStatus // the status that was last logged
	store          *boltstore.Store
	voterSteps     chan func()
	stopVoter      context.CancelFunc
	voterGoroutine sync.WaitGroup

	// mu guards the fields below. It is held while messages are sent, which does not block, but never while the voter
	// or storeRecords waits for the disk.
	mu          sync.Mutex
	leaseHolder *singleton.LeaseHolder
	identity    singleton.Identity
	roles       map[string]*role
	roleStatus  map[string]singleton.RoleStatus // by role, from the leader's last response
	lastTick    time.Duration                   // time of the last tick, since startedAt
	resigned    bool                            // whether roles are not requested because of Resign
	stopped     bool

	recordFailed    bool          // whether the record cannot be stored, so that no role is requested
	recordCheckedAt time.Duration // time of the last attempt to store the record that returned, since startedAt
}

// voterStatus is the part of a voter's status that is logged when it changes.
type voterStatus struct {
	state  quorum.State
	leader string
	voters string
}

// Start starts a service. If the store of the voter cannot be opened, that is logged, and the voter sends nothing. If
// the cause is a full disk, the voter starts once there is space (Voter.Reopen); otherwise it is retired.
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
		level.Error(s.log("duty-voter-unusable")).Log(
			"msg", "voter not started: its store cannot be used; if the disk is full, it is retried",
			"error", err,
		)
	}
	s.voter = voter
}

// Stop ends the service and the work of all roles, and waits until they have ended. The voter ends last, because it
// handles the requests that the other goroutines send as they end.
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

// now returns the time since startedAt by this process's monotonic clock, scaled by Options.ClockRate.
func (s *Service) now() singleton.Seconds {
	return time.Since(s.startedAt).Seconds() * cmp.Or(s.options.ClockRate, 1)
}

func (s *Service) self() string { return s.options.Fleet.Self().Name }

// log returns a logger that adds a code to its lines.
func (s *Service) log(code string) log.Logger { return log.With(s.options.Log, "code", code) }

// run handles messages, and ticks the lease holder, until the service is stopped.
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
	s.checkRecordTimeout(now)
	s.stepLeaseHolder(singleton.LeaseHolderTick{}) // without a load, so candidates are not ordered by load
}

// logVoterStatus logs changes of the voter's status. It must be called on the goroutine of runVoter.
func (s *Service) logVoterStatus() {
	status := s.voter.Status()
	current := voterStatus{status.State, status.Leader, fmt.Sprint(status.Voters)}
	if current == s.voterStatus {
		return
	}
	s.voterStatus = current
	level.Info(s.log("duty-voter")).Log("msg", "voter state changed",
		"state", string(current.state), "leader", current.leader, "voters", current.voters, "why", status.Reason,
	)
}

// FencingToken returns the token under which this ingress may act on a role now; ok is false if it may not act.
func (s *Service) FencingToken(role string) (token uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseHolder.FencingToken(s.now(), role)
}

// RoleHolder returns the name of the ingress that holds a role according to the leader's last response; empty if none
// is known.
func (s *Service) RoleHolder(role string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roleStatus[role].Holder
}
