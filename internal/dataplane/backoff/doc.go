// Package backoff decides how long an ingress waits before it calls a service again that all ingresses of a fleet
// share.
//
// What breaks for one ingress breaks for all at the same moment: a shared service restarts, or a release
// kills most of them. Called again by all after the same short time, a service that handles calls in turn has
// such a long queue that each call waits until it times out, and none is answered however long this goes on
// (in a test with a large fleet, 360 calls a second got 4 answers in 28 s). So each ingress waits for a time
// chosen evenly at random within a window, and the window is as long as the service needs for all of them, by
// the fleet size of the settings. It doubles with each failure, as it is not known how much the service can
// take.
//
// The package does no I/O, reads no clock and draws no random numbers; it imports decision for its unit of
// time. The caller of a service owns a Window for it. Its tests are beside it.
package backoff
