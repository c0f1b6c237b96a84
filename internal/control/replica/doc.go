// Package replica keeps a control node's replica of the configuration, and its vote if it is a voter.
//
// A Replica answers the rounds of consensus (Prepare, Accept), applies what was chosen (Choose, Learn), and
// stores both on disk before it answers. A node that lacks chosen changes gets them from the replica of any
// other node in chunks, which are staged until they are a complete snapshot (staging.go, chunks.go). All of it
// is guarded by one mutex; waiting for the disk is done outside of it. It starts no goroutine.
//
// It imports package cluster's folders, control/storage and package mutants. chunks_test.go walks through
// transfers with lost, late and repeated chunks and power losses, against the model of package replicatest;
// whole nodes are tested in package control.
package replica
