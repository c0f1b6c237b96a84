// Package instances keeps what a control node knows of server instances.
//
// It joins three things under one mutex: the registry that judges which instances are alive (cluster/registry),
// the store from which agents are fed (cluster/replication), and the disk (control/storage), on which departures
// are stored before they are acknowledged. Times are the seconds of this process' own clock: the clock that
// control nodes share may be moved forward. It imports package cluster's folders and control/storage.
// registry_test.go tests the pages of persisted instances; the rest is tested with whole nodes in package
// control.
package instances
