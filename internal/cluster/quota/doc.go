// Package quota keeps the shared counters of tenants' quotas.
//
// Each ingress is a reporter. Once per cycle a reporter adds its demand, in units per second, to a counter, and reads
// the sum and the number of reporters, from which it sets its slice of the quota. A tenant with few requests is counted
// by request instead (Report.PerRequest). The counters are distributed over the live control nodes by rendezvous
// hashing of their names. When a counter changes owners, the new owner answers with its sum only after a fence
// (HandoverFence).
//
// If a sum did not include a reporter, that reporter's slice would be given away a second time. Every rule therefore
// errs on the safe side: a late reporter counts with its last report, a repeated report counts once, and an owner that
// may not have all reports does not answer with a sum (Total.OK is not set).
//
//   - messages.go: Report and Total, which are encoded on the wire;
//   - owner.go: which control node owns a counter;
//   - counter_table.go: the counters of a control node, with the fence;
//   - counter.go and serials.go: a counter, its reporters and their repeated reports.
//
// The package does no I/O, reads no clock and starts no goroutine; it imports nothing of the project. The caller must
// serialize the calls to a CounterTable. The tests compare it with a model; package decision tests both sides of the
// protocol together.
package quota
