package faulttest

import (
	"fmt"
	"time"

	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/standalone/vfs"
)

// Scenario is a fault test as its file describes it.
type Scenario struct {
	Name      string
	Seed      uint64 // seed of the links' random faults
	Ingresses int
	Interval  string // of health checks between members, in the form of the ingresses' own files; empty: 300ms
	Encrypted bool   // gossip is encrypted with a key
	// Voters is how many ingresses, from the first on, elect a leader that grants leases of singleton roles, among them
	// the export of usage records; 0: there are no roles.
	Voters       int
	ClockRates   map[string]float64 // by member: seconds that its clock advances per second; 1 if absent
	QuoteServers int                // links name their relays quotes, quotes2 and so on; 0: one
	ShareQuotas  bool               // members share quotas and verdicts on servers
	// Customers is how many customers send 1.2 times their quota, for the most part at one ingress; 0: one customer
	// whose quota is never used up.
	Customers    int
	Quota        float64 // rate of each customer in units per second; its burst is the same number of units
	Catalogue    bool    // each member has a plans file, and the lease holder of that role announces its revisions
	Idle         bool    // no clients, and members are polled rarely, to measure the cost of the membership itself
	Duration     time.Duration
	Steps        []Step // by time
	Expectations []Expectation
}

// Names returns the names of the members: n1, n2 and so on.
func (s *Scenario) Names() (names []string) {
	for i := range s.Ingresses {
		names = append(names, fmt.Sprint("n", i+1))
	}
	return names
}

// Action is what a step does.
type Action string

// The actions, as scenario files name them.
const (
	ActionLink          Action = "link"     // injects a fault into links
	ActionStop          Action = "stop"     // suspends processes
	ActionKill          Action = "kill"     // kills processes
	ActionStart         Action = "start"    // starts processes
	ActionTwin          Action = "twin"     // starts a second process with the same name on another address
	ActionSave          Action = "save"     // copies folders, for a later start
	ActionTerminate     Action = "term"     // shuts processes down gracefully
	ActionUpgrade       Action = "upgrade"  // replaces processes while they run
	ActionVoters        Action = "voters"   // adds or removes a voter
	ActionLameDuck      Action = "lameduck" // puts members into lame-duck mode
	ActionFill          Action = "fill"     // fills disks
	ActionDisk          Action = "disk"     // makes disk operations fail
	ActionRevise        Action = "revise"   // writes a new revision of the catalogue
	ActionCounter       Action = "counter"  // replaces the quota counter
	ActionServer        Action = "server"   // makes a quote server fail
	ActionShift         Action = "shift"    // moves the customers to other ingresses
	ActionReload        Action = "reload"   // sends SIGHUP
	ActionTransferLease Action = "give"     // transfers the lease of the export role
	ActionGarbage       Action = "rubbish"  // sends packets that are not of the fleet
	ActionKeys          Action = "keys"     // changes the gossip keys
)

// leaseHolderMember denotes the member that holds the lease of the export role when the step is carried out.
const leaseHolderMember = "holder"

// Arguments of steps, as scenario files name them.
const (
	folderKept  = "kept"  // of start: with the folder that the process had
	folderEmpty = "empty" // with an empty folder
	folderSaved = "saved" // with the folder that a step saved

	killedOld = "old"   // of upgrade: the old process is killed during it
	killedNew = "young" // of upgrade: the new process is killed during it

	keysAdd     = "add"  // of keys: adds a key after the others
	keysReverse = "turn" // reverses their order: the first one encrypts
	keysDrop    = "drop" // removes all but the first

	counterRemoved  = "gone"  // of counter: it cannot be reached
	counterRestored = "back"  // the first one is used again
	counterEmpty    = "empty" // a new one is used
	counterSplit    = "split" // every second ingress uses a new one

	votersAdd    = "add" // of voters, before the name of a member
	votersRemove = "remove"
)

// Step is an action at a time.
type Step struct {
	At       time.Duration // after all ingresses have received the complete membership
	Action   Action
	Members  []string
	Duration time.Duration // time after which the action is undone; 0: it is not undone
	// Argument depends on the action: the folder of a start, the change of keys or voters, how a disk or counter fails,
	// the number of a quote server, which process of an upgrade is killed.
	Argument  string
	LinkFault LinkFault // of ActionLink
}

// LinkFault is a fault of the links from some members or fakes to others.
type LinkFault struct {
	From, To      []string
	Bidirectional bool // the links back have the same fault
	Protocol      faultnet.Protocol
	Fault         faultnet.Fault
}

// ExpectationKind is a property that a fault test checks.
type ExpectationKind string

