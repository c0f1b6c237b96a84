// Package ratelimit splits a hard ceiling among the ingresses that one member's requests come through, so
// that all of them together never pass it. It does no I/O and reads no clock; times are in seconds, amounts
// in units.
//
// Split evenly, a ceiling is refused where it is not used up: a member comes through a few of its ingresses
// at a time (of ten, one may have two fifths of it), and a quarter of what was inside the quota was refused.
// So each ingress has the greater part of its even share for itself, which holds whatever becomes of the
// counter, and the rest is common: whoever needs more adds it to a number that is named by the span of time,
// and may send if the total is within the span's room.
//
// No chain of spans passes the common part, of rate r and depth d: time t touches at most t/span + 2 spans of
// room r*span each, and what they grant is sent up to Late after the answer, so at most r*t + 2*r*span +
// r*Late = r*t + d comes, by the choice of span. A counter that was lost comes back empty, but no sooner than
// a span lasts: none is granted twice.
package ratelimit

import (
	"math"
	"strconv"
)

const (
	ownShare = 0.75 // of the ceiling, split evenly; more in common is lost while the counter is crowded
	// Late is for how long after the counter's answer a grant of the common part holds.
	GrantValidity = 0.15
	maxSpan       = 2.0 // a lost counter is back after three seconds at the soonest
)

// Split is a ceiling and whom it is split among.
type Split struct {
	Rate, Burst, Slack float64
	Gateways           float64 // ingresses that the member may come through
	Counter            bool    // they share one
}

// span is that of the common part, 0 where there is none: without a counter, or with a depth too small for
// the delays.
func (s Split) span() float64 {
	if !s.Counter || s.Gateways < 2 || s.Rate <= 0 {
		return 0
	}
	return min(maxSpan, max(0, (s.Burst/s.Rate-GrantValidity)/2))
}

// Own is what an ingress may let through by itself: left is what it had, since is how long ago that was.
// Share is how much of the ingress the process is that asks: 1 but while a newer one starts beside an older
// one.
func (s Split) OwnTokens(left, since, share float64) float64 {
	part := share / s.Gateways
	if s.span() > 0 {
		part *= ownShare
	}
	return min(part*(s.Burst+s.Slack), left+part*s.Rate*since)
}

// Common names the span of a moment, the room in it, and for how long its number is needed; not ok: there is
// none.
func (s Split) SharedSpan(now float64) (name string, room, keep float64, ok bool) {
	span := s.span()
	if span == 0 {
		return "", 0, 0, false
	}
	return "c" + strconv.FormatInt(
		int64(math.Floor(now/span)), 36,
	), (1 - ownShare) * s.Rate * span, 2*span + 1, true
}
