// Package shards runs this node's replica of each shard (cluster/shard). For each shard whose lease this node holds, it
// also has the tables that answer applications (cluster/coordination). A call of an application is evaluated here if
// this node is the leaseholder, and forwarded to the leaseholder otherwise.
//
// A host owns one shard, with its replica, its tables and the calls that wait for a commit. Its mutex is never held
// while a disk, a peer or a caller is waited for. A Service owns the hosts, an outbox for each peer and the calls that
// are forwarded. It has one goroutine for the clock, one for the saves of each shard, one for each outbox, and one for
// each call that a peer forwards. All of them end with the context of Run.
//
// Files: service.go (life cycle), host.go (one shard), waiters.go (calls that wait for a commit), calls.go (evaluation
// and forwarding), outbox.go (messages to and from peers), status.go (status and metrics), errors.go.
//
// The package may import control/operatorapi, control/storage, packages of cluster and package mutants. Its tests are
// internal/control/coordination_test.go and others there, which run simulated nodes.
package shards
