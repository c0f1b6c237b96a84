package capacity

// Plan is a planned size of the system, with the part of the state that each role holds, and the limits of the roles.
// Read reads it from a file; the method parameters lists the paths in that file, which docs/operate/emulator.md
// explains. Times are in seconds.
type Plan struct {
	Name     string // name of the file
	Size     Size
	Agent    Process
	Proxy    ProxyProcess
	Control  ControlProcess
	Updates  Updates
	Counters Counters
	Network  Network
	Limits   Limits
}

// StateFigures contains one figure for each kind of state: either the number of items, or the part of them that a
// process holds, from 0 to 1.
type StateFigures struct {
	Routes, Tenants, Services, Servers float64
}

// Size is the size of the system. ControlMachines, Regions and Zones describe the plan only: no requirement depends on
// them.
type Size struct {
	State             StateFigures // number of items of each kind
	Ingresses         float64
	ControlMachines   float64
	Regions           float64
	Zones             float64
	RequestsPerSecond float64
	ChangesPerDay     float64 // changes of the configuration a day
	FailuresPerDay    float64 // failures of servers a day
	RestartsPerDay    float64 // restarts of servers a day
	HeartbeatInterval float64 // heartbeat interval of a server, in seconds
	Days              float64 // length of the planned period, in days
}

// Process describes the memory of a process.
type Process struct {
	Shares     StateFigures // parts of the state that it holds
	GCPercent  float64      // growth of the heap after which a garbage collection runs, in percent of the live heap
	FixedBytes float64      // memory that does not depend on the size, in bytes
}

// ProxyProcess is the proxy of an ingress.
type ProxyProcess struct {
	Process
	TenantsPerRequest float64 // different tenants within a minute for each request of that minute; 1 is the worst case
	LargestGroup      float64 // number of servers of the largest service
	TicksPerSecond    float64 // ticks a second of the decision module
}

// ControlProcess is one control node.
type ControlProcess struct {
	Process
	Voters            float64 // number of voters
	RoundTrip         float64 // round-trip time between two voters, in seconds
	SyncTime          float64 // time of a sync of a voter's disk, in seconds
	HeartbeatNodes    float64 // number of control nodes that accept heartbeats of servers
	HeartbeatReplicas float64 // number of other control nodes to which each heartbeat is replicated
}

// Updates describes how changes of the state reach the agents.
type Updates struct {
	Sources             float64 // number of control nodes that an agent subscribes to
	Copies              float64 // number of those that send it each change
	SourceNodes         float64 // number of all control nodes that serve agents
	Peak                float64 // rate in the busiest minutes as a multiple of the daily mean
	InstancesPerRestart float64 // number of updates for a restarted server
	DeletionShare       float64 // part of the changes that delete an item
	InitialShare        float64 // part of the state that a joining node needs before it serves
	LookupShare         float64 // part of the requests that look up state that the ingress does not hold
	TombstoneDays       float64 // days until a tombstone is removed; 0 means never
}

// Counters describes the use of the shared counters of quotas.
type Counters struct {
	RequestShare  float64 // part of the requests that call a counter's owner
	SlicedTenants float64 // number of tenants of which an ingress has a quota slice
	CallsPerFrame float64 // number of calls in one frame
	CallBytes     float64 // bytes of a call and its answer; 0 means the measured number
	Owners        float64 // number of control nodes that own counters
	Retention     float64 // time for which the report of an ingress is remembered, in seconds
}

// Network describes the overhead of messages on the network, in bytes.
type Network struct {
	SegmentBytes      float64 // headers of TCP, IP and Ethernet for each segment
	HeartbeatBytes    float64 // a server's heartbeat over HTTP and its answer
	MaxFirstCallBytes float64 // limit of an operator's first call, which contains the whole configuration
}

// Limits contains the limits that the system must keep.
type Limits struct {
	Ingress      RoleLimits
	IngressSpeed float64 // part of a core that the ingress has
	Control      RoleLimits
	AddedLatency float64 // latency that may be added to a request, in seconds
	ChangeTime   float64 // time until a change is in force everywhere, in seconds
	StartTime    float64 // time until a joining ingress has its snapshot, in seconds
}

// RoleLimits contains the limits of one role.
type RoleLimits struct {
	Memory         float64 // memory in bytes
	Cores          float64 // processor time in seconds a second
	BytesPerSecond float64
}

// scaledBy returns the plan with its size multiplied by a factor. The number of control machines, regions and zones
// stays, because machines that are reserved for control do not grow with the load.
func (p *Plan) scaledBy(factor float64) *Plan {
	scaled := *p
	size := &scaled.Size
	for _, figure := range []*float64{
		&size.Ingresses,
		&size.State.Servers,
		&size.State.Services,
		&size.State.Routes,
		&size.State.Tenants,
		&size.RequestsPerSecond,
		&size.ChangesPerDay,
		&size.FailuresPerDay,
		&size.RestartsPerDay,
	} {
		*figure *= factor
	}
	return &scaled
}
