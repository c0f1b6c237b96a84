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

var phaseNames = [...]string{"waiting", "out", "deserted", "over"}

func (p Phase) String() string { return phaseNames[p] }

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

	phase        Phase
	attempts     int
	mayHaveRun   bool // an attempt that is over may have run, or may yet
	bodyConsumed bool // of its body, something has been taken that cannot be had again
}

// Phase tells where it is.
func (m *Machine) Phase() Phase { return m.phase }

// Attempts is how many have been decided on.
func (m *Machine) Attempts() int { return m.attempts }

// MayHaveRun tells whether an attempt may have run, or may yet, as far as is known.
func (m *Machine) MayHaveRun() bool {
	return m.mayHaveRun || m.phase == InFlight || m.phase == Abandoned
}

// ConsumeBody tells that something of its body has been taken that cannot be had again: the attempt that is out is the last.
func (m *Machine) ConsumeBody() { m.bodyConsumed = true }

// BodyConsumed tells whether it cannot be sent again.
func (m *Machine) BodyConsumed() bool { return m.bodyConsumed }

// Send is the decision to make an attempt.
func (m *Machine) Send() error {
	switch {
	case m.phase != Waiting:
		return fmt.Errorf("send while %v: %w", m.phase, ErrPhase)
	case m.attempts >= max(1, m.MaxAttempts):
		return fmt.Errorf("send after %d: %w", m.attempts, ErrTooManyAttempts)
	case m.bodyConsumed:
		return fmt.Errorf("send: %w", ErrBodyConsumed)
	case m.AtMostOnce && m.mayHaveRun:
		return fmt.Errorf("send: %w", ErrMayHaveRun)
	}
	m.phase = InFlight
	m.attempts++
	return nil
}

// AttemptEnded is the end of the attempt that is out. It tells whether that was the last word: served, or nobody waits.
func (m *Machine) AttemptEnded(o decision.Outcome) (over bool, err error) {
	if m.phase != InFlight && m.phase != Abandoned {
		return false, fmt.Errorf("an attempt ends while %v: %w", m.phase, ErrPhase)
	}
	m.mayHaveRun = m.mayHaveRun || !o.ProvesNotExecuted()
	if m.phase == Abandoned && !mutated("deserted-waits") || o == decision.Succeeded {
		m.phase = Finished
		return true, nil
	}
	m.phase = Waiting
	return false, nil
}

// Reject is the decision to answer that trying again does no harm.
func (m *Machine) Reject() error {
	if m.phase != Waiting {
		return fmt.Errorf("refuse while %v: %w", m.phase, ErrPhase)
	}
	if m.NoClientRetry && m.mayHaveRun {
		return ErrUnsafeReject
	}
	m.phase = Finished
	return nil
}

// Fail is the decision to answer that it was not served and may have run.
func (m *Machine) Fail() error {
	if m.phase != Waiting {
		return fmt.Errorf("fail while %v: %w", m.phase, ErrPhase)
	}
	m.phase = Finished
	return nil
}

// ClientGone tells that nobody waits for the answer any more. Over: nothing is out, it was the last word. It may come at
// any time, and more than once.
func (m *Machine) ClientDisconnected() (over bool) {
	switch m.phase {
	case Waiting:
		m.phase = Finished
		return true
	case InFlight:
		if mutated("left-is-over") {
			m.phase = Finished
			return true
		}
		m.phase = Abandoned
	}
	return false
}
