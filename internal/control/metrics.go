package control

import (
	"context"

	"mulleinrouter/internal/cluster/metrics"
)

// serveMetrics serves the node's metrics until the context ends.
func (n *Node) serveMetrics(ctx context.Context) {
	r := metrics.NewRegistry(program)
	n.registerMetrics(r)
	r.Serve(ctx, n.config.Metrics, n.settings.Host, n.log)
}

// registerMetrics registers the node's metrics (docs/operate/metrics.md).
func (n *Node) registerMetrics(r *metrics.Registry) {
	n.registerElectorateMetrics(r)
	n.registerConfigurationMetrics(r)
	n.registerCallMetrics(r)
	n.registerShardMetrics(r)
	r.GaugeFamily("instances", "Server instances known, by phase.", "phase",
		func() []metrics.Sample { return metrics.InstanceSamples(n.store.Instances()) })
	r.Gauge("ingresses", "Ingresses that hold a lease.", func() float64 { return float64(n.ingressCount()) })
	r.Gauge("counters", "Quota counters kept here.", func() float64 { return float64(n.counters.count()) })
	r.Flag("disk_stalled", "Whether the disk has been at one write for long.", n.diskStalled)
}

func (n *Node) registerShardMetrics(r *metrics.Registry) {
	if n.shards == nil {
		return
	}
	r.Gauge("shard_leases", "Shards that this node holds the lease of.", func() float64 {
		leases, _ := n.shards.Leases()
		return float64(leases)
	})
	r.Counter("shard_terms_total", "Terms in which this node was the leaseholder of a shard.", func() float64 {
		_, terms := n.shards.Leases()
		return float64(terms)
	})
	r.CounterFamily("coordination_results_total", "Calls of applications, by what became of them.", "result",
		n.shards.Metrics.Outcomes)
	r.CounterFamily("coordination_calls_total", "Calls of applications, by kind.", "call", n.shards.Metrics.Calls)
	r.CounterFamily("coordination_seconds_total", "Time that calls of applications took, by kind.", "call",
		n.shards.Metrics.Seconds)
}

func (n *Node) registerElectorateMetrics(r *metrics.Registry) {
	r.Flag("ready", "Whether a newcomer may serve with what it gets here.", n.ready)
	r.Flag("contact", "Whether this node is in contact with a majority of the voters.", n.majority.Held)
	r.Flag("voter", "Whether this node votes.", n.replica.IsVoter)
	r.Gauge("voters", "Voters of the electorate, as known here.", func() float64 {
		voters, _ := n.replica.Voters()
		return float64(len(voters))
	})
	r.Gauge("peers_connected", "Control nodes that are connected.",
		func() float64 { return float64(n.peers.Connected()) })
	r.Gauge("peer_answer_age_seconds", "Longest time since a voter answered; -1: one never did.",
		n.oldestVoterAnswerAge)
}

func (n *Node) registerConfigurationMetrics(r *metrics.Registry) {
	r.Gauge("config_epoch", "Epoch of the configuration held.", func() float64 { return float64(n.replica.Epoch()) })
	r.Gauge("config_epochs_behind", "Changes that another control node is known to have and this one lacks.",
		func() float64 { return float64(n.epochsBehind()) })
	r.Gauge("config_items", "Items of the configuration, deleted ones included.", func() float64 {
		_, snapshot := n.replica.Snapshot()
		return float64(snapshot.Len())
	})
	r.Counter("changes_chosen_total", "Changes that this node led to a decision.",
		func() float64 { return float64(n.proposals.Chosen()) })
	r.Gauge("changes_waiting", "Changes of operators that wait to be proposed.",
		func() float64 { return float64(n.proposals.Waiting()) })
}

func (n *Node) registerCallMetrics(r *metrics.Registry) {
	r.CounterFamily("operator_calls_total", "Calls of operators that were answered, by status.", "status",
		n.api.OperatorCalls.Samples)
	r.CounterFamily("server_calls_total", "Calls of servers that were answered, by status.", "status",
		n.api.ServerCalls.Samples)
	r.CounterFamily("application_calls_total", "Calls of applications that were answered, by status.", "status",
		n.api.ApplicationCalls.Samples)
	r.Counter("unknown_calls_total", "Calls that no endpoint takes.",
		func() float64 { return float64(n.api.UnknownCalls.Load()) })
	r.GaugeFamily("connections", "Connections by kind.", "kind", n.connectionSamples)
}

// connectionSamples returns the numbers of connections by kind, and their limit.
func (n *Node) connectionSamples() []metrics.Sample {
	s := n.connections.Stats()
	return []metrics.Sample{
		{Label: "in_call", Value: float64(s.InFlight)},
		{Label: "idle", Value: float64(s.Idle)},
		{Label: "internal", Value: float64(s.Internal)},
		{Label: "limit", Value: float64(s.Limit)},
	}
}
