// Package leaseservice runs the singleton roles of an ingress: it requests their leases, does their work while it
// holds them, and runs a voter if the configuration lists the ingress as one.
//
// The decisions are made by the state machines of packages singleton, quorum and revisionlog; this package provides
// their clock, messages and disk. Service owns the voter, its store, the lease holder and all goroutines of the
// package; Stop ends them and waits for them. The voter runs in a separate goroutine because its steps wait for the
// disk: a slow disk must delay neither the check of a token nor the end of a lease. Messages are sent as payloads of
// gossip, with a topic for each kind. Two roles are defined here: RoleExport sends the usage of all ingresses to
// billing, and RoleCatalogue announces revisions of the catalogue. Log codes, log keys and JSON use the name "duty" for
// a role, which operators know from the first version.
//
// A role passes to another ingress in one of four ways. With Resign (SIGTERM, LAMEDUCK) the holder releases it at once.
// With an operator's transfer the leader's next response tells the holder to step down; the holder ends its work before
// it releases the role. If the work fails, the ingress resigns the role and requests it again after reacquireDelay. If
// the holder is silent, the leader expires the lease once it has ended even by a clock that is slow by
// singleton.MaxClockDrift. In each case the leader then grants the role under a new fencing token, after a transfer to
// the member that the operator named if it is a candidate, and otherwise to the first candidate.
//
// The package imports other packages of the fleet and no further packages of standalone. encoding_test.go checks the
// formats of its messages and records; the interaction of whole processes is tested by fault tests (cmd/mulleinrouter,
// deploy/faulttests/duty-*).
package leaseservice
