package electorate

import (
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/mutants"
)

// The operators count on a successor once it has run for Bounds.CatchUp. From then on another machine may be lost, so
// the successor has to vote by then. A voter that is gone has been silent for at least as long, because its successor
// starts after it has ended. So all waits of a replacement are fractions of that bound, and they leave a third of it
// for the rounds of watch, the probe of the successor and the change itself.
const (
	// silenceFraction is how long a voter may be silent before it is replaced. It outlasts a restart of the process.
	silenceFraction = 0.6
	// leftFraction is the same for a voter that has announced its shutdown and has not handed its vote over.
	leftFraction = 0.1
	// rankFraction is the longest additional wait of the last of the reachable voters. It separates their attempts, so
	// that normally only one of them acts.
	rankFraction = 0.05
	// answeredFraction is how long ago a voter's last answer to another voter may be so that it does not count as gone.
	answeredFraction = 0.3

	// reportTimeout limits the wait for the other voters' reports.
	reportTimeout = 200 * time.Millisecond
)

// catchUpFraction returns a fraction of the time after which the operators count on a successor.
func (m *Manager) catchUpFraction(fraction float64) time.Duration {
	bound := m.options.Settings.Bounds.CatchUp
	if mutants.On("electorate/slow-replacement") {
		bound *= 2
	}
	return time.Duration(fraction * bound * float64(time.Second))
}

// rankDelay returns the time by which this node waits longer than the first of the reachable voters.
func (m *Manager) rankDelay(e consensus.Electorate) time.Duration {
	reachable, _, _ := m.options.Lease.Reachable()
	rank := time.Duration(max(0, slices.Index(reachable, m.self)))
	ranks := time.Duration(max(1, len(e.Voters)-1))
	return rank * m.catchUpFraction(rankFraction) / ranks
}

// silenceLimit returns how long a voter may be silent before the first of the reachable voters replaces it.
func (m *Manager) silenceLimit(voter string) time.Duration {
	if m.isLeaving(voter) {
		return m.catchUpFraction(leftFraction)
	}
	return m.catchUpFraction(silenceFraction)
}

// firstSilent returns the first voter that has been silent for too long, or "" if there is none.
func (m *Manager) firstSilent(e consensus.Electorate, age, rankDelay time.Duration) string {
	for _, v := range e.Voters {
		if m.silentFor(v.Addr, age) > m.silenceLimit(v.Addr)+rankDelay {
			return v.Addr
		}
	}
	return ""
}

// RecordPong records whether a node that has answered a ping shuts down. A node without a pong does not.
func (m *Manager) RecordPong(addr string, pong *transport.Pong) {
	if peer := m.options.Peers.Find(addr); peer != nil {
		peer.SetLeaving(pong != nil && pong.Leaving)
	}
}

// isLeaving reports whether a node has announced its shutdown with its last answer to a ping.
func (m *Manager) isLeaving(addr string) bool {
	peer := m.options.Peers.Find(addr)
	return peer != nil && peer.Leaving()
}

// silentFor returns the time since a voter's last answer, limited to the time since this process first saw the
// electorate, because nodes that are no voters are not pinged.
func (m *Manager) silentFor(addr string, electorateAge time.Duration) time.Duration {
	if addr == m.self {
		return 0
	}
	if age := m.options.Lease.Age(addr); age >= 0 {
		return min(age, electorateAge)
	}
	return electorateAge
}

// answersOthers reports whether a voter that does not answer this node has lately answered another reachable voter.
// Then only a link has failed, and a replacement would not help: two voters, each without a link to one of two nodes,
// would replace these by each other forever. A voter that shuts down is replaced in any case.
func (m *Manager) answersOthers(silent string) bool {
	if m.isLeaving(silent) {
		return false
	}
	voters, _, _ := m.options.Lease.Reachable()
	reports := make(chan bool, len(voters))
	var asking sync.WaitGroup
	for _, voter := range voters {
		if voter == m.self || voter == silent {
			continue
		}
		asking.Go(func() { reports <- m.answersVoter(voter, silent) })
	}
	asking.Wait()
	close(reports)
	for answered := range reports {
		if answered {
			return true
		}
	}
	return false
}

// answersVoter asks a voter whether another one has answered it lately. A voter that does not report it, because it
// is of an earlier version or does not answer, counts as one that got no answer.
func (m *Manager) answersVoter(voter, silent string) bool {
	request := &transport.Frame{Ping: &transport.Ping{About: silent}}
	answer := m.options.Peers.Call(voter, reportTimeout, request)
	if answer == nil || answer.Pong == nil || !answer.Pong.Answered {
		return false
	}
	age := time.Duration(answer.Pong.AnsweredAgo * float64(time.Second))
	return age < m.catchUpFraction(answeredFraction)
}
