package electorate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/retry"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/proposals"
	"mulleinrouter/internal/control/replica"
	"mulleinrouter/internal/mutants"
)

const (
	changeTimeout   = 2 * time.Second         // for a change of the electorate, until a majority has it on disk
	handoverTimeout = time.Second             // for HandOver to begin a replacement, and to decide on each one
	maxProbes       = 5                       // attempts to probe a node that is behind
	probeInterval   = 50 * time.Millisecond   // between two probes of a node
	probeTimeout    = 2 * replica.SyncTimeout // for the answer to one probe, which waits for a sync of the disk
)

// HandoverLimit is how long a shutdown waits for HandOver to return. HandOver begins no replacement after
// handoverTimeout, and the last one may wait as long again for its decision.
const HandoverLimit = 2 * handoverTimeout

// Maintain replaces a voter that has been silent for too long, and enlarges an electorate that is too small. The first
// of the reachable voters starts the change, and the others start it later if the first does not; concurrent attempts
// do no harm, because a change applies only to the electorate for which it was planned. Maintain acts only while the
// majority lease is held and the snapshot, which must not be empty, is confirmed as the newest. The goroutines that it
// starts run in wg.
func (m *Manager) Maintain(ctx context.Context, wg *sync.WaitGroup) {
	base, snapshot := m.options.Replica.Base()
	e := base.Electorate
	age := m.Age(e)
	term, held := m.options.Lease.Current()
	if !held || m.options.ConfirmedTerm() != term || snapshot.Len() == 0 {
		return
	}
	if !e.Contains(m.options.Replica.AsVoter()) || m.changing.Load() {
		return
	}
	rankDelay := m.rankDelay(e)
	silent := m.silentVoters(e, rankDelay)
	learners := m.successors(e, "")
	var change func()
	switch {
	case len(silent) > 0 && len(learners) > 0:
		change = func() { m.replaceSilent(ctx, base, silent, rankDelay) }
	case len(silent) == 0 && len(learners) > 1 && m.mayEnlarge(e, age, rankDelay):
		change = func() { m.enlarge(ctx, base, learners[:2]) }
	default:
		return
	}
	m.changing.Store(true)
	wg.Go(func() {
		defer m.changing.Store(false)
		change()
	})
}

// mayEnlarge reports whether an electorate tolerates fewer losses than configured, and all its voters have answered
// since it is in force. Two voters are added at once, because four voters tolerate no more losses than three.
func (m *Manager) mayEnlarge(e consensus.Electorate, age, rankDelay time.Duration) bool {
	reachable, _, _ := m.options.Lease.Reachable()
	settled := age > m.maxSilence()+rankDelay
	return settled && len(e.Voters)+2 <= m.WantedVoters() && len(reachable) == len(e.Voters)
}

// replaceSilent replaces one of the silent voters by the first successor for which that succeeds. It does not replace a
// voter that answers again, or that answers another voter.
func (m *Manager) replaceSilent(
	ctx context.Context, base consensus.Base, silent []consensus.Voter, rankDelay time.Duration,
) {
	for _, voter := range silent {
		if m.answersOthers(voter.Addr) && !mutants.On("electorate/asks-no-others") {
			continue
		}
		stillSilent := func() bool { return m.isSilent(voter, rankDelay) }
		for _, successor := range m.successors(base.Electorate, voter.Addr) {
			if m.replace(ctx, base, voter.Addr, successor.Addr, changeTimeout, stillSilent) == nil {
				return
			}
		}
	}
}

// enlarge adds learners to the electorate.
func (m *Manager) enlarge(ctx context.Context, base consensus.Base, learners []Learner) {
	voters := slices.Clone(base.Electorate.Voters)
	var added []consensus.Voter
	for _, learner := range learners {
		voter, err := m.probe(ctx, learner.Addr, base)
		if err != nil {
			return
		}
		voters, added = append(voters, voter), append(added, voter)
	}
	if err := m.change(ctx, base.Electorate, voters, changeTimeout, added...); err == nil {
		level.Info(m.log).Log("msg", "electorate enlarged", "voters", len(voters))
	}
}

// Replace replaces the voter out by the learner in with one change of the electorate. Both are given by their control
// addresses. Errors are of type *ChangeError.
func (m *Manager) Replace(ctx context.Context, base consensus.Base, out, in string) error {
	return m.replace(ctx, base, out, in, changeTimeout, nil)
}

