// Package usage decides which of the requests that an ingress forwarded are billed: when a request counts, how it is
// recorded in segments, how segments are replayed into batches, and when a batch that was not acknowledged is sent
// again.
//
// The package does no I/O, reads no clock and starts no goroutine. Within this module it imports only decision. Its
// only state is that of a Replayer, which the caller owns. Package standalone/usagesegment writes segments, and package
// standalone/usageexport sends batches. The tests are in this package; standalone/usagesegment compares the format on
// disk with golden data.
package usage
