// Package singleton decides which ingress holds a role that only one ingress may hold at a time.
//
// LeaseTable is the replicated state that the voters agree on; commands apply in the order of their log. LeaseManager
// runs at the voters' leader: it queues candidates, grants roles and expires leases. LeaseHolder runs at each ingress:
// it requests roles, renews leases and tracks until when the ingress may act. Every request made under a role carries
// the role's fencing token, and the receiver rejects older tokens. The fencing token alone guarantees that a former
// holder has no effect; the lease only makes such rejections rare.
//
// The package does no I/O, reads no clock and starts no goroutine: its callers pass events to Step and carry out the
// actions that it returns. None of its types is safe for concurrent use. Apart from the standard library it imports
// only package mutants. Package quorum replicates the table and drives the manager, package leaseservice drives the
// holder.
//
// Its tests are in this package (command tables and short event sequences) and in package quorum (simulated fleets with
// faults). Builds with the tag mutants can seed faults, see package mutants.
package singleton
