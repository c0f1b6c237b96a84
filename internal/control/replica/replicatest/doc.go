// Package replicatest has the reference model of a replica for tests. The model is a history of changes, and computes
// the snapshot after each of them.
//
// The package imports only packages of cluster. It drives replicas through an interface, so that tests of package
// replica itself can use it.
package replicatest
