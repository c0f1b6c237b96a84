// Package ratelimit divides a hard rate limit among the gateways that one customer's requests come through,
// so that all of them together never pass it. Times are in seconds, amounts in units.
//
// An evenly divided limit rejects requests before it is used up, because the requests of a customer come
// through a few of its gateways at a time: of ten gateways, one may get two fifths of the requests. With an
// even division, a quarter of the requests that conformed to the quota were rejected. So each gateway has
// the greater part of its even share for itself, which does not depend on the shared counter, and the rest
// is shared. A gateway that needs more adds the units to a counter that is named after a span of time, and
// may forward the request if the total is within the span's capacity.
//
// The spans never grant more than the shared part, of rate r and burst b. A period of length t overlaps at
// most t/span + 2 spans of capacity r*span each, and requests are forwarded up to GrantValidity after the
// reply, so at most r*t + 2*r*span + r*GrantValidity = r*t + b units are forwarded, by the choice of the
// span. A counter that lost its state restarts empty, but not before a span has ended, so nothing is
// granted twice.
//
// The package does no I/O, reads no clock, keeps no state and imports no other package of this module.
package ratelimit
