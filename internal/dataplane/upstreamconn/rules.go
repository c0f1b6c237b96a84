package upstreamconn

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// MayBegin reports whether a request may be written to a connection that was taken from the pool or opened for it: the
// list of backends may have changed meanwhile, the client have disconnected, the deadline have passed. Left is the time
// until the deadline.
func MayBegin(serving, sameAddress, cancelled bool, left decision.Seconds) bool {
	switch {
	case !serving && !mutants.On("upstreamconn/ready-draining"):
		return false
	case !sameAddress && !mutants.On("upstreamconn/ready-moved"):
		return false
	}
	return !cancelled && left > 0
}

// MayRelease reports whether what was held back of a request, its last byte or the first of a streamed body, may be
// written. Once a byte of a streamed body has been written, the rest follows: a send during a drain counts from its
// first byte (PROTOCOL, "Figures").
func MayRelease(serving, cancelled bool) bool {
	return (serving || mutants.On("upstreamconn/held-goes")) && !cancelled
}

// Reuse is what is known of an idle connection and the request that is to be written to it, where answers carry the
// ID of their request.
type Reuse struct {
	Resent          bool // the request, so one of the same ID, has been written to this server before
	AtMostOnce      bool // the request must run at most once
	SawUnidentified bool // an answer without an ID has arrived on the connection
}

// MayReuse reports whether an idle connection may be used. A duplicate of an earlier answer may arrive on it in place
// of the next: where the ID does not tell the two apart, an old rejection would be taken as proof that the new
// request has not run.
func MayReuse(r Reuse) bool {
	if r.AtMostOnce && r.SawUnidentified && !mutants.On("upstreamconn/unnamed-kept") {
		return false
	}
	return !r.Resent
}
