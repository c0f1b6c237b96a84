package ratelimit

import (
	"math"
	"strconv"
)

const (
	// ownShare is the part of the limit that is divided evenly. With a smaller one, more is lost while the
	// counter is overloaded.
	ownShare = 0.75
	// GrantValidity is how long after the counter's reply a grant of the shared part holds, in seconds.
	GrantValidity = 0.15
	// maxSpan is the longest span in seconds: a lost counter is back after three seconds at the soonest.
	maxSpan = 2.0
	// retentionMargin is how long the counter of a span is kept beyond it and the next one, in seconds.
	retentionMargin = 1
)

// Split is a rate limit and among how many gateways it is divided.
type Split struct {
	Rate     float64 // units a second; 0: no limit
	Burst    float64 // units
	Slack    float64 // units by which the limit may be passed
	Gateways float64 // that the customer may come through
	Counter  bool    // the gateways share a counter
}

// span is the length of a span of the shared part, in seconds. It is 0 where there is none: without a
// counter, or with a burst too small for the delays.
func (s Split) span() float64 {
	if !s.Counter || s.Gateways < 2 || s.Rate <= 0 {
		return 0
	}
	return min(maxSpan, max(0, (s.Burst/s.Rate-GrantValidity)/2))
}

// OwnTokens is what a gateway may admit by itself now, in units, given the tokens that it had and how many
// seconds ago that was. Share is how much of the gateway the process is that asks: 1, unless a newer process
// starts beside an older one.
func (s Split) OwnTokens(tokens, since, share float64) float64 {
	part := share / s.Gateways
	if s.span() > 0 {
		part *= ownShare
	}
	return min(part*(s.Burst+s.Slack), tokens+part*s.Rate*since)
}

// SharedSpan returns the name of the span of a moment, its capacity in units, and for how many seconds its
// counter is needed. It returns false where there is no shared part.
func (s Split) SharedSpan(now float64) (name string, capacity, retention float64, ok bool) {
	span := s.span()
	if span == 0 {
		return "", 0, 0, false
	}
	name = "c" + strconv.FormatInt(int64(math.Floor(now/span)), 36)
	capacity = (1 - ownShare) * s.Rate * span
	return name, capacity, 2*span + retentionMargin, true
}
