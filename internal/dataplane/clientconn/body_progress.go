package clientconn

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

const (
	// bodyGracePeriod, in seconds, is how long the server may wait for a body before minBodyRate is required.
	bodyGracePeriod decision.Seconds = 2
	// minBodyRate is the rate, in bytes per second, that is required after the grace period. Clients send 64 kB/s or
	// more, so only a client at about half that rate or less is too slow.
	minBodyRate = 32 << 10
	// maxBodyStall, in seconds, is how long nothing may arrive of a buffered body. After that, its client is considered
	// to have stopped sending.
	maxBodyStall decision.Seconds = 2.5
	// maxStreamedStall, in seconds, is the same limit for a streamed body. It is longer because peers may take seconds
	// to send a chunk of any size.
	maxStreamedStall decision.Seconds = 10
)

// BodyProgress tracks the arrival of a request's body. Only the time spent waiting for the client counts, not the time
// spent waiting for the backend or for a decision. The zero value represents a body that has not been waited for yet.
type BodyProgress struct {
	Streamed bool // the body is forwarded as it arrives, in chunks of any size

	received     int64            // bytes received
	waited       decision.Seconds // total wait for the chunks that have arrived, seconds
	waitingSince decision.Seconds // start of the wait for the next chunk, if there is one
	waiting      bool             // the server waits for the next chunk
}

// Await records that the server waits for the next chunk from now on.
func (bp *BodyProgress) Await(now decision.Seconds) { bp.waitingSince, bp.waiting = now, true }

// Received records the arrival of a chunk of n bytes.
func (bp *BodyProgress) Received(now decision.Seconds, n int) {
	if bp.waiting {
		bp.waited += max(0, now-bp.waitingSince)
	}
	bp.waiting = false
	bp.received += int64(n)
}

// Late reports whether the server should stop waiting for the body, because it stalls or arrives too slowly.
func (bp *BodyProgress) Late(now decision.Seconds) bool {
	if !bp.waiting {
		return false
	}
	stall, maxStall := now-bp.waitingSince, maxBodyStall
	if bp.Streamed {
		maxStall = maxStreamedStall
	}
	if stall > maxStall && !mutants.On("clientconn/stall-for-ever") {
		return true
	}
	maxWait := bodyGracePeriod + float64(bp.received)/minBodyRate
	return bp.waited+stall > maxWait && !mutants.On("clientconn/trickle-for-ever")
}
