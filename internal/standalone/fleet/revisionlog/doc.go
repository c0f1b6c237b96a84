// Package revisionlog orders the revisions of a catalogue consistently across a fleet.
//
// The ingress that holds the catalogue lease announces which content belongs to a revision number. Every ingress
// applies and stores the revisions that are announced under the newest fencing token that it knows, and rejects
// messages under an older token. A new lease holder first queries all live peers, so that a revision that its
// predecessor announced to only some of them reaches all ingresses.
//
// Log is the state of one ingress, with and without the lease. It does no I/O, reads no clock and starts no
// goroutine: Step takes an event and the time and returns actions; package leaseservice owns a Log and executes them.
// Apart from the standard library the package imports only package mutants. Its tests are in this package: simulated
// fleets with faults, and a fixed sequence of events. Builds with the tag mutants can seed faults, see package mutants.
package revisionlog
