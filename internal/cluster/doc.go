// Package cluster groups what the programs of the system share: configuration, registry, replication, quota, transport,
// settings, metrics, retry, command and linkfaults. Its folders import one another and package cluster/consensus for
// the types on the wire, and nothing of the programs themselves.
package cluster
