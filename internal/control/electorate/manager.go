package electorate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/retry"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/peers"
	"mulleinrouter/internal/control/proposals"
	"mulleinrouter/internal/control/replica"
)

// pollInterval is how often the electorate is looked at, and asked for while it is unknown.
const pollInterval = 200 * time.Millisecond

// Options is what a Manager is made of.
type Options struct {
	Settings  *settings.Settings
	Replica   *replica.Replica
	Peers     *peers.Set
	Proposals *proposals.Queue
	Lease     *majority.Lease
	Started   time.Time // of this process
	// ConfirmedTerm is the term of the lease in which the snapshot here was confirmed as the newest; 0: none.
	ConfirmedTerm  func() uint64
	FetchInventory func(*peers.Peer) *transport.CatchUpChunk // asks a peer for the electorate; nil: no answer
	DiskRead       func() bool                               // the disk has been read
	Log            log.Logger
}

// Manager decides on the voters as far as this node has a part in it. It is safe for concurrent use.
type Manager struct {
	options  Options
	self     string
	log      log.Logger
	changing atomic.Bool // a replacement or an enlargement is under way here

	mu          sync.Mutex // guards the fields below
	since       uint64     // epoch of the electorate that was seen last
	firstSeenAt time.Time  // when that electorate was seen first
}

// New makes a manager.
func New(o Options) *Manager {
	return &Manager{options: o, self: o.Settings.ControlAddr, log: o.Log}
}

// Changing tells whether a replacement or an enlargement is under way here.
func (m *Manager) Changing() bool { return m.changing.Load() }

// Join learns the electorate from the other nodes if the disk had none, and subscribes to the voters.
func (m *Manager) Join(ctx context.Context, wg *sync.WaitGroup) {
	for ; ctx.Err() == nil; retry.Sleep(ctx, pollInterval) {
		if base, _ := m.options.Replica.Base(); base.Electorate.Known() {
			break
		}
		m.learnElectorate()
	}
	voters, isVoter := m.options.Replica.Voters()
	m.options.Peers.Subscribe(ctx, wg, voters)
	if !isVoter {
		level.Info(m.log).Log("msg", "running as learner", "voters", len(voters))
	}
}

// learnElectorate asks all peers for the electorate, and waits for their answers.
func (m *Manager) learnElectorate() {
	var asking sync.WaitGroup
	for _, peer := range m.options.Peers.All() {
		asking.Go(func() {
			if chunk := m.options.FetchInventory(peer); chunk != nil {
				m.options.Replica.LearnElectorate(chunk)
			}
		})
	}
	asking.Wait()
}

// Follow subscribes to new voters and enrolls this node where necessary, until the context ends.
func (m *Manager) Follow(ctx context.Context, wg *sync.WaitGroup) {
	for ; ctx.Err() == nil; retry.Sleep(ctx, pollInterval) {
		if !m.options.DiskRead() {
			continue
		}
		voters, _ := m.options.Replica.Voters()
		m.options.Peers.Subscribe(ctx, wg, voters)
		m.enroll(ctx)
	}
}

// enroll replaces this node's lost disk by the present one, if its address is a voter's with another disk.
func (m *Manager) enroll(ctx context.Context) {
	base, _ := m.options.Replica.Base()
	self := m.options.Replica.AsVoter()
	listed, ok := base.Electorate.VoterAt(self.Addr)
	if !ok || listed == self {
		return
	}
	change := proposals.ElectorateChange{From: base.Electorate, To: base.Electorate.ReplaceVoter(self.Addr, self)}
	if err := m.options.Proposals.ChangeElectorate(ctx, change, changeTimeout); err != nil {
		level.Warn(m.log).Log("msg", "enrollment failed", "err", err)
		return
	}
	base, _ = m.options.Replica.Base()
	level.Info(m.log).Log("msg", "vote recovered", "epoch", base.Epoch)
}

// Age is how long the electorate has been what it is, as seen by this process.
func (m *Manager) Age(e consensus.Electorate) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstSeenAt.IsZero() {
		m.since, m.firstSeenAt = e.Since, m.options.Started
	} else if m.since != e.Since {
		m.since, m.firstSeenAt = e.Since, time.Now()
	}
	return time.Since(m.firstSeenAt)
}

// WantedVoters is how many voters tolerate the configured losses.
func (m *Manager) WantedVoters() int { return 2*m.options.Settings.Tolerance.Machines + 1 }
