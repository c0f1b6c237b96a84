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
	Waiting   Phase = iota // the request waits for a decision; no attempt is in flight
	InFlight               // an attempt is in flight, or is about to start
	Abandoned              // the client has disconnected, and an attempt is still in flight
	Finished               // the final decision has been made
)

var phaseNames = [...]string{"waiting", "in flight", "abandoned", "finished"}

func (p Phase) String() string { return phaseNames[p] }

// Machine is the state machine of a request. The zero value represents an idempotent request that is attempted at most
// once.
type Machine struct {
	AtMostOnce bool // no attempt is sent after one that may have been executed
	// NoClientRetry: the client's retry might be executed too, so the request is not rejected after an attempt that may
	// have been executed.
	NoClientRetry bool
	MaxAttempts   int // 0 means 1

	phase           Phase
	attempts        int
	mayHaveExecuted bool // an attempt that has ended may have been executed, or may still be
	bodyConsumed    bool // part of the body has been read and cannot be read again
}

// Phase returns the phase.
func (m *Machine) Phase() Phase { return m.phase }

// Attempts returns the number of attempts that the decision module has decided to send.
func (m *Machine) Attempts() int { return m.attempts }

// MayHaveExecuted reports whether a server may have executed an attempt, or may still execute one.
func (m *Machine) MayHaveExecuted() bool {
	return m.mayHaveExecuted || m.phase == InFlight || m.phase == Abandoned
}

// RetryIsSafe reports whether a retry of the client cannot be executed in addition to an attempt, or does no harm then.
func (m *Machine) RetryIsSafe() bool { return !m.NoClientRetry || !m.MayHaveExecuted() }

// ConsumeBody records that part of the body has been read and cannot be read again, so that the attempt in flight is
// the last one.
func (m *Machine) ConsumeBody() { m.bodyConsumed = true }

// BodyConsumed reports whether the request cannot be sent again because part of its body is no longer available.
func (m *Machine) BodyConsumed() bool { return m.bodyConsumed }

// Send records the decision to start an attempt.
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

// AttemptEnded records the end of the attempt in flight. finished reports whether the request ends with it, because the
// attempt succeeded or the client has disconnected.
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

// Reject records the decision to answer that the client may retry safely.
func (m *Machine) Reject() error {
	if m.phase != Waiting {
		return fmt.Errorf("reject while %v: %w", m.phase, ErrPhase)
	}
	if !m.RetryIsSafe() {
		return ErrUnsafeReject
	}
	m.phase = Finished
	return nil
}

// Fail records the decision to answer that the request was not served and may have been executed.
func (m *Machine) Fail() error {
	if m.phase != Waiting {
		return fmt.Errorf("fail while %v: %w", m.phase, ErrPhase)
	}
	m.phase = Finished
	return nil
}

// ClientDisconnected records that the client no longer waits for an answer. finished reports whether the request ends
// with it, because no attempt was in flight. It may be called in any phase, and more than once.
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
