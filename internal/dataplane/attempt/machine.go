package attempt

import (
	"fmt"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// Phase is a phase of a request's life cycle.
type Phase uint8

// The phases.
const (
	Waiting   Phase = iota // the decision module has it; no attempt is in flight
	InFlight               // an attempt is in flight, or has been decided on
	Abandoned              // the client has abandoned it, and an attempt is still in flight
	Finished               // the final decision has been made
)

var phaseNames = [...]string{"waiting", "in flight", "abandoned", "finished"}

func (p Phase) String() string { return phaseNames[p] }

// Machine is the state machine of one request. Its zero value is an idempotent request of one attempt at most.
type Machine struct {
	AtMostOnce    bool // once it may have run, it is not attempted again
	NoClientRetry bool // a retry by its client might run too: once it may have run, it is not rejected
	MaxAttempts   int  // 0: one

	phase           Phase
	attempts        int
	mayHaveExecuted bool // an attempt that has ended may have run, or may yet
	bodyConsumed    bool // a part of its body has been read that cannot be read again
}

// Phase returns the phase.
func (m *Machine) Phase() Phase { return m.phase }

// Attempts returns the number of attempts that have been decided on.
func (m *Machine) Attempts() int { return m.attempts }

// MayHaveExecuted reports whether a server may have executed an attempt, or may yet, as far as is known.
func (m *Machine) MayHaveExecuted() bool {
	return m.mayHaveExecuted || m.phase == InFlight || m.phase == Abandoned
}

// ConsumeBody records that a part of the body has been read that cannot be read again: the attempt in flight is the
// last.
func (m *Machine) ConsumeBody() { m.bodyConsumed = true }

// BodyConsumed reports whether the request cannot be sent again for want of its body.
func (m *Machine) BodyConsumed() bool { return m.bodyConsumed }

// Send is the decision to make an attempt.
func (m *Machine) Send() error {
	switch {
	case m.phase != Waiting:
		return fmt.Errorf("send while %v: %w", m.phase, ErrPhase)
	case m.attempts >= max(1, m.MaxAttempts):
		return fmt.Errorf("send after %d attempts: %w", m.attempts, ErrTooManyAttempts)
	case m.bodyConsumed:
		return fmt.Errorf("send: %w", ErrBodyConsumed)
	case m.AtMostOnce && m.mayHaveExecuted:
		return fmt.Errorf("send: %w", ErrMayHaveExecuted)
	}
	m.phase = InFlight
	m.attempts++
	return nil
}

// AttemptEnded ends the attempt in flight. Finished reports whether the request ends with it: it succeeded, or its
// client has disconnected.
func (m *Machine) AttemptEnded(outcome decision.Outcome) (finished bool, err error) {
	if m.phase != InFlight && m.phase != Abandoned {
		return false, fmt.Errorf("attempt ended while %v: %w", m.phase, ErrPhase)
	}
	m.mayHaveExecuted = m.mayHaveExecuted || !outcome.ProvesNotExecuted()
	if m.phase == Abandoned && !mutants.On("attempt/deserted-waits") || outcome == decision.Succeeded {
		m.phase = Finished
		return true, nil
	}
	m.phase = Waiting
	return false, nil
}

// Reject is the decision to answer that a retry by the client does no harm.
func (m *Machine) Reject() error {
	if m.phase != Waiting {
		return fmt.Errorf("reject while %v: %w", m.phase, ErrPhase)
	}
	if m.NoClientRetry && m.mayHaveExecuted {
		return ErrUnsafeReject
	}
	m.phase = Finished
	return nil
}

// Fail is the decision to answer that the request was not served and may have run.
func (m *Machine) Fail() error {
	if m.phase != Waiting {
		return fmt.Errorf("fail while %v: %w", m.phase, ErrPhase)
	}
	m.phase = Finished
	return nil
}

// ClientDisconnected records that the client no longer waits for an answer. Finished reports whether the request ends
// with it: no attempt was in flight. It may be called in any phase, and more than once.
func (m *Machine) ClientDisconnected() (finished bool) {
	switch m.phase {
	case Waiting:
		m.phase = Finished
		return true
	case InFlight:
		if mutants.On("attempt/left-is-over") {
			m.phase = Finished
			return true
		}
		m.phase = Abandoned
	}
	return false
}
