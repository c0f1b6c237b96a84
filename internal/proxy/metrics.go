package proxy

import (
	"time"

	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/decision"
)

// registerMetrics registers the proxy's figures (docs/operate/figures.md).
func (b *Proxy) registerMetrics(r *metrics.Registry) {
	r.Flag("ready", "Whether the platform is to send clients.", b.Ready)
	r.Gauge("config_epoch", "Epoch of the configuration in force.", func() float64 { return float64(b.control.store.Epoch()) })
	r.Gauge("config_routes", "Routes in force.", func() float64 { return float64(b.control.table.Load().RouteCount()) })
	r.Gauge("control_contact_age_seconds", "Time since the agent last heard a majority of the control nodes.", func() float64 {
		return (time.Since(b.control.base) - time.Duration(b.control.quorumAt.Load())).Seconds()
	})
	r.Gauge("ingresses", "Ingresses of the system, as last told.", func() float64 { return float64(b.control.maxMembers.Load()) })
	r.CounterFamily("requests_total", "Requests of clients that have ended, by outcome.", "outcome", b.requestSamples)
	r.Counter("attempts_total", "Times a request was sent to a server.", func() float64 { return float64(b.server.Totals().Attempts) })
	r.Gauge("requests_in_flight", "Requests in hand.", func() float64 { return float64(b.server.Totals().InFlight) })
	r.Gauge("requests_waiting", "Requests that wait for a server.", func() float64 { return float64(b.figures().Queued) })
	r.Gauge("client_connections", "Connections of clients.", func() float64 { return float64(b.server.Totals().Clients) })
	r.Gauge("server_connections", "Connections to servers.", func() float64 { return float64(b.pool.Connections()) })
	r.Counter("server_connects_total", "Connections to servers that were begun.", func() float64 { return float64(b.pool.Dials()) })
	r.GaugeFamily("servers", "Listed servers, by how they are judged here.", "state", b.serverSamples)
	r.Gauge("retry_tokens", "Further attempts that may be made at once, for the service that has fewest left.", func() float64 {
		return b.figures().RetryTokens
	})
	r.Gauge("tenants", "Tenants that asked here within the last minute.", func() float64 { return float64(b.figures().Customers) })
	r.Gauge("counter_calls_in_flight", "Calls of quota counters that wait for their answer.", func() float64 { return float64(b.control.calls.Load()) })
	r.Gauge("counter_calls_unanswered", "Calls of quota counters in a row without an answer.", func() float64 {
		return float64(b.figures().CounterCallsUnanswered)
	})
}

func (b *Proxy) figures() decision.Stats { return b.control.engine.Stats() }

func (b *Proxy) requestSamples() []metrics.Sample {
	outcomes := b.server.Totals().Outcomes
	samples := make([]metrics.Sample, 0, len(outcomes))
	for o, count := range outcomes {
		samples = append(samples, metrics.Sample{Label: ingress.Outcome(o).String(), Value: float64(count)})
	}
	return samples
}

func (b *Proxy) serverSamples() []metrics.Sample {
	servers := b.figures().Servers
	samples := make([]metrics.Sample, 0, len(decision.ServerStates))
	for _, state := range decision.ServerStates {
		samples = append(samples, metrics.Sample{Label: string(state), Value: float64(servers[state])})
	}
	return samples
}
