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
	// overlapReserve is the part of the bound, in seconds, that is left after the silence where several machines may be
	// lost at once: while one voter is replaced, the leaseholder of a shard may be lost. Another one is elected within
	// 1.7 s (package shard), and only then do the voters of that shard change.
	overlapReserve = 3.1
	// minSilenceFraction bounds the reduction by overlapReserve.
	minSilenceFraction = 0.25
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
	return m.maxSilence()
}

// maxSilence returns how long a voter that has announced no shutdown may be silent before it is replaced.
func (m *Manager) maxSilence() time.Duration {
	silence := m.catchUpFraction(silenceFraction)
	if m.options.Settings.Tolerance.Machines > 1 {
		reserve := time.Duration(overlapReserve * float64(time.Second))
		silence = min(silence, max(m.catchUpFraction(1)-reserve, m.catchUpFraction(minSilenceFraction)))
	}
	return silence
}

// silentVoters returns the voters that have been silent for too long.
func (m *Manager) silentVoters(e consensus.Electorate, rankDelay time.Duration) (silent []consensus.Voter) {
	for _, voter := range e.Voters {
		if m.isSilent(voter, rankDelay) {
			silent = append(silent, voter)
		}
	}
	return silent
}

func (m *Manager) isSilent(voter consensus.Voter, rankDelay time.Duration) bool {
	return m.silentFor(voter) > m.silenceLimit(voter.Addr)+rankDelay
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

// silentFor returns the time since a voter's last answer, but at most the time since this process first saw it as a
// voter, because only voters are pinged. A change of the other voters does not shorten it.
func (m *Manager) silentFor(voter consensus.Voter) time.Duration {
	if voter.Addr == m.self {
		return 0
	}
	known := m.firstSeen.voterAge(voter)
	if age := m.options.Lease.Age(voter.Addr); age >= 0 {
		return min(age, known)
	}
	return known
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
