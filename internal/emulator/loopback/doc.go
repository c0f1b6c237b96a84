// Package loopback runs a cluster of the gateway on one machine. It starts real processes of the three programs (proxy,
// agent, control), and gives each simulated machine its own loopback address. Fakes run in the emulator's process:
// servers, clients, an operator, and the platform that distributes clients over the edge machines. They implement
// PROTOCOL.md. Run injects faults on a schedule and passes its observations to package invariants, which checks them.
// Serve runs a cluster for interactive use, without clients and faults.
//
// The package imports internal/emulator/invariants, internal/emulator/procstat, the bounds of internal/cluster/settings
// and libraries. It never imports other packages of the programs, because it tests them only over sockets. All state
// belongs to one cluster value for the duration of one run. Every goroutine that a run starts has ended when Run or
// Serve returns.
//
// The tests (loopback_test.go) build the programs and run short fault timelines; cmd/emulator and "mulleinrouter try"
// run longer ones.
package loopback
