package capacity

// latencyRequirements adds the times that a tick, a request and a change of the configuration take.
func (e *estimator) latencyRequirements() {
	e.tickTime()
	e.requestTime()
	e.changeTime()
}

// tickTime adds the time of a tick of decision.Gateway, which delays the requests that arrive during the tick.
func (e *estimator) tickTime() {
	speed := e.Limits.IngressSpeed
	servers := e.Size.State.Servers * e.Proxy.Shares.Servers
	d := e.newDemand()
	d.add("servers known", e.unitCost("tick.servers")/speed, servers)
	d.add("active tenants", e.unitCost("tick.thin")/speed, e.activeTenants())
	d.add("tenants with a slice", e.unitCost("tick.sliced")/speed, e.Counters.SlicedTenants)
	e.require(Proxy, "a tick, in which no request is decided", Seconds, e.Limits.AddedLatency, d.terms)
}

// requestTime adds the time to look up the route and the tenant of a request and to decide it.
func (e *estimator) requestTime() {
	speed := e.Limits.IngressSpeed
	routes := max(1, e.Size.State.Routes*e.Proxy.Shares.Routes)
	tenants := max(1, e.Size.State.Tenants*e.Proxy.Shares.Tenants)
	d := e.newDemand()
	d.add("route found", e.costAt("lookup.route", routes)/speed, 1)
	d.add("tenant found", e.costAt("lookup.tenant", tenants)/speed, 1)
	d.add("request decided", e.costAt("request.servers", e.Proxy.LargestGroup)/speed, 1)
	e.require(Proxy, "a request found and decided, by itself", Seconds, e.Limits.AddedLatency, d.terms)
}

// changeTime adds the time from an operator's call that changes the configuration until the change is in force at all
// ingresses. It assumes that all queues are empty.
func (e *estimator) changeTime() {
	const (
		ballotRounds = 2    // prepare and accept
		syncs        = 2    // one sync of the voters' disks in each round
		hops         = 2    // to the sources, and to the agents
		minCores     = 1e-3 // lower bound of the limit of cores, which avoids a division by 0
	)
	subscribers := e.Size.Ingresses * e.Updates.Copies / e.Updates.SourceNodes
	frame := e.unitCost("write.beat") + e.unitCost("write.tenant")
	roundTrip := e.Control.RoundTrip
	d := e.newDemand()
	d.add("rounds of the voters", roundTrip, ballotRounds)
	d.add("syncs", e.Control.SyncTime, syncs)
	d.add("to the sources and the agents", roundTrip/2, hops)
	d.add("frames to all subscribers of a node", frame/max(minCores, e.Limits.Control.Cores), subscribers)
	e.require(System, "a change in force, nothing queued", Seconds, e.Limits.ChangeTime, d.terms)
}
