// Package quorum replicates the table of leases among the voters of a fleet, with etcd's raft.
//
// Voter is one voter. Its methods take messages, requests and the time, and return an Output. It uses the disk through
// Store, and the caller sends what Output holds, so the same code runs in simulated time and in processes. A Voter is
// not safe for concurrent use; its user, package leaseservice, owns it and its store.
//
// Before a voter sends a message, it has stored the vote, term, entries and snapshot on which the message depends, in
// one Store.Save. A voter's id is generated with its store. A voter whose store was lost has a new id, and does not
// vote until it is added again. A voter whose store was rolled back to an older copy detects this because other voters
// have seen it at a later boot or entry than the store holds, and retires.
//
// The package imports raft, CBOR, protobuf, package mutants and package singleton, whose table it replicates. Package
// boltstore implements Store. Tests: simulated fleets with faults (simulation_test.go), load with real stores
// (load_test.go) and the format of messages (encoding_test.go); builds with the tag mutants seed faults, see package
// mutants.
package quorum
