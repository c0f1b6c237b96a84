package upstreamconn

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// Failure is how a connection failed.
type Failure uint8

// The failures.
const (
	ConnectionLost Failure = iota // it ended or was reset
	TimedOut                      // the deadline of the attempt passed
	Cancelled                     // the attempt was cancelled from this side
	Malformed                     // what the server sent is no answer in the protocol
)

// Answer is what the head of a server's answer says, in the protocol of the ingress in service. Package upstream
// translates other dialects to it (upstream.AnswerMeaning): a Status of 200 stands for any answer that serves the
// request, and 503 with NotProcessed for any proof that nothing was executed.
type Answer struct {
	Status        int
	NotProcessed  bool // X-Not-Processed: 1; of the system X-Not-Executed, or 421
	Close         bool // the server closes the connection with it
	TrailingBytes bool // bytes followed it that answer nothing
}

// Verdict is what the end of an attempt on a connection proves, and what becomes of the connection.
type Verdict struct {
	Outcome           decision.Outcome
	Answered          bool   // a complete answer followed a request that was written completely: it had arrived
	TryNextConnection bool   // the attempt may go on over another connection: nothing of it has run
	Reusable          bool   // the connection goes back to the idle pool
	Code              string // of the log line on the end of the connection, unless it is reusable
	Err               error  // wraps ErrState; nil: the step was legal
}

// OutcomeOf returns what an answer means (PROTOCOL, "Ingresses to quote servers").
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
