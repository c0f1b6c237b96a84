// Package leaseservice runs the singleton roles of an ingress: it requests their leases, does their work while it
// holds them, and is one of the voters where the configuration names it.
//
// Packages singleton, quorum and revisionlog decide; this package is the clock, the messages and the disk around
// them. Service owns the voter, its store, the lease holder and all goroutines of the package; Stop ends them and
// waits. The voter, whose steps wait for the disk, has a goroutine of its own, so that a slow disk holds up neither the
// check of a token nor the end of a lease. Messages travel as payloads of gossip, under a topic for each kind. Two
// roles are defined here: RoleExport sends the usage of all ingresses to billing, RoleCatalogue announces revisions of
// the catalogue. Log codes, log keys and JSON say "duty" for a role: operators know these names from the first version.
//
// A role is handed over in one of four ways. By Resign (SIGTERM, LAMEDUCK) the holder releases it at once. By an
// operator's transfer the leader's next response tells the holder to step down; its work ends, and only then it
// releases. Work that fails resigns the role for reacquireDelay. A holder that is silent is expired by the leader, once
// its lease has ended even by a clock that runs slow by singleton.MaxClockDrift. In each case the leader then grants
// the role, under a new fencing token, to the first candidate.
//
// The package imports the other packages of the fleet and no other of standalone. encoding_test.go holds the formats
// of its messages and records; what the processes do together is tested by fault tests (cmd/mulleinrouter,
// deploy/faulttests/duty-*).
package leaseservice
