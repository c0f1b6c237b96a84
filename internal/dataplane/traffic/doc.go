// Package traffic counts the bytes that a process moves over its connections, and estimates which part of a link's
// capacity they take.
//
// It does no I/O, reads no clock and starts no goroutine, and imports nothing of this module. A Counter is shared by
// the connections of a process; a Load belongs to one caller. Its tests are here; package proxy tests load shedding
// by it.
package traffic
