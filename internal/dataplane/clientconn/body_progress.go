package clientconn

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

const (
	// bodyGracePeriod is for how long a body may be awaited before its rate counts.
	bodyGracePeriod decision.Seconds = 2
	// minBodyRate is the rate, in bytes a second, that is required from then on: clients send 64 kB/s or more.
	minBodyRate = 32 << 10
	// maxBodyStall is for how long nothing may arrive of a body that is buffered: its client has stopped sending.
	maxBodyStall decision.Seconds = 2.5
	// maxStreamedStall is the same of a streamed body: peers may take seconds over a piece of any size.
	maxStreamedStall decision.Seconds = 10
)

// BodyProgress tracks how the body of one request arrives. Only the time for which the client is awaited counts, not
// that for which the backend or the decision is. Its zero value is a body that has not been awaited yet.
type BodyProgress struct {
	Streamed bool // it is forwarded as it arrives, and may arrive in pieces of any size

	received int64            // bytes
	waited   decision.Seconds // in total, for the pieces that have arrived
	since    decision.Seconds // while waiting: when the wait for the next piece began
	waiting  bool
}

// Await records that the next piece is awaited from now on.
func (bp *BodyProgress) Await(now decision.Seconds) { bp.since, bp.waiting = now, true }

// Received records the arrival of a piece of n bytes.
func (bp *BodyProgress) Received(now decision.Seconds, n int) {
	if bp.waiting {
		bp.waited += max(0, now-bp.since)
	}
	bp.waiting = false
	bp.received += int64(n)
}

// Late reports whether the body is to be given up: it stalls, or arrives too slowly.
func (bp *BodyProgress) Late(now decision.Seconds) bool {
	if !bp.waiting {
		return false
	}
	stall, maxStall := now-bp.since, maxBodyStall
	if bp.Streamed {
		maxStall = maxStreamedStall
	}
	if stall > maxStall && !mutants.On("clientconn/stall-for-ever") {
		return true
	}
	maxWait := bodyGracePeriod + float64(bp.received)/minBodyRate
	return bp.waited+stall > maxWait && !mutants.On("clientconn/trickle-for-ever")
}
