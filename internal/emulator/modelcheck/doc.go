// Package modelcheck is a model checker for the state machines of requests and connections. It drives them through
// every ordering of a few events, and checks the most important properties after each event.
//
// It explores the production code: decision.Gateway, attempt.Dispatcher, upstreamconn.Machine, IdlePool and
// LossHistory, and clientconn.Machine. Explore simulates the environment of the first five, called a world: clients,
// quote servers, an endpoint list, a quota counter and a clock. ExploreClientConnections drives the last one alone. The
// goroutines of ingress and upstream are replaced by the few steps that they take between two decisions, so that an
// ordering of events always gives the same run. The one exception is IdlePool, which iterates over a map: among
// connections that became idle at the same time, it may evict a different one in each run.
//
// The package does no I/O, and reads no clock but the simulated one of the world. From this module it imports decision
// and the dataplane packages that it explores; only internal/standalone/cli imports it. Each world belongs to one
// worker of an exploration; the explorer owns the workers, and guards their findings by its mutex. In builds with the
// tag mutants, the tests of this package must find each fault that is seeded in the production code. testdata contains
// the traces of violations that were found and fixed.
package modelcheck
