// Package costmodel measures what the roles of the system cost by the size of their state: live heap in bytes,
// processor time of this process in seconds, bytes on the wire. Each cost is taken at several sizes; a line is fitted
// to all but the largest, and that one is predicted, which shows how far the line holds.
//
//   - series.go: a cost by a size, and the fit of its line; run.go: all series of one run, and its file;
//   - meter.go, heap.go and processor_time.go: the ways of measuring;
//   - state_memory.go, changes.go, snapshots.go, frames.go, heartbeats.go, counters.go, gateway.go, consensus.go,
//     disk.go and collector.go: what is measured of each part of the system;
//   - fixtures.go and gateway_harness.go: generated state, and a gateway under simulated time.
//
// It imports the packages that it measures: those of cluster, decision, and control/storage. Measure owns all state
// while it runs: it sets runtime.GOMAXPROCS and the collector's target of the process, puts them back, and must not
// run beside other work. Series and runs belong to their caller. The tests are beside it; they fit known lines, and
// measure everything once at sizes too small for figures.
package costmodel
