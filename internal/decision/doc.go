// Package decision decides, for one gateway among several, what to do with each request of a service that
// is sold by plan: forward it to a backend, retry it, reject it or fail it. It also decides the phases of
// an ingress process (Lifecycle).
//
// It is a pure state machine: it does no I/O, reads no clock, starts no goroutines, and draws its random
// numbers from a seed. A host feeds it events with the time at which they happened, and carries out the
// actions it returns. The host is the program around the gateway, not the HTTP Host header:
//
//	g := decision.New(settings, seed)
//	for event := range events {
//		for _, action := range g.Handle(now, event) {
//			// carry out the action
//		}
//	}
//
// Equal settings, seed and events give equal actions. A Gateway owns all its state and is not safe for
// concurrent use: the host (dataplane/engine, cmd/adapter) calls it under one mutex or from one goroutine.
// No method returns an error: invalid input is ignored, and a request of an unknown class is handled as one
// that must not be executed twice.
//
// The interface is in settings.go, events.go and actions.go. The decisions are in one file per concern:
//
//   - gateway.go: the state of a gateway, events and ticks;
//   - admission.go, arrival_rate.go: whether a request conforms to its quota, and what happens if it
//     does not;
//   - customers.go, plans.go: customers and their terms;
//   - quota_bucket.go, rate_limits.go: this gateway's part of a quota and of a hard rate limit;
//   - counter_cycles.go, counter_health.go: the counter that gateways share, and the slice of a quota that a
//     gateway computes from it;
//   - pair_counters.go: the counters that the system's own nodes keep;
//   - sparse.go, sparse_partition.go, shared_bucket.go: customers whose requests are admitted by sampling;
//   - attempts.go, slow_attempts.go, queue.go: the attempts of a request, and its wait for a backend;
//   - backends.go, backend_pools.go, zone_slots.go: the state of backends, and the subset that is used;
//   - selection.go, outliers.go: the choice of a backend, ejection and concurrency limits;
//   - quota_grants.go, suspects.go: information that gateways exchange directly;
//   - handover.go, reconfigure.go, body_uploads.go, stats.go: functions that the simulator does not need.
//
// Of this module it may import only the policy packages below it: ratelimit, conformance and retry. The files
// that deploy/balancer.toml lists are the policy that the simulator runs.
package decision
