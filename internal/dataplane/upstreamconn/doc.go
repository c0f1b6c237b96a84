// Package upstreamconn decides about connections to backends: Machine is the state machine of one connection and says
// what each way in which an attempt ends proves; IdlePool keeps the idle connections; LossHistory says when the last
// byte of a request is to be held back.
//
// The package does no I/O, reads no clock and starts no goroutine; of this module it imports decision and mutants. Its
// types are not safe for concurrent use: package upstream owns and guards them. Its tests are here and in the model
// checker (internal/emulator/modelcheck), which drives the machine through orders of events and, in builds with the
// tag mutants, must find each seeded fault.
package upstreamconn
