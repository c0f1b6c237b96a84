package engine

import (
	"time"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// Kind is the kind of a decision: what the host does with the request.
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
	Backend    string           // for Send: the backend of the attempt
	Deadline   time.Time        // for Send: when to cancel the attempt
	OverQuota  bool             // for Send and Reject: the request exceeds its quota
	RetryAfter decision.Seconds // for Reject: advice to the client, seconds; 0: none
	// SlowAfter, for Send, is the time after the request was written at which the host first calls
	// Ticket.ShouldAbandon; 0: never.
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
