package electorate

import (
	"sync"
	"time"

	"mulleinrouter/internal/cluster/consensus"
)

// firstSeen records when this process first saw the present electorate, and each of its voters. It is safe for
// concurrent use.
type firstSeen struct {
	mu           sync.Mutex // guards the fields below
	since        uint64     // epoch since which the electorate is in force
	electorateAt time.Time  // zero until an electorate is observed
	voterAt      map[consensus.Voter]time.Time
}

// observe records an electorate that is in force, and returns the time at which this process first saw it. What is
// observed first counts from the start of the process. An unknown electorate is not recorded.
func (f *firstSeen) observe(e consensus.Electorate, started time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.Known() {
		return started
	}
	if !f.electorateAt.IsZero() && f.since == e.Since {
		return f.electorateAt
	}
	now := time.Now()
	if f.electorateAt.IsZero() {
		now = started
	}
	voterAt := make(map[consensus.Voter]time.Time, len(e.Voters))
	for _, voter := range e.Voters {
		voterAt[voter] = now
		if at, ok := f.voterAt[voter]; ok {
			voterAt[voter] = at
		}
	}
	f.since, f.electorateAt, f.voterAt = e.Since, now, voterAt
	return now
}

// voterAge returns the time since this process first saw a voter in an electorate without interruption, or 0 if it is
// not in the present one.
func (f *firstSeen) voterAge(voter consensus.Voter) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.voterAt[voter]; ok {
		return time.Since(at)
	}
	return 0
}
