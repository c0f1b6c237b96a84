package replication

import (
	"sync"
	"time"

	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/mutants"
)

const (
	// heartbeatResumeTime is how long after the end of a connection a new subscription of the same node can resume the
	// heartbeats, with those that were not sent yet. Later, they are out of date.
	heartbeatResumeTime = transport.IdleTimeout
	maxHeartbeatResumes = 64 // recorded subscribers; a further one replaces all of them
)

// heartbeatResumes records up to which number heartbeats were sent to control nodes when their subscriptions ended.
// Heartbeats are sent in batches. Without the record, a subscriber whose connection is reset more often than a batch is
// sent would receive no heartbeats, and would consider servers silent that call another node. The zero value is empty.
type heartbeatResumes struct {
	mu        sync.Mutex // guards positions
	positions map[string]heartbeatPosition
}

// heartbeatPosition is the position in the heartbeats at which a subscription ended.
type heartbeatPosition struct {
	number  uint64 // a new subscription starts after this number
	endedAt time.Time
}

// resumeHeartbeats returns the number after which heartbeats are sent to a new subscription of a node. If the previous
// subscription has just ended, it continues from there. Otherwise the heartbeats received so far are skipped, at most
// maxHeartbeats of them.
func (s *Source) resumeHeartbeats(node string) (number uint64) {
	s.resumes.mu.Lock()
	position, found := s.resumes.positions[node]
	s.resumes.mu.Unlock()
	recent := found && time.Since(position.endedAt) <= heartbeatResumeTime
	if recent && !mutants.On("replication/heartbeats-not-resumed") {
		return position.number
	}
	_, number = s.Heartbeats(0)
	return number
}

// recordHeartbeats records where a subscription has ended. Its last update with heartbeats may not have arrived, so
// these will be sent again; heartbeats that arrive twice have no further effect.
func (f *feed) recordHeartbeats() {
	if !f.sendsHeartbeats {
		return
	}
	r := &f.source.resumes
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.positions[f.hello.Node]; !known && len(r.positions) >= maxHeartbeatResumes {
		clear(r.positions)
	}
	if r.positions == nil {
		r.positions = map[string]heartbeatPosition{}
	}
	r.positions[f.hello.Node] = heartbeatPosition{number: f.lastBatchStart, endedAt: time.Now()}
}
