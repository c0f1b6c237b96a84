// Package attempt is the life of a request: taken, sent on perhaps several times, answered once. It is written as a
// machine that serving code runs on and that an explorer drives through every order of events. It does no I/O, reads
// no clock and starts no goroutine.
//
// Life is the machine of one request; Desk holds the decision module and the lives of all requests in its hands, and
// turns what happens into what is to be done.
package attempt

import (
	"errors"
	"fmt"

	"mulleinrouter/internal/decision"
)

// Phase is where in its life a request is.
type Phase uint8

// The phases.
const (
	Waiting   Phase = iota // in the module's hands; nothing is out
	InFlight               // an attempt is out, or has been decided on
	Abandoned              // nobody waits for the answer any more, and an attempt is still out
	Finished               // its last word has been said
)

var phases = [...]string{"waiting", "out", "deserted", "over"}

func (p Phase) String() string { return phases[p] }

// Errors of steps that a life does not have. They are the module's or the host's mistakes: each is told with a code and
// ends in an answer that is safe.
var (
	ErrPhase           = errors.New("not in this phase")
	ErrTooManyAttempts = errors.New("one attempt too many")
	ErrMayHaveRun      = errors.New("it may have run and must not run twice")
	ErrBodyConsumed    = errors.New("its body has gone")
	ErrUnsafeReject    = errors.New("a refusal, though it may have run and must not run twice")
)

// Machine is the machine of one request. Its zero value is a request that may run twice, of one attempt at most.
type Machine struct {
	AtMostOnce    bool // it must not run twice: nothing is sent again that may have run
	NoClientRetry bool // nor may it be asked again by its client: a refusal after it may have run would be a lie
	MaxAttempts   int  // attempts

	phase    Phase
	attempts int
	mayRun   bool // an attempt that is over may have run, or may yet
	spent    bool // of its body, something has been taken that cannot be had again
}

// Phase tells where it is.
func (l *Machine) Phase() Phase { return l.phase }

// Attempts is how many have been decided on.
func (l *Machine) Attempts() int { return l.attempts }

// MayHaveRun tells whether an attempt may have run, or may yet, as far as is known.
func (l *Machine) MayHaveRun() bool { return l.mayRun || l.phase == InFlight || l.phase == Abandoned }

// ConsumeBody tells that something of its body has been taken that cannot be had again: the attempt that is out is the last.
func (l *Machine) ConsumeBody() { l.spent = true }

// BodyConsumed tells whether it cannot be sent again.
func (l *Machine) BodyConsumed() bool { return l.spent }

// Send is the decision to make an attempt.
func (l *Machine) Send() error {
	switch {
	case l.phase != Waiting:
		return fmt.Errorf("send while %v: %w", l.phase, ErrPhase)
	case l.attempts >= max(1, l.MaxAttempts):
		return fmt.Errorf("send after %d: %w", l.attempts, ErrTooManyAttempts)
	case l.spent:
		return fmt.Errorf("send: %w", ErrBodyConsumed)
	case l.AtMostOnce && l.mayRun:
		return fmt.Errorf("send: %w", ErrMayHaveRun)
	}
	l.phase = InFlight
	l.attempts++
	return nil
}

// AttemptEnded is the end of the attempt that is out. It tells whether that was the last word: served, or nobody waits.
func (l *Machine) AttemptEnded(o decision.Outcome) (over bool, err error) {
	if l.phase != InFlight && l.phase != Abandoned {
		return false, fmt.Errorf("an attempt ends while %v: %w", l.phase, ErrPhase)
	}
	l.mayRun = l.mayRun || !o.ProvesNotExecuted()
	if l.phase == Abandoned && !mutated("deserted-waits") || o == decision.Succeeded {
		l.phase = Finished
		return true, nil
	}
	l.phase = Waiting
	return false, nil
}

// Reject is the decision to answer that trying again does no harm.
func (l *Machine) Reject() error {
	if l.phase != Waiting {
		return fmt.Errorf("refuse while %v: %w", l.phase, ErrPhase)
	}
	if l.NoClientRetry && l.mayRun {
		return ErrUnsafeReject
	}
	l.phase = Finished
	return nil
}

// Fail is the decision to answer that it was not served and may have run.
func (l *Machine) Fail() error {
	if l.phase != Waiting {
		return fmt.Errorf("fail while %v: %w", l.phase, ErrPhase)
	}
	l.phase = Finished
	return nil
}

// ClientGone tells that nobody waits for the answer any more. Over: nothing is out, it was the last word. It may come at
// any time, and more than once.
func (l *Machine) ClientGone() (over bool) {
	switch l.phase {
	case Waiting:
		l.phase = Finished
		return true
	case InFlight:
		if mutated("left-is-over") {
			l.phase = Finished
			return true
		}
		l.phase = Abandoned
	}
	return false
}
