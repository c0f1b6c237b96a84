// Package quota keeps the shared counters of tenants' quotas.
//
// Reporters, one per ingress, add to a counter once in a cycle the requests that they received, and read the sum and
// the number of reporters; from these each sets its slice of the quota. The counters are distributed over the live
// control nodes by rendezvous hashing of their names, and a counter changes owners under a fence.
//
// A sum that lacks a reporter would give the reporter's slice away a second time. Everything therefore errs to the
// other side: a late reporter counts with its last report, a repeated report counts once, and an owner that is not sure
// to have the reports of all does not answer.
//
//   - messages.go: Report and Total, as they are on the wire;
//   - owner.go: which control node owns a counter;
//   - counter_table.go: the counters of one control node, with the fence;
//   - counter.go and serials.go: one counter, its reporters and their repeated reports.
//
// The package does no I/O, reads no clock and starts no goroutine; it imports nothing of the project. A CounterTable
// belongs to its caller, who serializes the calls. The tests beside it compare it with a model; package decision tests
// both sides of the protocol together.
package quota
