// Package leaseservice runs the singleton roles of an ingress: it requests their leases, does their work while it
// holds them, and is one of the voters where the configuration names it.
//
// Packages singleton, quorum and revisionlog decide; this package is the clock, the messages and the disk around
// them. Service owns the voter, its store, the lease holder and all goroutines of the package; Stop ends them and
// waits. Messages travel as payloads of gossip, under a topic for each kind. Two roles are defined here: RoleExport
// sends the usage of all ingresses to billing, RoleCatalogue announces revisions of the catalogue.
//
// The package imports the other packages of the fleet and no other of standalone. encoding_test.go holds the formats
// of its messages and records; what the processes do together is tested by fault tests (cmd/mulleinrouter,
// deploy/faulttests/duty-*).
package leaseservice
