// Package faultnet injects network faults between the nodes of a test. Each direction between two nodes is a separate
// link and can have its own fault.
//
// Links is the table of links and their faults. Two networks apply it: Relay forwards datagrams and streams between
// real processes on loopback; Memory is a network within one process, for simulated time, whose endpoints are
// transports for memberlist.
//
// The package imports no other package of this module. Only the fault tests (internal/emulator/faulttest), which
// `mulleinrouter fault-test` runs, and the tests of internal/standalone/fleet/gossip import it; a serving process does
// not use it. Links, Memory and Relay each guard their state with a mutex. A relay owns the goroutines that forward
// traffic, and waits for them in Close. Tests of Links and Relay are in this package; the tests of package gossip cover
// Memory.
package faultnet
