// Package cluster groups the packages that the programs of the system share: configuration, registry, replication,
// quota, transport, settings, metrics, retry, command and linkfaults. Its packages import one another and, for the
// types on the wire, package cluster/consensus. They import nothing of the programs themselves.
package cluster
