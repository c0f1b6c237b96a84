// Package membership is the state machine of one ingress's view of its fleet. The view tells which members are
// alive, how much of the fleet can be reached, and for how long that conclusion may be used.
//
// The SWIM implementation (hashicorp/memberlist, run by package gossip) reports members that joined, died or
// left. In addition, each member probes a few others at a time directly and counts their acknowledgements,
// which shows in which direction each link carries messages. View combines both sources.
//
// The package does no I/O, reads no clock and starts no goroutine: View.Step takes an event and the time and
// returns actions. Times are seconds of the host's monotonic clock. It imports the decision module (for its
// unit of time) and internal/mutants. gossip.Fleet owns the state, and keeps the agreed members on disk
// (PersistView). Members and incarnations are stored as JSON and sent between processes, so their tags must
// not change.
//
// Tests: a random walk against a model and scripted runs in this package, where mutants_test.go checks that the walk
// finds seeded faults; whole fleets over a simulated network in package gossip; whole processes in emulator/faulttest.
package membership
