package capacity

const (
	secondsPerDay = 86400.0
	// heartbeatsPerSecond is the rate of heartbeats on each subscription, one per transport.KeepaliveInterval. Renewals
	// of leases return at the same rate.
	heartbeatsPerSecond = 2.0
	// callsPerSlice is the number of calls of an ingress in each cycle for a tenant of which it has a quota slice: the
	// report and the read. A cycle takes a second.
	callsPerSlice = 2
	// updatesPerFailure is the number of updates for a failed instance: one when it leaves and one when it returns.
	updatesPerFailure = 2
	// idleTimeout is the time in seconds without a request after which decision.Gateway removes a customer. The
	// estimate assumes that a counter is in use for the same time.
	idleTimeout = 60
)

// ingressRates contains the numbers of events a second at one ingress in the busiest minutes.
type ingressRates struct {
	requests     float64
	counterCalls float64 // calls to owners of counters
	// changes and instances are the updates of the configuration and of the registry that reach the ingress. Copies of
	// an update count as one.
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

// changesPerSecond returns the rate of changes of the configuration in the busiest minutes.
func (e *estimator) changesPerSecond() float64 {
	return e.Size.ChangesPerDay / secondsPerDay * e.Updates.Peak
}

// instanceUpdatesPerSecond returns the rate of updates of the registry in the busiest minutes.
func (e *estimator) instanceUpdatesPerSecond() float64 {
	ofRestarts := e.Size.RestartsPerDay * e.Updates.InstancesPerRestart
	ofFailures := updatesPerFailure * e.Size.FailuresPerDay
	return (ofRestarts + ofFailures) / secondsPerDay * e.Updates.Peak
}

// changeShare returns the part of the changes of the configuration that reaches an ingress.
func (e *estimator) changeShare() float64 {
	share := 0.0
	for _, kind := range configurationKinds {
		share = max(share, kind.figure(&e.Agent.Shares), kind.figure(&e.Proxy.Shares))
	}
	return share
}

// activeTenants returns the number of tenants from which an ingress has had requests within idleTimeout.
func (e *estimator) activeTenants() float64 {
	requests := e.ingressRates().requests
	return min(requests*idleTimeout*e.Proxy.TenantsPerRequest, e.Size.State.Tenants)
}

// stateKind is a kind of state: its name in the report, the access to its figure, and the series of its costs.
type stateKind struct {
	name        string
	figure      func(*StateFigures) float64
	storeSeries string // series of the memory in a replication.Store
	proxySeries string // series of the memory of the proxy in addition to its Store; empty if there is none
	wireSeries  string // series of the bytes in a frame
}

var (
	routeKind = stateKind{
		name:        "routes",
		figure:      func(f *StateFigures) float64 { return f.Routes },
		storeSeries: "store.route",
		wireSeries:  "wire.route",
	}
	tenantKind = stateKind{
		name:        "tenants",
		figure:      func(f *StateFigures) float64 { return f.Tenants },
		storeSeries: "store.tenant",
		proxySeries: "table.tenant",
		wireSeries:  "wire.tenant",
	}
	serviceKind = stateKind{
		name:        "services",
		figure:      func(f *StateFigures) float64 { return f.Services },
		storeSeries: "store.service",
		proxySeries: "table.service",
		wireSeries:  "wire.service",
	}
	serverKind = stateKind{
		name:        "servers",
		figure:      func(f *StateFigures) float64 { return f.Servers },
		storeSeries: "store.line",
		proxySeries: "gateway.server",
		wireSeries:  "wire.line",
	}

	// configurationKinds lists the kinds of items of the configuration.
	configurationKinds = []stateKind{routeKind, tenantKind, serviceKind}
	// stateKinds lists all kinds: those of the configuration, and the instances of the registry.
	stateKinds = []stateKind{routeKind, tenantKind, serviceKind, serverKind}
)
