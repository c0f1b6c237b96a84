// Package backoff decides how long an ingress waits before it calls a service again after a failure. All ingresses of a
// fleet share the service.
//
// Most failures affect all ingresses at the same moment, because the shared service restarts or a release restarts most
// of the ingresses. If they all call again after the same short delay, a service that handles one call at a time has a
// queue so long that every call times out before it is answered, however long this goes on (in a test with a large
// fleet, 360 calls a second got 4 answers in 28 s). Therefore each ingress waits for a random time, evenly distributed
// within a window. The window is as long as the service needs to answer all ingresses, according to the fleet size in
// the settings. It doubles with each failure, because the capacity of the service is not known.
//
// The package does no I/O, reads no clock and draws no random numbers. It imports decision for its unit of time. The
// caller of a service owns a Window for it. The tests are in this package.
package backoff
