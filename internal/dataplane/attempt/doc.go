// Package attempt implements the life cycle of a request: the request is admitted or rejected, forwarded in one or more
// attempts, and answered once.
//
// Machine is the state machine of a request. Dispatcher owns the decision module and the machines of all pending
// requests. It turns events into effects that its host carries out: decisions to deliver, attempts to cancel, timers to
// set, and calls of the counter to make.
//
// The package does no I/O, reads no clock and starts no goroutine. Within this module it imports only decision and
// mutants. Dispatcher is not safe for concurrent use: package engine guards it with a mutex and runs it in real time.
//
// The tests of package engine cover this package, and so does the model checker (internal/emulator/modelcheck), which
// explores many orders of events. In builds with the tag mutants, the model checker must detect each seeded fault.
package attempt
