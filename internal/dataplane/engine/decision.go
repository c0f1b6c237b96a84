package engine

import (
	"time"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// Kind is what is to be done with a request.
type Kind = attempt.Kind

// The kinds. Reject, Fail and NoAnswer are final.
const (
	Send     = attempt.Send
	Reject   = attempt.Reject
	Fail     = attempt.Fail
	NoAnswer = attempt.NoAnswer
)

// Decision is an attempt.Decision with its times converted from the seconds of the decision module to those of package
// time.
type Decision struct {
	Kind       Kind
	Backend    string           // of a Send
	Deadline   time.Time        // of a Send: when to give the attempt up
	OverQuota  bool             // of a Send or a Reject: the request exceeds its quota
	RetryAfter decision.Seconds // of a Reject; 0: no advice
	// SlowAfter is, of a Send, how long after the request was written Ticket.ShouldAbandon is first asked whether to
	// give the attempt up; 0: never.
	SlowAfter time.Duration
}

// newDecision converts a decision of the dispatcher.
func newDecision(d attempt.Decision, clock *Clock) Decision {
	converted := Decision{Kind: d.Kind, Backend: d.Backend, OverQuota: d.OverQuota, RetryAfter: d.RetryAfter}
	if d.Kind == Send {
		converted.Deadline = clock.Time(d.Deadline)
		converted.SlowAfter = duration(d.SlowAfter)
	}
	return converted
}
