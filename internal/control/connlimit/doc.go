// Package connlimit bounds the connections of a control node by the file descriptors that it may use.
//
// The type slots (slots.go) decides, without I/O, a clock or locks, which connection is evicted for a new one and
// whether a call is admitted. Gate (gate.go) applies it to a net.Listener and an http.Server, and to the
// internal connections of agents and other control nodes, which share the same descriptors.
//
// The package imports nothing else of this module. A Gate owns its slots. The tests compare the slots with a reference
// model; package control tests whole nodes under a flood of connections (connection_flood_test.go).
package connlimit
