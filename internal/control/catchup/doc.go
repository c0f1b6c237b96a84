// Package catchup fetches chosen changes that this control node does not have from other control nodes.
//
// A Fetcher requests chunks (see replica/staging.go) from the peers, one at a time from each peer, and passes them to
// the replica. A caller that needs a few missing changes waits for them (Fetch); larger amounts are fetched in the
// background (StartBackgroundFetch). Lag detects that another node has had a newer snapshot for more than MaxLag. The
// package imports packages of cluster, control/peers and control/replica. Its tests are in package control
// (catchup_test.go) and use slow and interrupted links.
package catchup
