package capacity

import "slices"

// ingressRequirements adds the requirements of the agent and of the proxy of one ingress, and of both together for the
// limits that they share.
func (e *estimator) ingressRequirements() {
	e.ingressMemory()
	e.ingressProcessor()
	e.agentBytes()
	e.snapshotTime()
}

func (e *estimator) ingressMemory() {
	limit := e.Limits.Ingress.Memory
	agent := e.require(Agent, "memory", Bytes, limit, e.agentMemory())
	proxy := e.require(Proxy, "memory for control", Bytes, limit, e.proxyMemory())
	e.require(Ingress, "memory for control", Bytes, limit, slices.Concat(agent.Terms, proxy.Terms))
}

func (e *estimator) agentMemory() []Term {
	d := e.newDemand()
	for _, kind := range stateKinds {
		d.addState(&e.Agent, kind, kind.storeSeries)
	}
	d.addGarbage(e.Agent.GCPercent)
	d.add("fixed", e.Agent.FixedBytes, 1)
	return d.terms
}

func (e *estimator) proxyMemory() []Term {
	d := e.newDemand()
	for _, kind := range stateKinds {
		series := []string{kind.storeSeries}
		if kind.proxySeries != "" {
			series = append(series, kind.proxySeries)
		}
		d.addState(&e.Proxy.Process, kind, series...)
	}
	d.add("active tenants", e.unitCost("gateway.tenant"), e.activeTenants())
	d.addGarbage(e.Proxy.GCPercent)
	d.add("fixed", e.Proxy.FixedBytes, 1)
	return d.terms
}

func (e *estimator) ingressProcessor() {
	limit := e.Limits.Ingress.Cores
	agent := e.agentProcessor()
	e.require(Agent, "processor, without system calls", Cores, limit, agent)
	proxy := e.proxyProcessor()
	e.require(Proxy, "processor for control", Cores, limit, proxy)
	e.require(Ingress, "processor for control", Cores, limit, slices.Concat(agent, proxy))
}

// storedTenants returns the number of tenants in the larger of the stores of agent and proxy, at least 1.
func (e *estimator) storedTenants() float64 {
	tenants := e.Size.State.Tenants
	return max(tenants*e.Agent.Shares.Tenants, tenants*e.Proxy.Shares.Tenants, 1)
}

// storedInstances returns the number of instances in the larger of the stores of agent and proxy, at least 1.
func (e *estimator) storedInstances() float64 {
	servers := e.Size.State.Servers
	return max(servers*e.Agent.Shares.Servers, servers*e.Proxy.Shares.Servers, 1)
}

func (e *estimator) agentProcessor() []Term {
	rates, sources, copies := e.ingressRates(), e.Updates.Sources, e.Updates.Copies
	tenants, instances := e.storedTenants(), e.storedInstances()
	d := e.newDemand()
	d.addFrames("heartbeats read", "read.beat", sources*heartbeatsPerSecond)
	d.addFrames("renewals written", "write.renew", sources*heartbeatsPerSecond)
	d.addFrames("heartbeats to the proxy", "write.beat", heartbeatsPerSecond)
	d.addFrames("renewals of the proxy", "read.renew", heartbeatsPerSecond)
	d.addFrames("changes read", "read.tenant", rates.changes*copies)
	d.addOperations("changes applied", "change.store", tenants, rates.changes)
	d.addFrames("changes to the proxy", "write.tenant", rates.changes)
	d.addFrames("instances read", "read.line", rates.instances*copies)
	d.addOperations("instances applied", "change.line", instances, rates.instances)
	d.addFrames("instances to the proxy", "write.line", rates.instances)
	d.addFrames("counter calls forwarded: written", "write.count", rates.counterCalls)
	d.addFrames("counter calls forwarded: read", "read.count", rates.counterCalls)
	d.addCollector(e.Agent.GCPercent)
	return d.terms
}

func (e *estimator) proxyProcessor() []Term {
	rates, ticks := e.ingressRates(), e.Proxy.TicksPerSecond
	tenants, instances := e.storedTenants(), e.storedInstances()
	servers := ticks * e.Size.State.Servers * e.Proxy.Shares.Servers
	d := e.newDemand()
	d.addFrames("heartbeats read", "read.beat", heartbeatsPerSecond)
	d.addFrames("changes read", "read.tenant", rates.changes)
	d.addOperations("changes applied", "change.store", tenants, rates.changes)
	d.addOperations("routing tables updated", "change.with", tenants, rates.changes)
	d.addFrames("instances read", "read.line", rates.instances)
	d.addOperations("instances applied", "change.line", instances, rates.instances)
	d.addFrames("ticks, by servers known", "tick.servers", servers)
	d.addFrames("ticks, by active tenants", "tick.thin", ticks*e.activeTenants())
	d.addFrames("ticks, by tenants with a slice", "tick.sliced", ticks*e.Counters.SlicedTenants)
	// The series count one Add and one Total as a call. The proxy writes the Add and reads the Total.
	d.addFrames("counter calls: written", "write.count", rates.counterCalls/2)
	d.addFrames("counter calls: read", "read.count", rates.counterCalls/2)
	d.addCollector(e.Proxy.GCPercent)
	return d.terms
}

// agentBytes adds the bytes a second on the agent's connections to control nodes, including the headers of segments.
func (e *estimator) agentBytes() {
	rates, sources, copies := e.ingressRates(), e.Updates.Sources, e.Updates.Copies
	segment := e.Network.SegmentBytes
	d := e.newDemand()
	d.add("heartbeats", e.unitCost("wire.beat")+segment, sources*heartbeatsPerSecond)
	d.add("renewals", e.unitCost("wire.renew")+segment, sources*heartbeatsPerSecond)
	d.add("changes", e.unitCost("wire.tenant")+segment, rates.changes*copies)
	d.add("instances", e.unitCost("wire.line")+segment, rates.instances*copies)
	d.add("counter calls", e.counterCallBytes(), rates.counterCalls)
	d.add("segments of counter calls", 2*segment, rates.counterCalls/e.Counters.CallsPerFrame)
	d.add(
		"look-ups of what is not stored, in those calls",
		e.unitCost("wire.tenant"),
		rates.requests*e.Updates.LookupShare,
	)
	e.require(Agent, "bytes a second, to control nodes", BytesPerSecond, e.Limits.Ingress.BytesPerSecond, d.terms)
}

// snapshotTime adds the time in which a joining ingress receives its snapshot at the ingress's limit of bytes a second.
func (e *estimator) snapshotTime() {
	copies, bytesPerSecond := e.Updates.Copies, e.Limits.Ingress.BytesPerSecond
	d := e.newDemand()
	for _, kind := range stateKinds {
		items := e.Updates.InitialShare * kind.figure(&e.Size.State)
		share := max(kind.figure(&e.Agent.Shares), kind.figure(&e.Proxy.Shares))
		d.add(kind.name, e.unitCost(kind.wireSeries)*copies/bytesPerSecond, items*share)
	}
	e.require(Agent, "a joining ingress's snapshot at its bytes a second", Seconds, e.Limits.StartTime, d.terms)
}
