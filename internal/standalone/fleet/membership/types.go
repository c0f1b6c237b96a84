package membership

import (
	"mulleinrouter/internal/decision"
)

// Seconds are seconds of a monotonic clock.
type Seconds = decision.Seconds

// unknownName is the name of a value that this version doesn't know, as a newer version may send.
const unknownName = "unknown"

// Phase is the phase of a process's life cycle, as the process reports it.
type Phase uint8

// The phases. Their numbers are on the wire and on disk.
const (
	Starting Phase = iota // the process runs and doesn't serve yet
	Serving               // it accepts clients
	LameDuck              // an operator drains it, and it finishes the requests in progress
	Leaving               // it received SIGTERM and leaves the fleet until its next start
)

var phaseNames = [...]string{"starting", "serving", "lame-duck", "leaving"}

func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return unknownName
}

// State is the state of another member by the view of this process.
type State uint8

// The states.
const (
	Alive   State = iota // alive by the SWIM protocol, or declared dead but in direct contact since
	Suspect              // its recent probes were missed, or it was declared dead and this is not confirmed yet
	Dead                 // dead by the SWIM protocol, and without recent direct contact since
	Left                 // it announced that it leaves
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string { return stateNames[s] }

// Link is the state of the link to another member, that is, the directions in which messages arrive. Its numbers are on
// the wire.
type Link uint8

// The states of a link.
const (
	LinkUnknown       Link = iota // recently, no message of the member arrived and no probe of it was missed
	LinkBidirectional             // its messages arrive here, and no recent probe of it was missed
	LinkInboundOnly               // its messages arrive here, but it acknowledges no probe, so messages to it are lost
	LinkDown                      // it acknowledges no probe and sends nothing
)

var linkNames = [...]string{"unknown", "both", "in", "none"}

func (l Link) String() string {
	if int(l) < len(linkNames) {
		return linkNames[l]
	}
	return unknownName // a number received from another process
}

// Incarnation identifies one start of a process under a member's name.
type Incarnation struct {
	Boot  uint64 `json:"Boot"`  // number of the start, counted on the machine's disk from 1; higher is later
	Nonce uint64 `json:"Nonce"` // random number that distinguishes two processes with the same count
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

// Member is the description of itself that a member publishes. It is stored on disk as JSON.
type Member struct {
	Name    string `json:"Name"`
	Addr    string `json:"Addr"`
	Zone    string `json:"Zone"`
	Version string `json:"Version"`
	Incarnation
	Phase  Phase `json:"Phase"`
	Number int   `json:"Number"` // index of the ingress in the configuration of the fleet, from 0
}

// Status is a member and its state by the view of this process.
type Status struct {
	Member
	State       State
	Since       Seconds // when State began
	Link        Link
	LastContact Seconds // time of the last message that came from it directly; 0: never
}

// ReachabilityLevel is how much of the fleet an ingress can reach.
type ReachabilityLevel uint8

// The levels. Actions on all ingresses are allowed at Majority and Complete only. Two parts of a partitioned fleet
// are never both at one of these levels, because an ingress is at them only while it reaches more than half of the last
// agreed membership.
const (
	// At Partitioned, at most half of the last agreed membership is alive, no message arrived within reachabilityTTL,
	// or most of the recent probes were missed.
	Partitioned ReachabilityLevel = iota
	Majority                      // more than half of the last agreed membership is alive, but not all
	Complete                      // all of the last agreed membership is alive
)

var reachabilityLevelNames = [...]string{"cut-off", "thinned", "whole"}

func (r ReachabilityLevel) String() string { return reachabilityLevelNames[r] }

// Reachability is the level of an ingress's contact with the fleet, with the time for which it is valid.
type Reachability struct {
	Level ReachabilityLevel
	Since Seconds // when Level began
	Until Seconds // when Level expires, unless it is renewed; from then on it is Partitioned

	// Alive is the number of members of the last agreed membership whose state is Alive, this one included. After a
	// restart of the SWIM protocol, another member counts only once the protocol has reported it again.
	Alive  int
	Agreed int // members of the last agreed membership, this one included
}
