// Package upstreamconn implements the rules for connections to backends. Machine is the state machine of a connection,
// and determines what the end of an attempt proves. IdlePool keeps the idle connections. LossHistory determines when
// the last byte of a request is held back.
//
// The package does no I/O, reads no clock and starts no goroutine. Within this module it imports only decision and
// mutants. Its types are not safe for concurrent use: package upstream owns and guards them. The tests are in this
// package and in the model checker (internal/emulator/modelcheck), which explores many orders of events and, in builds
// with the tag mutants, must detect each seeded fault.
package upstreamconn
