package upstreamconn

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// MayBegin reports whether a request may be written to a connection that was taken from the pool or opened for it.
// Meanwhile, the list of backends may have changed, the client may have disconnected, or the deadline may have passed.
// left is the time until the deadline, in seconds.
func MayBegin(serving, sameAddress, cancelled bool, left decision.Seconds) bool {
	switch {
	case !serving && !mutants.On("upstreamconn/ready-draining"):
		return false
	case !sameAddress && !mutants.On("upstreamconn/ready-moved"):
		return false
	}
	return !cancelled && left > 0
}

// MayRelease reports whether the part of a request that was held back, its last byte or the first byte of a streamed
// body, may be written. After the first byte of a streamed body, the rest follows in any case, because a send during a
// drain counts from its first byte (PROTOCOL, "Figures").
func MayRelease(serving, cancelled bool) bool {
	return (serving || mutants.On("upstreamconn/held-goes")) && !cancelled
}

// ReuseConditions describes an idle connection and the request that is to be written to it, for servers whose answers
// carry the ID of their request.
type ReuseConditions struct {
	Resent          bool // a request with the same ID has been written to this server before
	AtMostOnce      bool // the request must be executed at most once
	SawUnidentified bool // an answer without an ID has arrived on the connection
}

// MayReuse reports whether an idle connection may be used. A duplicate of an earlier answer may arrive on it before the
// awaited answer. If their IDs do not distinguish the two, an old rejection would be taken as proof that the new
// request was not executed.
func MayReuse(r ReuseConditions) bool {
	if r.AtMostOnce && r.SawUnidentified && !mutants.On("upstreamconn/unnamed-kept") {
		return false
	}
	return !r.Resent
}
