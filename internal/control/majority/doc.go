// Package majority keeps the lease that shows that a control node is in contact with a majority of the voters.
//
// A node serves the calls of servers, changes and reads of the configuration, and the calls of agents to its quota
// counters only while it holds this lease. It tells agents whether it holds the lease.
//
// The package does no I/O and starts no goroutines; the node reports the answers of voters to it. It imports the
// consensus package for the size of a majority, and package mutants. A Lease owns its state and is safe for concurrent
// use. lease_test.go compares it with a reference model; whole nodes that are partitioned or suspended are tested in
// package control (partition_test.go).
package majority
