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

// pollInterval is how often the electorate is checked for changes, and requested from peers while it is unknown.
const pollInterval = 200 * time.Millisecond

// Options are the settings and dependencies of a Manager.
type Options struct {
	Settings  *settings.Settings
	Replica   *replica.Replica
	Peers     *peers.Set
	Proposals *proposals.Queue
	Lease     *majority.Lease
	Started   time.Time // start time of this process
	// ConfirmedTerm returns the term of the lease in which the local snapshot was confirmed as the newest; 0 if none.
	ConfirmedTerm  func() uint64
	FetchInventory func(*peers.Peer) *transport.CatchUpChunk // asks a peer for the electorate; nil if no answer
	DiskRead       func() bool                               // reports whether the disk has been read
	Log            log.Logger
}

// Manager performs this node's part in the changes of the electorate. It is safe for concurrent use.
type Manager struct {
	options   Options
	self      string
	log       log.Logger
	changing  atomic.Bool // a replacement or an enlargement is in progress on this node
	firstSeen firstSeen
}

// New makes a manager.
func New(o Options) *Manager {
	return &Manager{options: o, self: o.Settings.ControlAddr, log: o.Log}
}

// Changing reports whether a replacement or an enlargement is in progress on this node.
func (m *Manager) Changing() bool { return m.changing.Load() }

// Join gets the electorate from the other nodes if none was stored on disk, and subscribes to the voters.
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

// learnElectorate requests the electorate from all peers and waits for their answers.
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

// Follow subscribes to new voters, and enrolls this node again when its disk was lost, until the context ends.
func (m *Manager) Follow(ctx context.Context, wg *sync.WaitGroup) {
	for ; ctx.Err() == nil; retry.Sleep(ctx, pollInterval) {
		if !m.options.DiskRead() {
			continue // this node's disk id is not known yet
		}
		voters, _ := m.options.Replica.Voters()
		m.options.Peers.Subscribe(ctx, wg, voters)
		m.enroll(ctx)
	}
}

// enroll proposes to replace this node's entry in the electorate if the entry has this node's address and another disk
// id. That is the case after the node has lost its disk: it may not vote until the entry has the id of its new disk.
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

// Age returns the time since this process first saw the electorate e, which is in force. The electorate known at the
// first call counts from the start of the process.
func (m *Manager) Age(e consensus.Electorate) time.Duration {
	return time.Since(m.firstSeen.observe(e, m.options.Started))
}

// WantedVoters returns the number of voters that is needed to tolerate the configured number of lost machines.
func (m *Manager) WantedVoters() int { return 2*m.options.Settings.Tolerance.Machines + 1 }
