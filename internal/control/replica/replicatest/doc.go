// Package replicatest is the reference model of a replica for tests: a history of changes, and the snapshot
// after each.
//
// It imports package cluster's folders only; replicas are seen through an interface, so that tests of package
// replica itself can use it.
package replicatest
