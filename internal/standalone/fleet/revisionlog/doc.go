// Package revisionlog brings the revisions of a catalogue into one order over a fleet.
//
// The ingress that holds the lease of the catalogue announces which content a revision number stands for. Every
// ingress applies what is announced under the newest fencing token that it knows, stores it, and rejects what comes
// under an older one. A new lease holder first queries all live peers, so that a revision which its predecessor
// announced to a few of them reaches all.
//
// Log is the state of one ingress, with and without the lease. It does no I/O, reads no clock and starts no
// goroutine: Step takes an event and the time and returns actions; package leaseservice owns a Log and executes them.
// Beside the standard library the package imports package mutants alone. Its tests are here: simulated fleets and a
// dialogue; builds with the tag mutants seed faults, see package mutants.
package revisionlog
