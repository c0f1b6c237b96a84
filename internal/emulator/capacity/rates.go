package capacity

const (
	secondsPerDay = 86400.0
	// heartbeatsPerSecond is the rate on each subscription; as many renewals of leases return.
	heartbeatsPerSecond = 2.0
	// callsPerSlice counts the calls of an ingress in each cycle for a tenant of which it has a quota slice: the report
	// and the read. A cycle takes a second.
	callsPerSlice = 2
	// updatesPerFailure counts the updates of a failed instance: it leaves and returns.
	updatesPerFailure = 2
	// idleTimeout is after how many seconds without a request a customer is removed from decision.Gateway; counters are
	// taken to be in use as long.
	idleTimeout = 60
)

// ingressRates are the events a second at one ingress, in the busiest minutes.
type ingressRates struct {
	requests     float64
	counterCalls float64 // to owners of counters
	// changes and instances are the updates of the configuration and of the registry that reach it, each counted once.
	changes   float64
	instances float64
}

func (e *estimator) ingressRates() ingressRates {
	requests := e.value("size.requests_per_s") / e.value("size.ingresses")
	sliced := e.value("counters.tenants_sliced")
	return ingressRates{
		requests:     requests,
		counterCalls: requests*e.value("counters.asked") + callsPerSlice*sliced,
		changes:      e.changesPerSecond() * e.changeShare(),
		instances:    e.instanceUpdatesPerSecond() * max(e.value("agent.servers"), e.value("proxy.servers")),
	}
}

// changesPerSecond is the rate of changes of the configuration in the busiest minutes.
func (e *estimator) changesPerSecond() float64 {
	return e.value("size.changes_per_day") / secondsPerDay * e.value("news.peak")
}

// instanceUpdatesPerSecond is the rate of updates of the registry in the busiest minutes.
func (e *estimator) instanceUpdatesPerSecond() float64 {
	ofRestarts := e.value("size.restarts_per_day") * e.value("news.lines_a_restart")
	ofFailures := updatesPerFailure * e.value("size.failures_per_day")
	return (ofRestarts + ofFailures) / secondsPerDay * e.value("news.peak")
}

// changeShare is the part of the changes of the configuration that reaches an ingress.
func (e *estimator) changeShare() float64 {
	share := 0.0
	for _, kind := range configurationKinds {
		share = max(share, e.value("agent."+kind.name), e.value("proxy."+kind.name))
	}
	return share
}

// activeTenants is how many tenants an ingress has had requests of within idleTimeout.
func (e *estimator) activeTenants() float64 {
	requests := e.ingressRates().requests
	return min(requests*idleTimeout*e.value("proxy.tenants_a_request"), e.value("size.tenants"))
}

// stateKind is a kind of state: its name in the paths of a plan, and the series of its costs.
type stateKind struct {
	name        string
	storeSeries string // memory in a replication.Store
	proxySeries string // memory of the proxy beside its Store; empty where there is none
	wireSeries  string // bytes in a frame
}

var (
	routeKind   = stateKind{name: "routes", storeSeries: "store.route", wireSeries: "wire.route"}
	tenantKind  = stateKind{"tenants", "store.tenant", "table.tenant", "wire.tenant"}
	serviceKind = stateKind{"services", "store.service", "table.service", "wire.service"}
	serverKind  = stateKind{"servers", "store.line", "gateway.server", "wire.line"}

	// configurationKinds are the kinds of items of the configuration.
	configurationKinds = []stateKind{routeKind, tenantKind, serviceKind}
	// stateKinds are all kinds: those of the configuration, and the instances of the registry.
	stateKinds = []stateKind{routeKind, tenantKind, serviceKind, serverKind}
)
