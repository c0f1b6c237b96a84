package quorum

import (
	"maps"
	"slices"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// State is the state of a voter, as logs show it.
type State string

// States of a voter.
const (
	// Unformed means that the store knows no voters, and that the voter waits to be bootstrapped or added.
	Unformed State = "unformed"
	// Waiting means that the voter asks the others up to which boot and entry they have seen it, and does not vote
	// until a majority has confirmed that its store is not behind.
	Waiting State = "waiting"
	// Voting means that the voter takes part in raft's elections and replication.
	Voting State = "voting"
	// Busy means that an older process of this ingress, which is being replaced, has the store open.
	Busy State = "busy"
	// Full means that the disk is full. The voter sends nothing, and restarts from its store once there is space.
	Full State = "full"
	// Retired means that the store was rolled back, is corrupt or failed, or that raft panicked. The voter does not
	// vote under its id again.
	Retired State = "retired"
)

// Status describes a voter.
type Status struct {
	State   State
	Reason  string // reason for the last state Busy, Full or Retired; it is kept when the state ends
	ID      uint64
	Boot    uint64
	Leader  string // name; empty: no leader is known
	Leading bool   // this voter leads, and has applied all entries of earlier leaders
	Term    uint64
	Applied uint64 // index of the last entry applied
	Voters  []string
}

// Status returns the present status.
func (v *Voter) Status() Status {
	s := Status{State: v.state, Reason: v.reason, Applied: v.appliedIndex, Leading: v.leading}
	if v.durable != nil {
		s.ID, s.Boot = v.durable.ID, v.durable.Boot
		s.Leader = v.durable.VoterNames[v.leader]
		s.Voters = slices.Sorted(maps.Values(v.durable.VoterNames))
	}
	if v.node != nil {
		s.Term = v.node.BasicStatus().GetTerm()
	}
	return s
}

// Table returns the table of leases as far as this voter has applied the log. It must not be changed.
func (v *Voter) Table() *singleton.LeaseTable { return v.table }

// Candidates returns the names of the candidates for a role. The result is out of date unless this voter leads.
func (v *Voter) Candidates(role string) []string { return v.manager.Candidates(role) }
