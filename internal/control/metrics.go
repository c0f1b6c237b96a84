package control

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"mulleinrouter/internal/cluster/metrics"
)

// callCounts counts answered calls by the class of their status; the index is the hundreds digit.
type callCounts [6]atomic.Int64

func (c *callCounts) count(status int) {
	if class := status / 100; class > 0 && class < len(c) {
		c[class].Add(1)
	}
}

func (c *callCounts) samples() []metrics.Sample {
	var samples []metrics.Sample
	for class := http.StatusOK / 100; class < len(c); class++ {
		samples = append(samples, metrics.Sample{Label: strconv.Itoa(class) + "xx", Value: float64(c[class].Load())})
	}
	return samples
}

// serveMetrics serves the node's figures until the context ends.
func (n *Node) serveMetrics(ctx context.Context) {
	r := metrics.NewRegistry(program)
	n.registerMetrics(r)
	r.Serve(ctx, n.config.Metrics, n.settings.Host, n.log)
}

// registerMetrics registers the node's figures (docs/operate/figures.md).
func (n *Node) registerMetrics(r *metrics.Registry) {
	r.Flag("ready", "Whether a newcomer may serve with what it gets here.", n.ready)
	r.Flag("contact", "Whether this node is in contact with a majority of the voters.", n.inContact)
	r.Flag("voter", "Whether this node votes.", func() bool { _, votes := n.replica.electorate(); return votes })
	r.Gauge("voters", "Voters of the electorate, as known here.", func() float64 { voters, _ := n.replica.electorate(); return float64(len(voters)) })
	r.Gauge("peers_connected", "Control nodes that are connected.", func() float64 { return float64(n.connectedPeers()) })
	r.Gauge("peer_answer_age_seconds", "Longest time since a voter answered; -1: one never did.", n.oldestAnswer)
	r.Gauge("config_epoch", "Epoch of the configuration held.", func() float64 { epoch, _ := n.replica.snapshot(); return float64(epoch) })
	r.Gauge("config_epochs_behind", "Changes that another control node is known to have and this one lacks.", func() float64 { return float64(n.epochsBehind()) })
	r.Gauge("config_items", "Items of the configuration, deleted ones included.", func() float64 { _, s := n.replica.snapshot(); return float64(s.Len()) })
	r.Counter("changes_chosen_total", "Changes that this node led to a decision.", func() float64 { return float64(n.proposals.chosen.Load()) })
	r.Gauge("changes_waiting", "Changes of operators that wait to be proposed.", func() float64 { return float64(n.proposals.waiting()) })
	r.CounterFamily("operator_calls_total", "Calls of operators that were answered, by status.", "status", n.operatorCalls.samples)
	r.CounterFamily("server_calls_total", "Calls of servers that were answered, by status.", "status", n.serverCalls.samples)
	r.GaugeFamily("connections", "Connections by kind.", "kind", n.connectionSamples)
	r.GaugeFamily("instances", "Server instances known, by phase.", "phase", func() []metrics.Sample { return metrics.InstanceSamples(n.store.Instances()) })
	r.Gauge("ingresses", "Ingresses that hold a lease.", func() float64 { return float64(n.ingressCount()) })
	r.Gauge("counters", "Quota counters kept here.", func() float64 {
		n.keeper.Lock()
		defer n.keeper.Unlock()
		return float64(n.keeper.Len())
	})
	r.Flag("disk_stalled", "Whether the disk has been at one write for long.", func() bool {
		disk := n.storage.Load()
		return disk != nil && disk.Stalled(syncTimeout)
	})
}

func (n *Node) connectedPeers() (count int) {
	n.eachPeer(func(x *peer) {
		if x.client.Connected() {
			count++
		}
	})
	return count
}

// oldestAnswer is how long ago that voter answered which did so longest ago, in seconds.
func (n *Node) oldestAnswer() float64 {
	oldest := 0.0
	voters, _ := n.replica.electorate()
	for _, v := range voters {
		if v == n.self {
			continue
		}
		age := n.majority.Age(v)
		if age < 0 {
			return -1
		}
		oldest = max(oldest, age.Seconds())
	}
	return oldest
}

// epochsBehind is how many changes another control node is known to have and this one lacks.
func (n *Node) epochsBehind() uint64 {
	epoch, _ := n.replica.snapshot()
	newest := epoch
	n.eachPeer(func(x *peer) { newest = max(newest, x.client.State().Epoch) })
	return newest - epoch
}

// connectionSamples counts the connections by kind.
func (n *Node) connectionSamples() []metrics.Sample {
	s := n.connections.Stats()
	return []metrics.Sample{
		{Label: "in_call", Value: float64(s.InFlight)},
		{Label: "idle", Value: float64(s.Idle)},
		{Label: "internal", Value: float64(s.Internal)},
		{Label: "limit", Value: float64(s.Limit)},
	}
}
