// Package singleton decides which ingress holds a role that only one ingress may hold at a time.
//
// LeaseTable is the state that the voters agree on, applied in the order of their log. LeaseManager is the part of
// the voters' leader: it queues candidates, grants roles and expires leases. LeaseHolder is the part of each ingress:
// it requests roles, renews leases and knows until when the ingress may act. Every effect of a role carries the
// role's fencing token, and its receiver rejects older tokens. The token is the proof that a holder is the present
// one; the lease only keeps rejections rare.
//
// The package does no I/O, reads no clock and starts no goroutine: its users step it with events, and carry out the
// actions that it returns. None of its types is safe for concurrent use. Beside the standard library it imports
// package mutants alone. Package quorum replicates the table and drives the manager, package leaseservice drives the
// holder.
//
// Its tests are here (tables and short dialogues) and in package quorum (simulated fleets with faults). Builds with
// the tag mutants seed faults, see package mutants.
package singleton
