package decision

import "math"

// Stats are what a gateway holds at one moment, for operators. They are not part of the simulator's policy.
type Stats struct {
	Pending   int // in hand
	Queued    int // of these, the ones that wait for a server
	Customers int // that asked within the last minute
	Servers   map[ServerState]int
	// RetryTokens is how many further attempts may be made at once for the service that has fewest left.
	RetryTokens float64
	// CounterCallsUnanswered is how many calls of the counter in a row got no answer.
	CounterCallsUnanswered int
}

// ServerState is how a gateway judges a listed server.
type ServerState string

// The states of servers, the first that applies.
const (
	ServerDraining   ServerState = "leaving" // draining, silent or gone
	ServerEjected    ServerState = "resting" // it failed several times in a row
	ServerOverloaded ServerState = "full"    // it turned work away a moment ago
	ServerSlowStart  ServerState = "cold"    // it has started a moment ago
	ServerUnknown    ServerState = "unknown" // no good answer since it was listed or failed
	ServerHealthy    ServerState = "good"    // its last answer was good
)

// ServerStates lists all states, in the order in which they are looked at.
var ServerStates = [...]ServerState{ServerDraining, ServerEjected, ServerOverloaded, ServerSlowStart, ServerUnknown, ServerHealthy}

// Stats counts. It walks all servers that are known.
func (g *Gateway) Stats(now Seconds) Stats {
	f := Stats{Pending: len(g.requests), Queued: len(g.queue), Customers: len(g.customers), Servers: map[ServerState]int{},
		RetryTokens: math.Inf(1), CounterCallsUnanswered: g.counter.failures}
	for b := range g.allBackends() {
		if b.listed {
			f.Servers[g.serverState(b, now)]++
		}
	}
	for _, p := range g.pools {
		if p.serving > 0 {
			f.RetryTokens = min(f.RetryTokens, p.retryBudget.Tokens())
		}
	}
	if math.IsInf(f.RetryTokens, 1) {
		f.RetryTokens = 0
	}
	return f
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
