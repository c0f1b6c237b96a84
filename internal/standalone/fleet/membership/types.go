package membership

import (
	"mulleinrouter/internal/decision"
)

// Seconds are seconds of a monotonic clock.
type Seconds = decision.Seconds

// unknownName stands for a value that a newer version sent.
const unknownName = "unknown"

// Phase is where a process is in its life cycle, as it says itself.
type Phase uint8

// The phases. Their numbers are on the wire and on disk.
const (
	Starting Phase = iota // the process runs and doesn't serve yet
	Serving               // it accepts clients
	LameDuck              // an operator drains it: it finishes the requests that it has
	Leaving               // it received SIGTERM and leaves the fleet until its next start
)

var phaseNames = [...]string{"starting", "serving", "lame-duck", "leaving"}

func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return unknownName
}

// State is the conclusion about another member.
type State uint8

// The states.
const (
	Alive   State = iota // alive by the SWIM protocol, or in direct contact a short while ago
	Suspect              // alive by the SWIM protocol, but recent probes from here were not acknowledged
	Dead                 // dead by the SWIM protocol, and without direct contact since
	Left                 // it left by itself
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string { return stateNames[s] }

// Link is in which directions messages between this ingress and another member arrive. Its numbers are on the wire.
type Link uint8

// The states of a link.
const (
	LinkUnknown       Link = iota // not probed recently
	LinkBidirectional             // the member acknowledged a probe
	LinkInboundOnly               // its messages arrive here, but it acknowledges nothing: messages from here are lost
	LinkDown                      // it acknowledges nothing and sends nothing
)

var linkNames = [...]string{"unknown", "both", "in", "none"}

func (l Link) String() string {
	if int(l) < len(linkNames) {
		return linkNames[l]
	}
	return unknownName // received from another process
}

// Incarnation identifies one start of a process under a member's name.
type Incarnation struct {
	Boot  uint64 `json:"Boot"`  // counted on the disk of its machine, from 1; higher is later
	Nonce uint64 `json:"Nonce"` // drawn at random at the start: distinguishes two processes with the same count
}

// Newer reports whether i is a later start than other.
func (i Incarnation) Newer(other Incarnation) bool {
	return i.Boot > other.Boot || i.Boot == other.Boot && i.Nonce > other.Nonce
}

// Pair returns the incarnation in the form that messages carry.
func (i Incarnation) Pair() [2]uint64 { return [2]uint64{i.Boot, i.Nonce} }

// IncarnationFromPair is the reverse of Pair.
func IncarnationFromPair(pair [2]uint64) Incarnation {
	return Incarnation{Boot: pair[0], Nonce: pair[1]}
}

// Member is what a member says of itself. It is stored on disk as JSON.
type Member struct {
	Name    string `json:"Name"`
	Addr    string `json:"Addr"`
	Zone    string `json:"Zone"`
	Version string `json:"Version"`
	Incarnation
	Phase  Phase `json:"Phase"`
	Number int   `json:"Number"` // index of the ingress, from 0, as clients' sets of ingresses name it
}

// Status is a member and the conclusions about it.
type Status struct {
	Member
	State       State
	Since       Seconds // when State began
	Link        Link
	LastContact Seconds // when a message last came from it directly; 0: never
}

// ReachabilityLevel is how much of the fleet an ingress can reach.
type ReachabilityLevel uint8

// The levels. Actions on all ingresses are allowed at Majority and Complete only. Two parts of a partitioned fleet
// are never both at one of these levels, as each of them reaches more than half of the last agreed membership.
const (
	Partitioned ReachabilityLevel = iota // at most half of the last agreed membership is reached, or nothing is known
	Majority                             // more than half of it, but not all
	Complete                             // all of it
)

var reachabilityLevelNames = [...]string{"cut-off", "thinned", "whole"}

func (r ReachabilityLevel) String() string { return reachabilityLevelNames[r] }

// Reachability is an ingress's conclusion about its own contact with the fleet.
type Reachability struct {
	Level  ReachabilityLevel
	Since  Seconds // when Level began
	Until  Seconds // when the conclusion expires; from then on the level is Partitioned
	Alive  int     // members that are alive, this one included
	Agreed int     // members of the last agreed membership, this one included
}
