// Package costmodel measures the costs of the roles of the system by the size of their state: live heap in bytes,
// processor time of this process in seconds, and bytes on the wire. Each cost is measured at several sizes. A line is
// fitted to all but the largest of them, and predicts the cost at the largest; the error of that prediction shows how
// well the line extrapolates.
//
//   - series.go: a cost as a function of a size, and the fit of its line;
//   - run.go: all series of one run, and their file;
//   - meter.go, heap.go and processor_time.go: the methods of measurement;
//   - state_memory.go, changes.go, snapshots.go, frames.go, heartbeats.go, counters.go, gateway.go, consensus.go,
//     disk.go and collector.go: the benchmarks of each part of the system;
//   - fixtures.go and gateway_harness.go: generated state, and a gateway under simulated time.
//
// It imports the packages that it measures: those of cluster, decision, and control/storage. Measure owns all state
// while it runs. It changes runtime.GOMAXPROCS and the garbage collector's target for the whole process, and restores
// them at its end; no other work may run in the process meanwhile. Series and runs belong to their caller. The tests of
// this package fit known lines, and measure everything once at sizes too small for meaningful figures.
package costmodel
