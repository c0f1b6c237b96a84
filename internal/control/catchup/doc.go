// Package catchup fetches chosen changes that this control node lacks from other control nodes.
//
// A Fetcher requests chunks (see replica/staging.go) from the peers, one at a time from each, and hands them to
// the replica. A few missing chunks are fetched by the caller that needs them (Fetch), many in the background
// (Sweep). Lag tells whether a newer snapshot has been known elsewhere for a while. It imports control/replica
// and control/peers. Its tests are those of package control (catchup_test.go), over slow and cut links.
package catchup
