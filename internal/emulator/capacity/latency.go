package capacity

// latencyRequirements adds what a request and a change of the configuration take.
func (e *estimator) latencyRequirements() {
	e.tickTime()
	e.requestTime()
	e.changeTime()
}

// tickTime adds the time of a tick of decision.Gateway, which delays each request that arrives meanwhile.
func (e *estimator) tickTime() {
	speed := e.value("limits.ingress.speed")
	servers := e.value("size.servers") * e.value("proxy.servers")
	d := e.newDemand()
	d.add("servers known", e.unitCost("tick.servers")/speed, servers)
	d.add("tenants of the minute", e.unitCost("tick.thin")/speed, e.activeTenants())
	d.add("tenants with a slice", e.unitCost("tick.sliced")/speed, e.value("counters.tenants_sliced"))
	e.require(Proxy, "a tick, in which no request is decided", Seconds, e.value("limits.added_s"), d.terms)
}

// requestTime adds the time to find the route and the tenant of a request and to decide it.
func (e *estimator) requestTime() {
	speed := e.value("limits.ingress.speed")
	routes := max(1, e.value("size.routes")*e.value("proxy.routes"))
	tenants := max(1, e.value("size.tenants")*e.value("proxy.tenants"))
	d := e.newDemand()
	d.add("route found", e.costAt("lookup.route", routes)/speed, 1)
	d.add("tenant found", e.costAt("lookup.tenant", tenants)/speed, 1)
	d.add("request decided", e.costAt("request.servers", e.value("proxy.largest_group"))/speed, 1)
	e.require(Proxy, "a request found and decided, by itself", Seconds, e.value("limits.added_s"), d.terms)
}

// changeTime adds the time from the call of a change until it is in force at all ingresses, with nothing queued.
func (e *estimator) changeTime() {
	const (
		ballotRounds = 2 // prepare and accept
		syncs        = 2 // of the voters in each round
		hops         = 2 // to the sources, and to the agents
		minCores     = 1e-3
	)
	subscribers := e.value("size.ingresses") * e.value("news.copies") / e.value("news.source_nodes")
	frame := e.unitCost("write.beat") + e.unitCost("write.tenant")
	roundTrip := e.value("core.rtt_s")
	d := e.newDemand()
	d.add("rounds of the voters", roundTrip, ballotRounds)
	d.add("syncs", e.value("core.sync_s"), syncs)
	d.add("to the sources and the agents", roundTrip/2, hops)
	d.add("frames to all subscribers of a node", frame/max(minCores, e.value("limits.core.cpu")), subscribers)
	e.require(System, "a change in force, calm, nothing waiting", Seconds, e.value("limits.change_s"), d.terms)
}
