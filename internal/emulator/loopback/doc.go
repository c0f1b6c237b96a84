// Package loopback runs the system on one machine: real processes of its three programs (proxy, agent, control), each
// simulated machine with a loopback address of its own, and in this process the fakes around them: servers, clients,
// an operator, and the platform that spreads clients over the edge machines, written from PROTOCOL.md. Faults are
// injected on a schedule. What was observed goes to package invariants, which checks it. Run does that; Serve leaves
// the cluster to people, without clients and faults.
//
// It imports internal/emulator/invariants, the bounds of internal/cluster/settings and libraries, never the programs'
// own packages: they are only met over sockets. All state belongs to one cluster value, for the time of one Run; every
// goroutine that a run starts has ended when Run returns.
//
// The tests (loopback_test.go) run short fault timelines on processes that they build; cmd/emulator and mulleinrouter
// try run longer ones.
package loopback
