// Package cluster groups the packages that the programs of the system share: configuration, consensus, coordination,
// shard, registry, replication, quota, transport, settings, metrics, retry, command, commandline and linkfaults. Its
// packages import one another, logging and mutants. They import nothing of the programs themselves.
package cluster
