// Package conformance estimates how likely a request conforms to its quota, so that a gateway can decide
// requests about which it does not call the shared counter, and keeps the distribution of what a customer
// asks for by value.
//
// It does no I/O, reads no clock and imports nothing of this repository. A gateway (package decision) owns
// the state. Its tests stand beside it.
package conformance
