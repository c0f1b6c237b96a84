// Package coordination implements the primitives through which applications coordinate: locks with fencing tokens,
// increasing numbers, and cells (small keys) with revisions and watches. Tables are the records of a shard in the
// memory of its leaseholder.
//
// Tables evaluate requests without further input: Evaluate takes a request and returns its result, the writes that must
// be replicated, and the number of the batch that must be committed before the result may be returned to the
// application. They read no clock, do no I/O and start no goroutine; times are seconds by the caller's monotonic clock.
// They are not safe for concurrent use. Records are encoded in record.go. A record format is never changed: a new
// format gets the next version byte.
//
// Files: request.go (requests and results), tables.go (evaluation and upkeep), locks.go, numbers.go, cells.go,
// record.go. The package may import cluster/shard, because it returns writes of that package, and mutants. Tests:
// tables_test.go.
package coordination
