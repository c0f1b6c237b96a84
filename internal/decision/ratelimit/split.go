package ratelimit

import (
	"math"
	"strconv"
)

const (
	// ownShare is the share of the limit that is divided evenly. With a smaller share, more requests are
	// rejected while the counter is overloaded.
	ownShare = 0.75
	// GrantValidity is the time after the counter's reply for which a grant of the shared part is valid, in
	// seconds.
	GrantValidity = 0.15
	// maxSpan is the longest span, in seconds. It must be shorter than the restart of a lost counter, which
	// takes at least three seconds.
	maxSpan = 2.0
	// retentionMargin is the time, in seconds, for which the counter of a span is kept after the end of the
	// next span.
	retentionMargin = 1
)

// Split is a rate limit and its division among gateways.
type Split struct {
	Rate     float64 // units per second; 0: no limit
	Burst    float64 // units
	Slack    float64 // units by which the limit may be exceeded
	Gateways float64 // number of gateways that may receive the customer's requests
	Counter  bool    // whether the gateways share a counter
}

// span returns the length of a span of the shared part, in seconds. It is 0 if there is no shared part:
// without a limit, without a counter, with fewer than two gateways, or with a burst that is too small for the
// delays.
func (s Split) span() float64 {
	if !s.Counter || s.Gateways < 2 || s.Rate <= 0 {
		return 0
	}
	return min(maxSpan, max(0, (s.Burst/s.Rate-GrantValidity)/2))
}

// OwnTokens returns the units that a gateway may admit now from its own part, given its earlier tokens and
// the time since then in seconds. Share is the share of the gateway that the calling process is: 1, unless
// an upgrade runs a newer process and an older one at the same time.
func (s Split) OwnTokens(tokens, since, share float64) float64 {
	part := share / s.Gateways
	if s.span() > 0 {
		part *= ownShare
	}
	return min(part*(s.Burst+s.Slack), tokens+part*s.Rate*since)
}

// SharedSpan returns the name of the span at the given time, its capacity in units, and the time in seconds
// for which its counter is needed. It returns false if there is no shared part.
func (s Split) SharedSpan(now float64) (name string, capacity, retention float64, ok bool) {
	span := s.span()
	if span == 0 {
		return "", 0, 0, false
	}
	name = "c" + strconv.FormatInt(int64(math.Floor(now/span)), 36)
	capacity = (1 - ownShare) * s.Rate * span
	return name, capacity, 2*span + retentionMargin, true
}
