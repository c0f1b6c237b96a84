package replication

import (
	"sync"
	"time"

	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/mutants"
)

const (
	// heartbeatResumeTime is for how long after a connection has ended its subscriber may go on with the heartbeats
	// that it had not been sent. Later, they are out of date.
	heartbeatResumeTime = transport.IdleTimeout
	maxHeartbeatResumes = 64 // subscribers that are remembered
)

// heartbeatResumes remembers up to where control nodes had been sent heartbeats when their subscriptions ended.
// Heartbeats go in batches: without it, a subscriber whose connection is reset more often than that would get none, and
// would take servers for silent that call another node. The zero value is empty.
type heartbeatResumes struct {
	mu        sync.Mutex // guards positions
	positions map[string]heartbeatPosition
}

// heartbeatPosition is where a subscription ended.
type heartbeatPosition struct {
	number  uint64 // heartbeats up to this one have arrived, or are out of date
	endedAt time.Time
}

// resumeHeartbeats returns the number behind which a new subscription of a node is sent heartbeats: those that the one
// before lacked, if that has just ended, or else none that were received before.
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

// recordHeartbeats remembers where a subscription has ended. Its last batch may not have arrived: it is sent again,
// which changes nothing where it has.
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
	r.positions[f.hello.Node] = heartbeatPosition{number: f.batchBegan, endedAt: time.Now()}
}
