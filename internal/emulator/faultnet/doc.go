// Package faultnet injects network faults between processes of a test, one direction of one pair at a time.
//
// Links is the table of links and their faults. Two networks obey it: Relay forwards datagrams and streams between
// real processes on loopback; Memory is a network within one process, for simulated time, and a transport of
// memberlist.
//
// The package imports nothing of this module, and no program that serves imports it: fault tests
// (internal/emulator/faulttest) and the tests of internal/standalone/fleet/gossip do. Links, Memory and Relay guard
// their state with a mutex each. A relay owns the goroutines that forward, and waits for them in Close. The tests are
// here; Memory is tested by package gossip.
package faultnet
