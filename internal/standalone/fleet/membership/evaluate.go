package membership

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

// Durations, in seconds, and counts that are used to evaluate states, links and the reachability.
const (
	recentContact   = 4.0 // seconds after a member's last message in which it is published as suspect, not as dead
	probeResultTTL  = 4.0 // seconds for which the result of a probe counts towards the reachability
	minProbeResults = 4   // results needed before missed probes lower the reachability; a few may be lost by chance
	reachabilityTTL = 2.0 // seconds for which the reachability is valid after the last contact with any member
	linkTTLRounds   = 3   // rounds of probes for which the state of a link is valid
	minLinkTTL      = 5.0 // minimum seconds for which the state of a link is valid
)

// linkTTL returns for how long the state of a link is valid. It grows with the number of members, because a round of
// probes does.
func (v *View) linkTTL() Seconds {
	return max(minLinkTTL, linkTTLRounds*probeInterval*Seconds(len(v.peers)))
}

// evaluateState returns the state of a peer as the view publishes it.
func (v *View) evaluateState(now Seconds, p *peer) State {
	switch {
	case p.protocolState == Left:
		return Left
	case p.protocolState == Dead:
		// The protocol declared the member dead, but it has sent a message since. So it is alive, and only messages to
		// it are lost.
		if p.lastContact > p.protocolStateSince && now < p.lastContact+v.linkTTL() &&
			!mutants.On("membership/heard-is-dead") {
			return Alive
		}
		// A member that receives nothing can't refute its death, but its next probe shows that it is alive, so it is
		// only suspected until then. This hardly delays the detection of a real death, because a dead member sent its
		// last message before the protocol began to suspect it.
		if p.finalProbePending || p.lastContact > 0 && now < p.lastContact+recentContact {
			return Suspect
		}
		return Dead
	case p.lastProbeMissed && p.consecutiveMisses > 1:
		return Suspect
	}
	return Alive
}

// evaluateLink returns the state of the link to a peer.
func (v *View) evaluateLink(now Seconds, p *peer) Link {
	oldest := now - v.linkTTL()
	isRecent := func(at Seconds) bool { return at > 0 && at > oldest }
	missed := p.consecutiveMisses > 0 && isRecent(p.lastMiss)
	switch {
	case missed && isRecent(p.lastContact) && p.lastContact > p.firstMissProbedAt:
		return LinkInboundOnly
	case missed:
		return LinkDown
	case isRecent(p.lastAck), isRecent(p.lastContact):
		return LinkBidirectional
	}
	return LinkUnknown
}

// agreedCount returns the size of the last agreed membership, including this member. Until all expected members have
// been known at the same time, it returns at least the number of members in the configuration.
func (v *View) agreedCount() int {
	n := 1
	for _, p := range v.peers {
		if p.agreed {
			n++
		}
	}
	if !v.formed {
		n = max(n, v.expectedMembers)
	}
	return n
}

// evaluateReachability returns how much of the fleet is reached, given how many agreed members are alive.
func (v *View) evaluateReachability(now Seconds, alive int) Reachability {
	v.probeResults = slices.DeleteFunc(v.probeResults, func(r probeResult) bool { return now > r.at+probeResultTTL })
	missed := 0
	for _, r := range v.probeResults {
		if !r.acknowledged {
			missed++
		}
	}
	mostMissed := len(v.probeResults) >= minProbeResults && missed*2 > len(v.probeResults)
	r := Reachability{
		Level:  Complete,
		Until:  v.lastContact + reachabilityTTL,
		Alive:  alive,
		Agreed: v.agreedCount(),
	}
	switch {
	case r.Agreed == 1:
		r.Until = now + reachabilityTTL // no other member is expected
	case v.lastContact == 0 || now >= r.Until:
		r.Level = Partitioned
		r.Until = now
	case mostMissed && !mutants.On("membership/misses-pass"):
		r.Level = Partitioned // the protocol hasn't reported the partition yet
	case alive*2 <= r.Agreed && !mutants.On("membership/half-is-enough"):
		r.Level = Partitioned
	case alive < r.Agreed:
		r.Level = Majority
	}
	return r
}
