package agent

import (
	"context"

	"mulleinrouter/internal/cluster/metrics"
)

// serveMetrics serves the agent's figures until the context ends.
func (f *Agent) serveMetrics(ctx context.Context, o Options) {
	r := metrics.NewRegistry(program)
	f.registerMetrics(r)
	r.Serve(ctx, o.Metrics, o.Settings.Host, f.log)
}

// registerMetrics registers the agent's figures (docs/operate/figures.md).
func (f *Agent) registerMetrics(r *metrics.Registry) {
	r.Flag("ready", "Whether what is here is enough for the proxy to serve.", f.ready.Load)
	r.Flag("quorum", "Whether a majority of the control nodes is heard.", func() bool { return f.view().quorum })
	r.Gauge("config_epoch", "Epoch of the configuration held.", func() float64 { return float64(f.store.Epoch()) })
	r.Gauge("config_items", "Items of the configuration held, deleted ones included.", func() float64 { return float64(f.store.Snapshot().Len()) })
	r.Gauge("ingresses", "Ingresses of the system, as the control nodes count them.", func() float64 { return float64(f.view().members) })
	r.GaugeFamily("sources", "Control nodes subscribed to, by state.", "state", f.sourceSamples)
	r.GaugeFamily("instances", "Server instances known, by phase.", "phase", func() []metrics.Sample { return metrics.InstanceSamples(f.store.Instances()) })
	r.Gauge("proxies", "Connections of the proxy.", func() float64 { return float64(f.proxies.Load()) })
	r.Gauge("counter_calls_in_flight", "Calls of quota counters under way.", func() float64 { return float64(len(f.calls)) })
	r.Counter("counter_calls_total", "Calls of quota counters that were forwarded.", func() float64 { return float64(f.forwarded.Load()) })
	r.Counter("counter_calls_failed_total", "Of these, the ones that no keeper answered.", func() float64 { return float64(f.unanswered.Load()) })
}

// sourceSamples counts the control nodes by what is known of them.
func (f *Agent) sourceSamples() []metrics.Sample {
	connected, heard := 0, 0
	sources := *f.sources.Load()
	for _, s := range sources {
		if s.client.Connected() {
			connected++
		}
		if s.client.State().UpdatedWithin(statusTTL) {
			heard++
		}
	}
	return []metrics.Sample{{Label: "known", Value: float64(len(sources))}, {Label: "connected", Value: float64(connected)}, {Label: "heard", Value: float64(heard)}}
}
