// Package majority keeps the lease that shows that a control node is in contact with a majority of the voters.
//
// What a node tells servers, operators and agents depends on this lease: without it the node rejects their
// calls. It does no I/O and starts no goroutine; the node feeds it with the answers of voters. It imports the
// consensus package for the size of a majority. A Lease owns its state and is safe for concurrent use.
// lease_test.go compares it with a reference model; whole nodes that are partitioned or suspended are tested in
// package control (partition_test.go).
package majority
