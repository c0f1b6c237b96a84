package agent

import "mulleinrouter/internal/cluster/metrics"

// registerMetrics registers the agent's metrics (docs/operate/metrics.md).
func (a *Agent) registerMetrics(r *metrics.Registry) {
	r.Flag("ready", "Whether what is here is enough for the proxy to serve.", a.ready.Load)
	r.Flag("quorum", "Whether a majority of the control nodes is heard.", func() bool { return a.view().quorum })
	r.Gauge("config_epoch", "Epoch of the configuration held.", func() float64 { return float64(a.store.Epoch()) })
	r.Gauge("config_items", "Items of the configuration held, deleted ones included.", func() float64 {
		return float64(a.store.Snapshot().Len())
	})
	r.Gauge("ingresses", "Ingresses of the system, as the control nodes count them.", func() float64 {
		return float64(a.view().members)
	})
	r.GaugeFamily("sources", "Control nodes subscribed to, by state.", "state", a.sourceSamples)
	r.GaugeFamily("instances", "Server instances known, by phase.", "phase", func() []metrics.Sample {
		return metrics.InstanceSamples(a.store.Instances())
	})
	r.Gauge("proxies", "Connections of the proxy.", func() float64 { return float64(a.proxies.Load()) })
	r.Gauge("counter_calls_in_flight", "Calls of quota counters under way.", func() float64 {
		return float64(len(a.counterSlots))
	})
	r.Counter("counter_calls_total", "Calls of quota counters that were forwarded.", func() float64 {
		return float64(a.counterCalls.Load())
	})
	r.Counter("counter_calls_failed_total", "Of these, the ones that no keeper answered.", func() float64 {
		return float64(a.counterCallFailures.Load())
	})
}

// sourceSamples counts the sources by state. The states overlap: a connected source is also a known one.
func (a *Agent) sourceSamples() []metrics.Sample {
	connected, updated := 0, 0
	sources := *a.sources.Load()
	for _, src := range sources {
		if src.client.Connected() {
			connected++
		}
		if src.client.State().UpdatedWithin(statusTTL) {
			updated++
		}
	}
	return []metrics.Sample{
		{Label: "known", Value: float64(len(sources))},
		{Label: "connected", Value: float64(connected)},
		{Label: "heard", Value: float64(updated)},
	}
}
