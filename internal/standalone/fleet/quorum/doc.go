// Package quorum agrees on the table of leases among the voters of a fleet, by etcd's raft.
//
// Voter is one of them: a step function that takes messages, requests and the time, and returns an Output. Disk and
// network stand behind Store and Output, so the same code runs in simulated time and in processes. A Voter is not
// safe for concurrent use; its user, package leaseservice, owns it and its store.
//
// Before a voter sends anything it has stored what that depends on, in one Store.Save: vote, term, entries and
// snapshot. A voter's id is drawn with its store. A voter whose store was lost has a new id, and no vote until it is
// added again. A voter whose store was rolled back to an older copy learns so from the others' progress and retires.
//
// The package imports raft, CBOR and package singleton, whose table it replicates. Package boltstore implements
// Store. Tests: simulated fleets with faults (simulation_test.go), load with real stores (load_test.go) and the format
// of messages (encoding_test.go); builds with the tag mutants seed faults, see package mutants.
package quorum
