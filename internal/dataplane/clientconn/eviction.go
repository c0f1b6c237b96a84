package clientconn

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// Evictable reports whether the connection may be closed to make room for another one: it is unproductive, or it is
// idle after at least one request.
func (m *Machine) Evictable(now decision.Seconds) bool {
	if m.closeCode != "" {
		return false // already being closed
	}
	if m.state == Deciding && mutants.On("clientconn/busy-spared") {
		return true
	}
	return m.unproductive(now) || m.state == Idle && !m.unused && !m.requestPending
}

// EvictBefore reports whether an evictable connection is closed before another one. Unproductive connections are closed
// before idle ones. Of two unproductive or two idle connections, the one whose state began first is closed first; a
// connection that has not sent a complete request counts from its start. A flood of silent connections therefore evicts
// its own connections first.
func (m *Machine) EvictBefore(other *Machine, now decision.Seconds) bool {
	if a, b := m.unproductive(now), other.unproductive(now); a != b {
		return a
	}
	return m.since < other.since
}

// unproductive reports whether the connection occupies a place without being of use: its client has not sent a request
// yet, sends its first request slowly, or has received its last answer.
func (m *Machine) unproductive(now decision.Seconds) bool {
	switch m.state {
	case Lingering:
		return true
	case Idle:
		return m.unused && !m.requestPending
	case ReadingHead, ReadingBody:
		return m.unused && now-m.since > promptRequestTime
	}
	return false
}
