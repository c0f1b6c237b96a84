package electorate

import (
	"cmp"
	"slices"

	"mulleinrouter/internal/cluster/consensus"
)

// Learner is a connected control node that is not in the electorate and may become a voter.
type Learner struct {
	Addr string // control address
	Zone string // empty if unknown
}

// Learners returns the connected learners, sorted by address.
func (m *Manager) Learners(e consensus.Electorate) (learners []Learner) {
	for _, peer := range m.options.Peers.All() {
		if _, isVoter := e.VoterAt(peer.Addr); isVoter || !peer.Connected() {
			continue
		}
		learners = append(learners, Learner{Addr: peer.Addr, Zone: peer.Zone()})
	}
	slices.SortFunc(learners, func(a, b Learner) int { return cmp.Compare(a.Addr, b.Addr) })
	return learners
}

// Zone returns the zone of a control node, or "" if it is unknown.
func (m *Manager) Zone(addr string) string {
	if addr == m.self {
		return m.options.Settings.Zone
	}
	if peer := m.options.Peers.Find(addr); peer != nil {
		return peer.Zone()
	}
	return ""
}

// successors returns the learners in order of preference for replacing a voter: first those in the voter's zone, then
// those in the zones with the fewest voters. voter is "" if the learners are to be added.
func (m *Manager) successors(e consensus.Electorate, voter string) []Learner {
	learners, votersInZone := m.Learners(e), map[string]int{}
	for _, v := range e.Voters {
		votersInZone[m.Zone(v.Addr)]++
	}
	zone := m.Zone(voter)
	slices.SortStableFunc(learners, func(a, b Learner) int {
		if aInZone, bInZone := a.Zone == zone, b.Zone == zone; aInZone != bInZone {
			if aInZone {
				return -1
			}
			return 1
		}
		return cmp.Compare(votersInZone[a.Zone], votersInZone[b.Zone])
	})
	return learners
}
