// Package emulator contains no code. Its subpackages run deployments of the gateway for tests and measurements.
//
// For the standalone ingress:
//
//   - fakes: fake quote servers, service discovery and billing;
//   - faultnet: a network with fault injection;
//   - testcluster: runs several ingress processes with fakes, under load;
//   - faulttest: runs fault tests of a fleet of ingresses from scripted scenarios;
//   - modelcheck: searches the request and connection state machines exhaustively.
//
// For the gateway with its own control plane:
//
//   - loopback: runs a cluster of real processes on loopback and injects faults;
//   - invariants: checks a recorded run against the operators' rules;
//   - scenario: draws days of random faults for the bench;
//   - histories: checks the answers to simulated applications that coordinate through control nodes;
//   - coordinationsoak: runs such applications against real control processes, and injects faults;
//   - costmodel, capacity: resource costs of each role by deployment size, and the resources that a planned size needs;
//   - timechart: text charts of events over time, for the subcommand try.
//
// For both:
//
//   - exchange: replays recorded byte exchanges over sockets;
//   - procstat: CPU time and peak memory of a process, read from /proc.
//
// These packages may import packages of every layer. Production programs do not import them, except cmd/mulleinrouter
// for its subcommands. Each package documents its own state and tests.
package emulator
