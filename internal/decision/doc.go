// Package decision decides, for one gateway among several, what to do with each request of a service that is
// sold by plan: forward it to a backend, retry it, reject it or fail it. It also decides the phases of an
// ingress process (Lifecycle).
//
// It is a pure state machine: no I/O, no clock, no goroutines, and random numbers from a seed alone. A host
// feeds it events with the time at which they happened, and carries out the actions it returns. The host is
// the program around the gateway, not the Host of HTTP:
//
//	g := decision.New(settings, seed)
//	for event := range events {
//		for _, action := range g.Handle(now, event) {
//			// carry out the action
//		}
//	}
//
// Equal settings, seed and events give equal actions. A Gateway owns all its state and is not safe for
// concurrent use: the host (dataplane/engine, cmd/adapter) calls it under one mutex or from one goroutine. No
// method returns an error: input that makes no sense is ignored, and what is not known is decided with care.
//
// The interface is in settings.go, events.go and actions.go. The decisions are by concern:
//
//   - gateway.go: the state of a gateway, events and ticks;
//   - admission.go, arrival_rate.go: whether a request conforms to its quota, and what becomes of one that
//     does not;
//   - customers.go, plans.go: customers and their terms;
//   - quota_bucket.go, rate_limits.go: this gateway's part of a quota and of a hard rate limit;
//   - counter_cycles.go, counter_health.go: the counter that gateways share, and the pinned step;
//   - pair_counters.go: the counters of the system's own nodes;
//   - sparse.go, sparse_partition.go, shared_bucket.go: customers that are decided by sampling;
//   - attempts.go, slow_attempts.go, queue.go: the attempts of a request, and its wait for a backend;
//   - backends.go, backend_pools.go, zone_slots.go: what is known of backends, and which are used;
//   - selection.go, outliers.go: the choice of a backend, ejection and concurrency limits;
//   - quota_grants.go, suspects.go: what gateways that know of one another tell each other;
//   - handover.go, reconfigure.go, body_uploads.go, stats.go: what only an ingress in service needs.
//
// It may import its small policies below it alone: ratelimit, conformance and retry. Its tests stand beside
// it. The files that deploy/balancer.toml names are the policy that the simulator runs.
package decision
