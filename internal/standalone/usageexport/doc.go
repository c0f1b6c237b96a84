// Package usageexport sends an ingress's usage to a billing endpoint, so that each batch is billed exactly
// once: a batch is stored with its number before it is sent, sent until it is acknowledged, and byte for byte
// the same each time, so the endpoint recognises a repetition.
//
// It imports package dataplane/usage for batches and package usagesegment for the records. Exporter owns the store, a
// bbolt file in the folder of the segments, which it locks. A batch, the segment up to which records are in batches and
// the requests in flight at its end are stored in one transaction; an acknowledgement in another. So a killed process
// goes on from a consistent state. Exporter.Run is the goroutine; its caller ends it by the context and waits for it.
//
// Tests: an exporter that is killed at each step against a fake endpoint with faults, beside the code; a store of an
// earlier version (golden_test.go).
package usageexport
