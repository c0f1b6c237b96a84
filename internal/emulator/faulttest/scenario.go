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
	Interval  string // of health checks between members, as in an ingress's configuration file; empty: 300ms
	Encrypted bool   // gossip is encrypted with a key
	// Voters is how many ingresses, from the first on, elect a leader that grants leases of singleton roles, among them
	// the export of usage records. 0 means that there are no such roles.
	Voters       int
	ClockRates   map[string]float64 // by member: seconds that its clock advances per second; 1 if absent
	QuoteServers int                // number of quote servers, which links call quotes, quotes2 and so on; 0 means 1
	ShareQuotas  bool               // members share quotas, and warn each other of failing servers
	// Customers is how many customers send 1.2 times their quota, most of it through one ingress. They send in addition
	// to the clients, whose quota is never used up.
	Customers    int
	Quota        float64       // rate of each customer in units per second; its burst is the same number of units
	Catalogue    bool          // each member has a plans file; the lease holder of the catalogue role announces its own
	Idle         bool          // no requests and rare polls, to measure the cost of the membership itself
	Duration     time.Duration // from the scenario's start (see Step.At) to its end
	Steps        []Step        // sorted by time
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

// leaseHolderMember is written in place of members in a scenario file. It means the member that holds the lease of the
// export role when the step is carried out.
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

	counterRemoved  = "gone"  // of counter: the quota counter cannot be reached
	counterRestored = "back"  // all ingresses use the first counter again
	counterEmpty    = "empty" // all ingresses use a new counter
	counterSplit    = "split" // every second ingress uses a new counter, the others the first one

	votersAdd    = "add" // of voters, before the name of a member
	votersRemove = "remove"
)

// Step is an action at a time.
type Step struct {
	At       time.Duration // since the scenario's start, when all ingresses have received the complete membership
	Action   Action
	Members  []string      // empty: the action applies to the lease holder, or to no member (see actionsWithoutNodes)
	Duration time.Duration // time after which the action is undone; 0: it is not undone
	// Argument depends on the action: the folder of a start, the change of the keys, the voters or the counter, how a
	// disk fails, the number of a quote server, or which process of an upgrade is killed.
	Argument  string
	LinkFault LinkFault // of ActionLink
}

// LinkFault is a fault of the links from some members or fakes to others.
type LinkFault struct {
	From, To      []string
	Bidirectional bool // the links in the opposite direction have the same fault
	Protocol      faultnet.Protocol
	Fault         faultnet.Fault
}

// ExpectationKind is a property that a fault test checks.
type ExpectationKind string

// The properties, as scenario files name them. Members, Observers and Value are fields of the expectation.
const (
	// ExpectState: each observer that runs at the end reported each other member in the state Value at After or later.
	ExpectState ExpectationKind = "state"
	// ExpectNever: no observer reports any member in the state Value in the period Within after After.
	ExpectNever ExpectationKind = "never"
	// ExpectAgree: all running members have the same view of the fleet, and it contains them.
	ExpectAgree ExpectationKind = "agree"
	// ExpectReachability: all members report the reachability Value at the same moment. Without Members, all running
	// members do.
	ExpectReachability ExpectationKind = "judgement"
	// ExpectNotReachability: no member reports the reachability Value in the period Within after After.
	ExpectNotReachability ExpectationKind = "not"
	// ExpectAnswered: every request to a running ingress was answered, and some were served.
	ExpectAnswered ExpectationKind = "answered"
	// ExpectLease: one of the members holds the lease of the export role, and runs. With the value "again", the fencing
	// token is newer than those before After.
	ExpectLease ExpectationKind = "held"
	// ExpectFencing: billing accepted batches, and their fencing tokens never decreased.
	ExpectFencing ExpectationKind = "fenced"
	// ExpectUsage: the number of each customer's requests that arrive in the period Within after After is from Min to
	// Max, as fractions of its quota in that period.
	ExpectUsage ExpectationKind = "use"
	// ExpectUniqueTokens: according to the logs of all processes, leases were acquired, and each fencing token had only
	// one holder.
	ExpectUniqueTokens ExpectationKind = "one"
	// ExpectWarned: with the value "some", other members warned each member of a server at some moment. With "none", no
	// member was warned.
	ExpectWarned ExpectationKind = "warned"
	// ExpectStaleRejected: billing rejected a batch because its fencing token was older than the newest one or invalid.
	ExpectStaleRejected ExpectationKind = "stale"
	// ExpectBilled: no more requests are billed than arrived at the quote servers. Those that arrived without being
	// billed are covered by the requests that are counted as unknown, because their ingress was killed, or as not
	// recorded, because the disk was full. No two batches with the same number differ.
	ExpectBilled ExpectationKind = "billed"
	// ExpectAnnounced: all running members have the newest catalogue revision that was written, and the same content of
	// each revision.
	ExpectAnnounced ExpectationKind = "announced"
	// ExpectGarbageRejected: each member counted packets that it rejected because they are not of the fleet.
	ExpectGarbageRejected ExpectationKind = "refused"
)

// Values of expectations, as scenario files name them.
const (
	leaseAgain = "again" // of ExpectLease: under a newer token
	leaseAny   = "any"   // under any token
	warnedSome = "some"  // of ExpectWarned: each member was warned
	warnedNone = "none"  // no member was warned

	reachabilityComplete = "whole" // as ingresses report it
	reachabilityMajority = "thinned"
	reachabilityCutOff   = "cut-off"

	stateAlive = "alive"
	stateDead  = "dead"
	stateLeft  = "left"
)

// expectationValues contains, by kind of expectation, the values that it may have; nil means that it has no value.
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
	Max       float64       // of ExpectUsage: upper limit, as a fraction of the quota in that period
	Min       float64       // of ExpectUsage: lower limit, as a fraction of the quota in that period
	// Within is the time limit for it to become true. For what must never happen and for ExpectUsage, it is the length
	// of the period.
	Within time.Duration
}

// diskFaults are the ways in which a disk fails, below the file operations of a process.
var diskFaults = map[string]map[vfs.Op]vfs.Fault{
	"write":  {vfs.Write: {Err: "EIO"}},
	"torn":   {vfs.Write: {Err: "EIO", Torn: true}},
	"full":   {vfs.Write: {Err: "ENOSPC", Torn: true}},
	"sync":   {vfs.Sync: {Err: "EIO"}},
	"rename": {vfs.Rename: {Err: "EIO"}},
}

// Names of fakes as ends of links. An ingress is connected to each fake by a link, as it is to other members.
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
