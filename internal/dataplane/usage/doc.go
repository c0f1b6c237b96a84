// Package usage decides what of the requests that an ingress forwarded is billed: when a request counts, how it is
// recorded in segments, how these are replayed into batches, and when a batch that was not acknowledged is sent again.
//
// The package does no I/O, reads no clock and starts no goroutine; of this module it imports decision alone. It keeps
// no state but that of a Replayer, which its caller owns. Segments are written by package standalone/usagesegment,
// batches are sent by package standalone/usageexport. Its tests are here; what is on disk is held to golden data in
// standalone/usagesegment.
package usage
