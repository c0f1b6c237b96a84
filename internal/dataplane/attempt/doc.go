// Package attempt is the life cycle of a request: admitted or rejected, forwarded in one or several attempts, answered
// once.
//
// Machine is the state machine of one request. Dispatcher owns the decision module and the machines of all pending
// requests; it turns events into effects that its host carries out: decisions to deliver, attempts to cancel, timers to
// set, calls of the counter to make.
//
// The package does no I/O, reads no clock and starts no goroutine; of this module it imports decision and mutants.
// Dispatcher is not safe for concurrent use: package engine guards it with a mutex and runs it on real time. Its
// tests are the model checker (internal/emulator/modelcheck), which drives it through orders of events and, in builds
// with the tag mutants, must find each seeded fault, and the tests of package engine.
package attempt
