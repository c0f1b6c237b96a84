// Package usageexport sends an ingress's usage to a billing endpoint, so that each batch is billed exactly
// once. A batch is stored with its number before it is sent, and it is sent repeatedly until it is acknowledged. Its
// bytes are the same each time, so that the endpoint recognises a repetition.
//
// It imports package dataplane/usage for batches and package usagesegment for the records. Exporter owns the store, a
// bbolt file in the folder of the segments, and locks it. One transaction stores a batch, the number of the last
// segment in it, and the requests in flight at the end of that segment. Another transaction stores the acknowledgement.
// So an exporter continues from a consistent state after its process was killed. Exporter.Run runs in a goroutine of
// its caller, which ends it by the context and waits for it.
//
// The tests in this folder kill an exporter at each step, with a fake endpoint that injects faults, and read a store of
// an earlier version (golden_test.go).
package usageexport
