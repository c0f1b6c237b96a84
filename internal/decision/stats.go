package decision

import "math"

// Stats are a snapshot of a gateway for operators.
type Stats struct {
	Pending   int                 // requests that are not answered, or have an attempt in flight
	Queued    int                 // of these, the ones that wait for a server
	Customers int                 // that sent requests within the last minute
	Servers   map[ServerState]int // listed servers by state
	// RetryTokens is how many retries may be made at once for the service that has fewest left.
	RetryTokens float64
	// CounterCallsUnanswered is how many calls of the counter in a row got no good answer.
	CounterCallsUnanswered int
}

// ServerState is what a gateway finds of a listed server. Its values are those of the metrics.
type ServerState string

// The states of servers. The first that applies is the server's.
const (
	ServerDraining   ServerState = "leaving" // draining, silent or removed
	ServerEjected    ServerState = "resting" // it failed several times in a row
	ServerOverloaded ServerState = "full"    // it rejected work a moment ago
	ServerSlowStart  ServerState = "cold"    // it started a moment ago
	ServerUnknown    ServerState = "unknown" // no good answer since it was listed or failed
	ServerHealthy    ServerState = "good"    // its last answer was good
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

// Stats returns a snapshot. It iterates over all known servers.
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

// PoolSize returns how many servers are listed, and how many of these the gateway avoids now: it has ejected
// them, or they rejected work.
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
