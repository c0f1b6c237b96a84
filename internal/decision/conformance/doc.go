// Package conformance estimates the probability that a request conforms to its quota, so that a gateway can
// decide requests without calling the shared counter. It also tracks the distribution of a customer's
// demand by value.
//
// It does no I/O, reads no clock and imports no other package of this module. A gateway (package decision)
// owns the state.
package conformance
