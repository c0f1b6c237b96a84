package capacity

// Plan is a planned size of the system, which part of the state each role holds, and the limits of the roles. Read
// makes one from a file, whose paths parameters lists; docs/operate/emulator.md explains them. Times are in seconds.
type Plan struct {
	Name     string // of its file
	Size     Size
	Agent    Process
	Proxy    ProxyProcess
	Control  ControlProcess
	Updates  Updates
	Counters Counters
	Network  Network
	Limits   Limits
}

// StateFigures is one figure for each kind of state: how many there are, or the part, 0 to 1, that a process holds.
type StateFigures struct {
	Routes, Tenants, Services, Servers float64
}

// Size is the size of the system.
type Size struct {
	State             StateFigures // how many there are
	Ingresses         float64
	ControlMachines   float64
	Regions           float64
	Zones             float64
	RequestsPerSecond float64
	ChangesPerDay     float64 // of the configuration
	FailuresPerDay    float64 // of servers
	RestartsPerDay    float64 // of servers
	HeartbeatInterval float64 // of a server
	Days              float64 // of the plan
}

// Process is what a process has in memory.
type Process struct {
	Shares     StateFigures // the part of all of them
	GCPercent  float64      // by how much the heap grows until it is collected
	FixedBytes float64      // memory that does not depend on the size
}

// ProxyProcess is the proxy of an ingress.
type ProxyProcess struct {
	Process
	TenantsPerRequest float64 // different ones within a minute, for each request of that minute; 1 is the worst case
	LargestGroup      float64 // servers of a large service
	TicksPerSecond    float64 // of the decision module
}

// ControlProcess is one control node.
type ControlProcess struct {
	Process
	Voters            float64
	RoundTrip         float64 // between two voters
	SyncTime          float64 // of a voter's disk
	HeartbeatNodes    float64 // control nodes that accept heartbeats of servers
	HeartbeatReplicas float64 // other control nodes to which each heartbeat is replicated
}

// Updates is how changes of the state reach the agents.
type Updates struct {
	Sources             float64 // control nodes that an agent subscribes to
	Copies              float64 // how many of them send it each change
	SourceNodes         float64 // control nodes that serve agents, in all
	Peak                float64 // the busiest minutes, times the mean of the day
	InstancesPerRestart float64 // updates for a restarted server
	DeletionShare       float64 // part of the changes that delete an item
	InitialShare        float64 // part of the state that a joining node needs before it serves
	LookupShare         float64 // part of the requests that look up what the ingress does not hold
	TombstoneDays       float64 // until a tombstone is removed; 0: never
}

// Counters are the shared counters of quotas.
type Counters struct {
	RequestShare  float64 // part of the requests that call a counter's owner
	SlicedTenants float64 // tenants of which an ingress has a quota slice
	CallsPerFrame float64
	CallBytes     float64 // of a call and its answer; 0: as measured
	Owners        float64 // control nodes that own counters
	Retention     float64 // for which the report of an ingress is remembered
}

// Network is what messages cost on the network beside their contents, in bytes.
type Network struct {
	SegmentBytes      float64 // headers of TCP, IP and Ethernet
	HeartbeatBytes    float64 // of a server's heartbeat over HTTP and its answer
	MaxFirstCallBytes float64 // of an operator's first call
}

// Limits are the limits that are to be kept.
type Limits struct {
	Ingress      RoleLimits
	IngressSpeed float64 // the part of a core that the ingress has
	Control      RoleLimits
	AddedLatency float64 // of a request
	ChangeTime   float64 // until a change is in force everywhere
	StartTime    float64 // until a joining ingress has its snapshot
}

// RoleLimits are the limits of one role.
type RoleLimits struct {
	Memory         float64 // bytes
	Cores          float64 // processor seconds a second
	BytesPerSecond float64
}

// scaledBy returns the plan with its size times a factor. Machines that are reserved for control do not grow by
// themselves.
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
