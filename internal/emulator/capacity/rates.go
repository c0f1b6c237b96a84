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
	requests := e.Size.RequestsPerSecond / e.Size.Ingresses
	sliced := e.Counters.SlicedTenants
	return ingressRates{
		requests:     requests,
		counterCalls: requests*e.Counters.RequestShare + callsPerSlice*sliced,
		changes:      e.changesPerSecond() * e.changeShare(),
		instances:    e.instanceUpdatesPerSecond() * max(e.Agent.Shares.Servers, e.Proxy.Shares.Servers),
	}
}

// changesPerSecond is the rate of changes of the configuration in the busiest minutes.
func (e *estimator) changesPerSecond() float64 {
	return e.Size.ChangesPerDay / secondsPerDay * e.Updates.Peak
}

// instanceUpdatesPerSecond is the rate of updates of the registry in the busiest minutes.
func (e *estimator) instanceUpdatesPerSecond() float64 {
	ofRestarts := e.Size.RestartsPerDay * e.Updates.InstancesPerRestart
	ofFailures := updatesPerFailure * e.Size.FailuresPerDay
	return (ofRestarts + ofFailures) / secondsPerDay * e.Updates.Peak
}

// changeShare is the part of the changes of the configuration that reaches an ingress.
func (e *estimator) changeShare() float64 {
	share := 0.0
	for _, kind := range configurationKinds {
		share = max(share, kind.of(&e.Agent.Shares), kind.of(&e.Proxy.Shares))
	}
	return share
}

// activeTenants is how many tenants an ingress has had requests of within idleTimeout.
func (e *estimator) activeTenants() float64 {
	requests := e.ingressRates().requests
	return min(requests*idleTimeout*e.Proxy.TenantsPerRequest, e.Size.State.Tenants)
}

// stateKind is a kind of state: its name in the report, its figure, and the series of its costs.
type stateKind struct {
	name        string
	of          func(*StateFigures) float64
	storeSeries string // memory in a replication.Store
	proxySeries string // memory of the proxy beside its Store; empty where there is none
	wireSeries  string // bytes in a frame
}

var (
	routeKind = stateKind{
		name:        "routes",
		of:          func(f *StateFigures) float64 { return f.Routes },
		storeSeries: "store.route",
		wireSeries:  "wire.route",
	}
	tenantKind = stateKind{
		name:        "tenants",
		of:          func(f *StateFigures) float64 { return f.Tenants },
		storeSeries: "store.tenant",
		proxySeries: "table.tenant",
		wireSeries:  "wire.tenant",
	}
	serviceKind = stateKind{
		name:        "services",
		of:          func(f *StateFigures) float64 { return f.Services },
		storeSeries: "store.service",
		proxySeries: "table.service",
		wireSeries:  "wire.service",
	}
	serverKind = stateKind{
		name:        "servers",
		of:          func(f *StateFigures) float64 { return f.Servers },
		storeSeries: "store.line",
		proxySeries: "gateway.server",
		wireSeries:  "wire.line",
	}

	// configurationKinds are the kinds of items of the configuration.
	configurationKinds = []stateKind{routeKind, tenantKind, serviceKind}
	// stateKinds are all kinds: those of the configuration, and the instances of the registry.
	stateKinds = []stateKind{routeKind, tenantKind, serviceKind, serverKind}
)
