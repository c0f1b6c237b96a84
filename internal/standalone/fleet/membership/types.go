package membership

import (
	"mulleinrouter/internal/decision"
)

// Seconds are those of a clock that only goes on.
type Seconds = decision.Seconds

// Phase is where a member is in its life, as it says itself.
type Phase uint8

// The phases.
const (
	Starting Phase = iota // its process is up and does not serve yet
	Serving               // it takes clients
	LameDuck              // it finishes what it has; operators drained it
	Leaving               // SIGTERM came: it leaves the fleet for good or until its next start
)

var phaseNames = [...]string{"starting", "serving", "lame-duck", "leaving"}

func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// State is what an ingress concludes of another.
type State uint8

// The states.
const (
	Alive   State = iota // the protocol holds it for alive, or it was heard directly a short while ago
	Suspect              // the protocol holds it for alive, and it did not answer here of late
	Dead                 // the fleet holds it for dead, and nothing was heard of it directly
	Left                 // it said goodbye
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string { return stateNames[s] }

// Link is what is known of the way to another member and back.
type Link uint8

// The links.
const (
	LinkUnknown       Link = iota // not tried of late
	LinkBidirectional             // it answered
	LinkInboundOnly               // it is heard, and does not answer: what is sent to it does not arrive
	LinkDown                      // it does not answer and is not heard
)

var linkNames = [...]string{"unknown", "both", "in", "none"}

func (l Link) String() string {
	if int(l) < len(linkNames) {
		return linkNames[l]
	}
	return "unknown" // as another process says it
}

// Incarnation is one start of a process under a member's name.
type Incarnation struct {
	Boot  uint64 `json:"Boot"`  // counted on the disk of its machine, from 1; higher is later
	Nonce uint64 `json:"Nonce"` // drawn at the start: tells two processes with one count apart
}

// Newer tells whether c is a later start than o.
func (c Incarnation) Newer(o Incarnation) bool {
	return c.Boot > o.Boot || c.Boot == o.Boot && c.Nonce > o.Nonce
}

// Member is what a member says of itself.
type Member struct {
	Name    string `json:"Name"`
	Addr    string `json:"Addr"`
	Zone    string `json:"Zone"`
	Version string `json:"Version"`
	Incarnation
	Phase  Phase `json:"Phase"`
	Number int   `json:"Number"` // of the ingress, from 0, as clients' sets of ingresses name it
}

// Status is a member and what is concluded of it.
type Status struct {
	Member
	State       State
	Since       Seconds // when that began
	Link        Link
	LastContact Seconds // when it was last heard directly; 0: never
}

// ReachabilityLevel is how much of the fleet an ingress has heard.
type ReachabilityLevel uint8

// The judgements. Whoever builds on them acts for the whole fleet only while Complete or Majority: two parts of a fleet that
// do not hear each other are never both that, for each of them holds more than half of the last agreed fleet.
const (
	Partitioned ReachabilityLevel = iota // half or less of the last agreed fleet is heard, or nothing is known
	Majority                             // more than half of it, not all
	Complete                             // all of it
)

var reachabilityLevelNames = [...]string{"cut-off", "thinned", "whole"}

func (s ReachabilityLevel) String() string { return reachabilityLevelNames[s] }

// Reachability is what an ingress says of itself.
type Reachability struct {
	Level  ReachabilityLevel
	Since  Seconds // when it began
	Until  Seconds // it may be believed until then; behind it, it is CutOff
	Alive  int     // members that are alive, itself among them
	Agreed int     // members of the last agreed fleet, itself among them
}
