// Package traffic counts the bytes that a process transfers over its connections, and estimates which fraction of a
// link's capacity they use.
//
// It does no I/O, reads no clock and starts no goroutine, and imports nothing of this module. A Counter is shared by
// the connections of a process; a Load belongs to one caller. The tests are in this package; package proxy tests load
// shedding, which uses it.
package traffic
