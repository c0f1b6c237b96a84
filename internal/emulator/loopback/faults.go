package loopback

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration // time since the start of the traffic
	Name string        // name of a FaultKind
	// Target is the index, modulo their number, of one of the machines, servers, services or tenants that the fault can
	// affect. It is not negative.
	Target int
}

// linkFaultPrefix is the prefix of the names of faults that cut links.
const linkFaultPrefix = "cut-"

func (f Fault) cutsLinks() bool { return strings.HasPrefix(f.Name, linkFaultPrefix) }

// FaultKind is a kind of fault that a schedule can contain.
type FaultKind struct {
	Name string
	Help string // description, one line
}

// faultKind is an entry in the table of faults. inject returns when the fault is over, except for parts of the fault
// that it starts in cluster.faultRuns.
type faultKind struct {
	help   string
	inject func(cl *cluster, target int)
}

// faults is the table of faults, by name. The inject functions are in machinefaults.go, partitionfaults.go,
// serverfaults.go and configfaults.go.
var faults = map[string]faultKind{
	"kill-proxy":    {"a proxy is killed", killProxy},
	"kill-agent":    {"an agent is killed", killAgent},
	"kill-edge":     {"a proxy and its agent are killed", killEdge},
	"kill-core":     {"a core node is killed", killCore},
	"kill-all-core": {"all core nodes are killed at once", killAllCore},
	"wipe-core":     {"a core node loses its disk right after it has acknowledged a change", wipeCore},
	"blackout": {
		"all core nodes are killed right after a change is acknowledged, and the one that did so loses its disk",
		killAllCoreAndWipe,
	},
	"roll-core":   {"core nodes get SIGTERM one after the other", rollCore},
	"roll-edge":   {"edge machines get SIGTERM one after the other", rollEdge},
	"roll-one":    {"an edge machine gets SIGTERM", restartEdge},
	"retire-core": {"a core node is killed and never started again", retireCore},
	"freeze-core": {"a core node is suspended for 4 s", suspendCore},
	"cut-core":    {"a core node is cut off from the others for 8 s, and gets calls in that time", partitionCore},
	"cut-one-way": {
		"messages from a core node to the others are lost for 8 s; connections close within 2 s and reopen afterwards",
		partitionCoreOutward,
	},
	"cut-deaf": {
		"messages to a core node from the others are lost for 8 s; connections close within 2 s and reopen afterwards",
		partitionCoreInward,
	},
	"cut-all": {
		"a core node is cut off from the others and from all agents for 8 s; an edge machine is restarted meanwhile",
		partitionCoreFromAll,
	},
	"cut-restart": {
		"a core node is cut off for 8 s and killed halfway; then the others are killed, one after the other",
		partitionCoreAndKill,
	},
	"cut-edge": {"an edge machine is cut off from all core nodes for 3 s", partitionEdge},
	"crash":    {"a server crashes, and another one starts", crashServer},
	"reuse":    {"a server crashes, and a server of another service gets its address", reuseAddress},
	"dark":     {"a server neither executes nor answers requests for 3 s, and sends no heartbeats", blackHoleServer},
	"release":  {"the servers of a service are replaced, new ones first", releaseService},
	"scale-in": {"a server announces that it drains, and stops after the drain time", removeServer},
	"lose":     {"answers are lost after their requests ran", badResponses(loseResponse)},
	"reset":    {"connections are reset while their requests run", badResponses(resetConn)},
	"garble":   {"servers send bytes that are not an HTTP response", badResponses(garbleResponse)},
	"cut":      {"answers end in the middle", badResponses(truncateResponse)},
	"surplus":  {"answers come a second time, late", badResponses(repeatResponse)},
	"config":   {"the configuration changes a few times", changeConfig},
	"race":     {"two operators change a route at once, with the same version", raceOperators},
	"invalid":  {"invalid configurations are sent", sendInvalidConfig},
	"revoke":   {"a tenant's API key is replaced by another one", revokeKey},
	"hot":      {"a tenant sends eight times its usual rate of requests for 6 s", heatTenant},
}

// FaultKinds returns all kinds of faults that a schedule can contain, sorted by name.
func FaultKinds() []FaultKind {
	var kinds []FaultKind
	for _, name := range faultNames() {
		kinds = append(kinds, FaultKind{Name: name, Help: faults[name].help})
	}
	return kinds
}

func faultNames() []string { return slices.Sorted(maps.Keys(faults)) }

// inject waits until the scheduled time of a fault, and injects it.
func (cl *cluster) inject(scheduled Fault) {
	if !cl.sleepInTraffic(scheduled.At) {
		return
	}
	cl.recorder.notef("%.1f s: %s", cl.now()-cl.trafficStart, scheduled.Name)
	cl.lastFault.Store(&scheduled)
	faults[scheduled.Name].inject(cl, scheduled.Target)
}
