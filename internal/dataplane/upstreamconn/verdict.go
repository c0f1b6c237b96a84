package upstreamconn

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// Failure is the way in which an attempt failed.
type Failure uint8

// The failures.
const (
	ConnectionLost Failure = iota // the connection ended or was reset
	TimedOut                      // the deadline of the attempt passed
	Cancelled                     // the attempt was cancelled from this side
	Malformed                     // the server sent bytes that are not an answer in the protocol
)

// Answer describes the head of a server's answer, in the protocol of the standalone ingress. Package upstream
// translates other dialects to it (upstream.AnswerMeaning): a Status of 200 represents any answer that serves the
// request, and 503 with NotProcessed represents any proof that the request was not executed.
type Answer struct {
	Status        int
	NotProcessed  bool // X-Not-Processed: 1; for the proxy X-Not-Executed, or status 421
	Close         bool // the server closes the connection after the answer
	TrailingBytes bool // bytes that belong to no answer followed it
}

// Verdict is what the end of an attempt on a connection proves, and whether the connection can be used again.
type Verdict struct {
	Outcome decision.Outcome
	// Answered means that a complete answer, or the head of a streamed one, followed the completely written request.
	// This proves that the request arrived at the server.
	Answered          bool
	TryNextConnection bool   // the attempt may continue on another connection, because the request was not executed
	Reusable          bool   // the connection returns to the idle pool
	Code              string // log code of the connection's end, unless it is reusable
	Err               error  // wraps ErrState; nil: the event was legal
}

// OutcomeOf returns the outcome of an attempt that ended with this answer (PROTOCOL, "Ingresses to quote servers").
func OutcomeOf(a Answer) decision.Outcome {
	switch {
	case a.Status == 200:
		return decision.Succeeded
	case (a.Status == 503 || a.Status == 504) && (a.NotProcessed || mutants.On("upstreamconn/busy-unproven")):
		return decision.Rejected
	}
	if mutants.On("upstreamconn/error-proves") {
		return decision.Rejected
	}
	return decision.Failed
}
