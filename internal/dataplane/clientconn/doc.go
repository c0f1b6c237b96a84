// Package clientconn decides about connections of clients: which transitions they have, how long each step may take,
// which are closed for want of room or for a drain, and whether an answer is the last on its connection.
//
// The package does no I/O, reads no clock and starts no goroutine; of this module it imports decision and mutants.
// Machine is not safe for concurrent use: package ingress owns one for each connection and guards them with its
// server's mutex. Its tests are here and in the model checker (internal/emulator/modelcheck), which drives the
// machine through orders of events and, in builds with the tag mutants, must find each seeded fault.
package clientconn