// replace replaces a voter. If precondition is not nil, it is evaluated after the learner has been probed, and the
// voter is replaced only if it returns true.
func (m *Manager) replace(
	ctx context.Context, base consensus.Base, out, in string, timeout time.Duration, precondition func() bool,
) error {
	e := base.Electorate
	if _, ok := e.VoterAt(out); !ok {
		return &ChangeError{errors.Newf("%s is no voter", out)}
	}
	if _, ok := e.VoterAt(in); ok {
		return &ChangeError{errors.Newf("%s is a voter already", in)}
	}
	voter, err := m.probe(ctx, in, base)
	if err == nil && precondition != nil && !precondition() {
		err = errors.Newf("%s is back", out)
	}
	if err == nil {
		err = m.change(ctx, e, e.ReplaceVoter(out, voter), timeout, voter)
	}
	if err != nil {
		level.Error(m.log).Log("msg", "voter replacement failed", "out", out, "in", in, "err", err)
		return &ChangeError{err}
	}
	level.Info(m.log).Log("msg", "voter replaced", "out", out, "in", in)
	return nil
}

// probe returns the entry of a control node as a voter, once the node has all changes up to base on its disk. A node
// that does not have all of them yet is probed again, up to maxProbes times in all.
func (m *Manager) probe(ctx context.Context, addr string, base consensus.Base) (voter consensus.Voter, err error) {
	for range maxProbes {
		if voter, err = m.probeOnce(addr, base); !errors.Is(err, errBehind) || ctx.Err() != nil {
			break
		}
		retry.Sleep(ctx, probeInterval)
	}
	return voter, err
}

func (m *Manager) probeOnce(addr string, base consensus.Base) (consensus.Voter, error) {
	promise := m.readSynced(addr)
	switch {
	case promise == nil:
		return consensus.Voter{}, errors.Newf("%s does not answer", addr)
	case promise.Epoch < base.Epoch:
		return consensus.Voter{}, errors.Wrapf(errBehind, "%s, by %d changes", addr, base.Epoch-promise.Epoch)
	}
	return consensus.Voter{Addr: addr, Disk: promise.Disk}, nil
}

// readSynced returns the state of a node's acceptor once that state is on disk, or nil if the node does not answer.
func (m *Manager) readSynced(addr string) *consensus.Promise {
	request := &transport.Prepare{ReadOnly: true, Synced: true}
	if addr == m.self {
		return m.options.Replica.Prepare(request)
	}
	answer := m.options.Peers.Call(addr, probeTimeout, &transport.Frame{Prepare: request})
	if answer == nil || answer.Promise == nil {
		return nil
	}
	return &answer.Promise.Promise
}

// change proposes a new electorate if it has no fewer voters than the present one, and if majorities of both are in
// contact. Probed voters count as in contact.
func (m *Manager) change(
	ctx context.Context, from consensus.Electorate, to []consensus.Voter, timeout time.Duration,
	probed ...consensus.Voter,
) error {
	for _, voters := range [][]consensus.Voter{from.Voters, to} {
		if reachable := m.countReachable(voters, probed); reachable < consensus.Majority(len(voters)) {
			return errors.Newf("only %d of %d voters are in contact", reachable, len(voters))
		}
	}
	if len(to) < len(from.Voters) {
		return errors.New("fewer voters would bear fewer losses")
	}
	return m.options.Proposals.ChangeElectorate(ctx, proposals.ElectorateChange{From: from, To: to}, timeout)
}

func (m *Manager) countReachable(voters, probed []consensus.Voter) (count int) {
	for _, v := range voters {
		age := m.options.Lease.Age(v.Addr)
		if v.Addr == m.self || age >= 0 && age <= majority.TTL || slices.Contains(probed, v) {
			count++
		}
	}
	return count
}

// HandOver replaces this node by a learner among the voters, before the node shuts down.
func (m *Manager) HandOver(ctx context.Context) {
	base, _ := m.options.Replica.Base()
	if !base.Electorate.Contains(m.options.Replica.AsVoter()) {
		return
	}
	if !m.options.Lease.Held() {
		level.Warn(m.log).Log("msg", "vote not handed over", "reason", "no contact with a majority")
		return
	}
	began := time.Now()
	for _, successor := range m.successors(base.Electorate, m.self) {
		if time.Since(began) > handoverTimeout || ctx.Err() != nil {
			break
		}
		if m.replace(ctx, base, m.self, successor.Addr, handoverTimeout, nil) == nil {
			return
		}
	}
	level.Warn(m.log).Log("msg", "vote not handed over", "reason", "no learner could take it")
}
