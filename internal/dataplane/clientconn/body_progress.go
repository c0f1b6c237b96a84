// Package clientconn decides about the connections of clients: how long what they send may take to come. It does no I/O,
// reads no clock and starts no goroutine.
package clientconn

import "mulleinrouter/internal/decision"

const (
	bodyGracePeriod  = 2.0      // s for which a body may be waited for before its rate counts
	minBodyRate      = 32 << 10 // bytes a second that it owes from then on: clients send 64 kB/s or more
	maxBodyStall     = 2.5      // s in which nothing comes of a body that is read whole: its client is not at it any more
	maxStreamedStall = 10.0     // s in which nothing comes of a long one: peers take seconds over a piece of any size
	maxHeadTime      = 2.6      // s for a head: clients may take 2 s, and who takes 3 must have been ended by then
)

// Pace is how the body of one request comes in. Only the time for which it is waited for counts: not that for which the
// quote server, or the decision, is. Its zero value is one of which nothing has been waited for.
type BodyProgress struct {
	Streamed bool // it is passed on as it comes, and may come in pieces of any size

	received int64
	waited   decision.Seconds
	since    decision.Seconds
	waiting  bool
}

// Wait tells that the next piece is waited for from now on.
func (p *BodyProgress) Await(now decision.Seconds) { p.since, p.waiting = now, true }

// Got tells that so many bytes have come.
func (p *BodyProgress) Received(now decision.Seconds, n int) {
	if p.waiting {
		p.waited += max(0, now-p.since)
	}
	p.waiting = false
	p.received += int64(n)
}

// Late tells whether it is to be given up: nothing has come for long, or it trickles.
func (p *BodyProgress) Late(now decision.Seconds) bool {
	if !p.waiting {
		return false
	}
	still, most := now-p.since, maxBodyStall
	if p.Streamed {
		most = maxStreamedStall
	}
	stalls := still > most && !mutated("stall-for-ever")
	return stalls || p.waited+still > bodyGracePeriod+float64(p.received)/minBodyRate && !mutated("trickle-for-ever")
}
