package proxy

import (
	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/decision"
)

// registerMetrics registers the proxy's metrics (docs/operate/metrics.md).
func (p *Proxy) registerMetrics(r *metrics.Registry) {
	p.registerControlMetrics(r)
	p.registerTrafficMetrics(r)
	r.GaugeFamily("servers", "Listed servers, by how they are judged here.", "state", p.serverSamples)
	r.Gauge("retry_tokens",
		"Further attempts that may be made at once, for the service that has fewest left.",
		func() float64 { return p.stats().RetryTokens })
	r.Gauge("tenants",
		"Tenants that asked here within the last minute.",
		func() float64 { return float64(p.stats().Customers) })
	r.Gauge("counter_calls_in_flight",
		"Calls of quota counters that wait for their answer.",
		func() float64 { return float64(p.control.calls.Load()) })
	r.Gauge("counter_calls_unanswered",
		"Calls of quota counters in a row without an answer.",
		func() float64 { return float64(p.stats().CounterCallsUnanswered) })
}

// registerControlMetrics registers the metrics of the state received from the agent.
func (p *Proxy) registerControlMetrics(r *metrics.Registry) {
	r.Flag("ready", "Whether the platform is to send clients.", p.Ready)
	r.Gauge("config_epoch",
		"Epoch of the configuration in force.",
		func() float64 { return float64(p.control.store.Epoch()) })
	r.Gauge("config_routes",
		"Routes in force.",
		func() float64 { return float64(p.control.table.Load().RouteCount()) })
	r.Gauge("control_contact_age_seconds",
		"Time since the agent last heard a majority of the control nodes.",
		func() float64 { return p.control.contactAge().Seconds() })
	r.Gauge("ingresses",
		"Ingresses of the system, as last told.",
		func() float64 { return float64(p.control.ingresses.Load()) })
}

// registerTrafficMetrics registers the counts of requests and connections.
func (p *Proxy) registerTrafficMetrics(r *metrics.Registry) {
	r.CounterFamily("requests_total", "Requests of clients that have ended, by outcome.", "outcome", p.requestSamples)
	r.Counter("attempts_total",
		"Times a request was sent to a server.",
		func() float64 { return float64(p.ingress.Totals().Attempts) })
	r.Gauge("requests_in_flight", "Requests in hand.", func() float64 { return float64(p.ingress.Totals().InFlight) })
	r.Gauge("requests_waiting", "Requests that wait for a server.", func() float64 { return float64(p.stats().Queued) })
	r.Gauge("client_connections",
		"Connections of clients.",
		func() float64 { return float64(p.ingress.Totals().Clients) })
	r.Gauge("server_connections", "Connections to servers.", func() float64 { return float64(p.pool.Connections()) })
	r.Counter("server_connects_total",
		"Connections to servers that were begun.",
		func() float64 { return float64(p.pool.Dials()) })
}

// stats returns the statistics of the decision module.
func (p *Proxy) stats() decision.Stats { return p.control.engine.Stats() }

// requestSamples counts the requests that have ended, by outcome.
func (p *Proxy) requestSamples() []metrics.Sample {
	outcomes := p.ingress.Totals().Outcomes
	samples := make([]metrics.Sample, 0, len(outcomes))
	for outcome, count := range outcomes {
		samples = append(samples, metrics.Sample{Label: ingress.Outcome(outcome).String(), Value: float64(count)})
	}
	return samples
}

// serverSamples counts the servers, by state.
func (p *Proxy) serverSamples() []metrics.Sample {
	servers := p.stats().Servers
	samples := make([]metrics.Sample, 0, len(decision.ServerStates))
	for _, state := range decision.ServerStates {
		samples = append(samples, metrics.Sample{Label: string(state), Value: float64(servers[state])})
	}
	return samples
}
