package clientconn

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// Evictable reports whether the connection may be closed for want of room: it is unproductive, or it is idle and was
// served before.
func (m *Machine) Evictable(now decision.Seconds) bool {
	if m.closeCode != "" {
		return false // it is being closed anyway
	}
	if m.state == Deciding && mutants.On("clientconn/busy-spared") {
		return true
	}
	return m.unproductive(now) || m.state == Idle && !m.unused && !m.requestPending
}

// EvictBefore reports whether an evictable connection is closed rather than another: the unproductive before the idle,
// and of these the one in its state for longest. A flood of silent connections thus displaces itself.
func (m *Machine) EvictBefore(other *Machine, now decision.Seconds) bool {
	if a, b := m.unproductive(now), other.unproductive(now); a != b {
		return a
	}
	return m.since < other.since
}

// unproductive reports whether the connection takes up a place for nothing: it has not sent a request yet, sends one
// slowly, or has had its last answer.
func (m *Machine) unproductive(now decision.Seconds) bool {
	switch m.state {
	case Lingering:
		return true
	case Idle:
		return m.unused && !m.requestPending
	case ReadingHead, ReadingBody:
		return m.unused && now-m.since > promptRequest
	}
	return false
}
