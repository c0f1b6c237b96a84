// Package shard replicates a set of records among the voters of the control plane. One leaseholder answers from
// memory. The protocol is Raft (Ongaro, 2014), but a replica stores its present state instead of a log: it applies a
// batch when it accepts it, and keeps the records as of its last batch. A replica that misses more than the recent
// batches, or has batches that its leader does not have, receives the complete state.
//
// A Replica is a pure state machine. Its inputs are messages (Step), ticks (Tick) and reports of synced saves (Saved);
// its outputs are messages and saves (Take). It reads no clock; times are seconds by the caller's monotonic clock. It
// is not safe for concurrent use, and its caller owns it.
//
// Invariants, each with a seeded fault that the random walks find:
//
//	a voter votes once per term, saves its vote before it sends it, and votes only for a candidate with a position
//	  that is not older than its own
//	a batch counts as stored on a replica once it is saved there, on the disk that the voter is listed with
//	a leader commits batches of earlier terms only together with a batch of its current term
//	a lease ends before any voter that supported it may vote for another leader
//
// Files: position.go and message.go (types), replica.go (state and saves), election.go (votes and terms), leader.go
// (replication and commit), lease.go, follower.go, membership.go.
//
// The package may import cluster/consensus, whose type of voters it uses, and mutants. Tests: walk_test.go with
// simulation_test.go simulates a cluster with random crashes, partitions, lost disks and suspended processes;
// explore_test.go runs every order of a few events.
package shard