// The properties, as scenario files name them. Members, Observers and Value are fields of the expectation.
const (
	// ExpectState: each observer reports each member in the state Value at least once after After.
	ExpectState ExpectationKind = "state"
	// ExpectNever: no observer reports any member as Value after After.
	ExpectNever ExpectationKind = "never"
	// ExpectAgree: all running members have the same view of the fleet, and it contains them.
	ExpectAgree ExpectationKind = "agree"
	// ExpectReachability: all members report the reachability Value at the same moment.
	ExpectReachability ExpectationKind = "judgement"
	// ExpectNotReachability: no member reports the reachability Value after After.
	ExpectNotReachability ExpectationKind = "not"
	// ExpectAnswered: every request to a running ingress was answered, and some were served.
	ExpectAnswered ExpectationKind = "answered"
	// ExpectLease: one of the members holds the lease of the export role, and runs. With the value again, the fencing
	// token is newer than those before After.
	ExpectLease ExpectationKind = "held"
	// ExpectFencing: billing accepted batches, and their fencing tokens never decreased.
	ExpectFencing ExpectationKind = "fenced"
	// ExpectUsage: the requests of each customer that arrive after After are between Min and Max of its quota.
	ExpectUsage ExpectationKind = "use"
	// ExpectUniqueTokens: each fencing token had only one holder, according to the logs of all processes.
	ExpectUniqueTokens ExpectationKind = "one"
	// ExpectWarned: each member was warned of a server by its peers at some moment, or none ever was.
	ExpectWarned ExpectationKind = "warned"
	// ExpectStaleRejected: billing rejected a batch under an older fencing token.
	ExpectStaleRejected ExpectationKind = "stale"
	// ExpectBilled: each request that arrived at a quote server is billed once, or counted as unknown where its ingress
	// was killed.
	ExpectBilled ExpectationKind = "billed"
	// ExpectAnnounced: all running members have the newest catalogue revision that was written, and the same content of
	// each revision.
	ExpectAnnounced ExpectationKind = "announced"
	// ExpectGarbageRejected: each member counted packets that are not of the fleet.
	ExpectGarbageRejected ExpectationKind = "refused"
)

// Values of expectations, as scenario files name them.
const (
	leaseAgain = "again" // of ExpectLease: under a newer token
	leaseAny   = "any"
	warnedSome = "some" // of ExpectWarned: each member
	warnedNone = "none"

	reachabilityComplete = "whole" // as ingresses report it
	reachabilityMajority = "thinned"
	reachabilityCutOff   = "cut-off"

	stateAlive = "alive"
	stateDead  = "dead"
	stateLeft  = "left"
)

// expectationValues are the kinds of expectations and the values that each may have; nil: it has none.
var expectationValues = map[ExpectationKind][]string{
	ExpectState:           {stateAlive, stateDead, stateLeft},
	ExpectNever:           {stateDead},
	ExpectAgree:           nil,
	ExpectReachability:    {reachabilityComplete, reachabilityMajority, reachabilityCutOff},
	ExpectNotReachability: {reachabilityComplete, reachabilityMajority, reachabilityCutOff},
	ExpectAnswered:        nil,
	ExpectLease:           {leaseAgain, leaseAny},
	ExpectFencing:         nil,
	ExpectUsage:           nil,
	ExpectUniqueTokens:    nil,
	ExpectWarned:          {warnedSome, warnedNone},
	ExpectStaleRejected:   nil,
	ExpectBilled:          nil,
	ExpectAnnounced:       nil,
	ExpectGarbageRejected: nil,
}

// Expectation is a property that the fleet must have.
type Expectation struct {
	Kind      ExpectationKind
	Members   []string // members that it applies to; empty: all
	Observers []string // members that report it; empty: all
	Value     string
	After     time.Duration // the start of the period that it applies to
	Max       float64       // of ExpectUsage: as a fraction of the quota in that period
	Min       float64       // of ExpectUsage: as Max
	Within    time.Duration // time limit for it to become true; for what must never happen, the length of the period
}

// diskFaults are the ways in which a disk fails, below the file operations of a process.
var diskFaults = map[string]map[vfs.Op]vfs.Fault{
	"write":  {vfs.Write: {Err: "EIO"}},
	"torn":   {vfs.Write: {Err: "EIO", Torn: true}},
	"full":   {vfs.Write: {Err: "ENOSPC", Torn: true}},
	"sync":   {vfs.Sync: {Err: "EIO"}},
	"rename": {vfs.Rename: {Err: "EIO"}},
}

// The names of fakes as ends of links. What an ingress sends to a fake goes over a link, too.
const (
	fakeDiscovery = "discovery"
	fakeCounter   = "counter"
	fakeBilling   = "billing"
)

// fakeQuoteServers are the names of quote servers as ends of links, by number from 0.
var fakeQuoteServers = []string{"quotes", "quotes2", "quotes3", "quotes4", "quotes5", "quotes6"}

// fakeNames returns the names of all ends of links that are not members.
func fakeNames() []string {
	return append([]string{fakeDiscovery, fakeCounter, fakeBilling}, fakeQuoteServers...)
}
