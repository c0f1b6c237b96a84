// Package modelcheck is a model checker for the state machines of requests and connections: it drives them through
// every order of a few events, and checks the properties that matter most after each event.
//
// What is explored is the code that serves: decision.Gateway, attempt.Dispatcher, upstreamconn.Machine, IdlePool and
// LossHistory, and clientconn.Machine. Explore puts a small world around the first five: clients, quote servers, an
// endpoint list, a quota counter and a clock. ExploreClientConnections drives the last one alone. The goroutines of
// ingress and upstream are replaced by the few steps that they take between two decisions, so that an ordering of
// events plays alike each time. One thing may differ: which of the connections that are idle since the same time
// IdlePool evicts, as it iterates over a map.
//
// The package does no I/O, and no clock but the world's own is read. Of this module it imports decision and the
// dataplane packages that it explores; only internal/standalone/cli imports it. Each world belongs to one worker of
// an exploration; the explorer owns the workers, and what they have found, under its mutex. The tests are here; in
// builds with the tag mutants they must find each fault that is seeded in the code that serves. testdata holds the
// traces of violations that were found and fixed.
package modelcheck
