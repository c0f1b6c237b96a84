// Package clientconn implements the rules for connections of clients: the transitions of a connection, the time limit
// of each state, which connections are closed to make room for others or during a drain, and whether an answer is the
// last on its connection.
//
// The package does no I/O, reads no clock and starts no goroutine. Within this module it imports only decision and
// mutants. Machine is not safe for concurrent use: package ingress owns one for each connection and guards them with
// its server's mutex. The tests are in this package and in the model checker (internal/emulator/modelcheck), which
// explores many orders of events and, in builds with the tag mutants, must detect each seeded fault.
package clientconn
