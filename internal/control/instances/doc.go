// Package instances manages the server instances that a control node knows.
//
// Under one mutex, it keeps three components consistent: the failure detector that decides which instances are alive
// (cluster/registry), the store whose contents are streamed to agents (cluster/replication), and the disk
// (control/storage), on which departures are stored before they are acknowledged. Times are seconds of this process's
// own clock, because the clock that control nodes share may be moved forward. The package imports packages of cluster
// and control/peers, control/replica and control/storage. registry_test.go tests the pages of persisted instances; the
// rest is tested with whole nodes in package control.
package instances
