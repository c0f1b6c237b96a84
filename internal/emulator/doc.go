// Package emulator has no code; the packages below it run a deployment for tests and measurements.
//
// For the ingress in service:
//
//   - exchange: recorded exchanges of bytes, played over sockets;
//   - fakes: fakes of the quote servers, the service discovery and billing;
//   - faultnet: a network with fault injection;
//   - procstat: what a process has used, by /proc;
//   - testcluster: several ingresses as processes among fakes, under load;
//   - faulttest: fault tests of a fleet of ingresses by scripted scenarios;
//   - modelcheck: exhaustive search over the request and connection state machines.
//
// For the system:
//
//   - loopback: a cluster of real processes on loopback under faults;
//   - invariants: the checks of a recorded run against the operators' rules;
//   - scenario: days of faults for the bench, drawn at random;
//   - costmodel, capacity: what each role costs by size, and what a planned size needs.
//
// These packages may import all layers. No program in service imports them, except cmd/mulleinrouter for its
// subcommands. State and tests are those of each package.
package emulator
