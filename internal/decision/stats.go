package decision

import "math"

// Stats are a snapshot of a gateway for operators.
type Stats struct {
	Pending   int                 // requests that are unanswered or have an attempt in flight
	Queued    int                 // pending requests that wait for a server
	Customers int                 // customers with a request in the last minute or an attempt in flight
	Servers   map[ServerState]int // listed servers by state
	// RetryTokens is the number of retries that may be made at once, for the service with the fewest left.
	RetryTokens float64
	// CounterCallsUnanswered is the number of counter calls that were rejected or got no reply, since the
	// last successful reply.
	CounterCallsUnanswered int
}

// ServerState is the state of a listed server from the point of view of a gateway. Its values are the label
// values of the metrics.
type ServerState string

// The states of servers. A server has the first state that applies.
const (
	ServerDraining   ServerState = "leaving" // draining, silent or removed
	ServerEjected    ServerState = "resting" // it is ejected after consecutive failures
	ServerOverloaded ServerState = "full"    // it has recently rejected work
	ServerSlowStart  ServerState = "cold"    // it has recently started and is in slow start
	ServerUnknown    ServerState = "unknown" // no successful answer since it was listed or failed
	ServerHealthy    ServerState = "good"    // its last answer was successful
)

// ServerStates lists all states, in the order in which they are evaluated.
var ServerStates = [...]ServerState{
	ServerDraining,
	ServerEjected,
	ServerOverloaded,
	ServerSlowStart,
	ServerUnknown,
	ServerHealthy,
}

// Stats returns a snapshot. It iterates over all servers, so its cost grows with their number.
func (g *Gateway) Stats(now Seconds) Stats {
	stats := Stats{
		Pending:                len(g.requests),
		Queued:                 len(g.queue),
		Customers:              len(g.customers),
		Servers:                map[ServerState]int{},
		CounterCallsUnanswered: g.counter.failures,
	}
	for b := range g.allBackends() {
		if b.listed {
			stats.Servers[g.serverState(b, now)]++
		}
	}
	tokens := math.Inf(1)
	for _, p := range g.pools {
		if p.serving > 0 {
			tokens = min(tokens, p.retryBudget.Tokens())
		}
	}
	if !math.IsInf(tokens, 1) {
		stats.RetryTokens = tokens
	}
	return stats
}

// PoolSize returns the number of listed servers, and the number of these that the gateway avoids now
// because it has ejected them or they have rejected work.
func (g *Gateway) PoolSize(now Seconds) (listed, avoided int) {
	for b := range g.allBackends() {
		if !b.listed {
			continue
		}
		listed++
		if b.ejectedUntil > now || b.overloadedUntil > now {
			avoided++
		}
	}
	return listed, avoided
}

func (g *Gateway) serverState(b *backend, now Seconds) ServerState {
	switch {
	case !b.Serving:
		return ServerDraining
	case b.ejectedUntil > now:
		return ServerEjected
	case b.overloadedUntil > now:
		return ServerOverloaded
	case b.warmingSince > 0 && now-b.warmingSince < g.settings.SlowStartTime:
		return ServerSlowStart
	case !b.healthy:
		return ServerUnknown
	}
	return ServerHealthy
}
