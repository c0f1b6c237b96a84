// Package ratelimit divides a hard rate limit among the gateways that one customer's requests come through,
// so that all of them together never pass it. Times are in seconds, amounts in units.
//
// Divided evenly, a limit rejects requests while it is not used up: a customer comes through a few of its
// gateways at a time (of ten, one may have two fifths of its requests), and a quarter of what conformed to
// the quota was rejected. So each gateway has the greater part of its even share for itself, whatever becomes
// of the shared counter, and the rest is shared: a gateway that needs more adds it to a counter that is named
// by a span of time, and may forward the request if the total is within the span's capacity.
//
// No sequence of spans passes the shared part, of rate r and burst b. A time t touches at most t/span + 2
// spans of capacity r*span each, and what they grant is forwarded up to GrantValidity after the reply, so at
// most r*t + 2*r*span + r*GrantValidity = r*t + b comes, by the choice of the span. A counter that lost its
// state comes back empty, but no sooner than a span lasts: nothing is granted twice.
//
// The package does no I/O, reads no clock, keeps no state and imports nothing of this repository. Its tests
// stand beside it.
package ratelimit
