// Package connlimit bounds the connections of a control node by the file descriptors that it may use.
//
// Slots (slots.go) is the decision, without I/O, clock or locks: which connection is evicted for a new one, and
// whether a call is admitted. Gate (gate.go) applies it to a net.Listener and an http.Server, and to the
// internal connections of agents and other control nodes, which share the same descriptors.
//
// It imports nothing of this module. A Gate owns its slots. Its tests compare the slots with a reference model;
// whole nodes under a flood of connections are tested in package control (connection_flood_test.go).
package connlimit
