package handover

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

const (
	// HeartbeatInterval is how often a process reads the others' records and writes its own, in seconds.
	HeartbeatInterval = 0.2
	// LeaseDuration is for how long a record counts after its heartbeat, in seconds. It must be well over
	// HeartbeatInterval, as heartbeats come late, and well under the duration of an upgrade.
	LeaseDuration = 1.5

	// leavingShare is what the leaving processes keep together for requests on their open connections.
	leavingShare = 0.2
)

// Record is what a process writes for the others.
type Record struct {
	Process     int64   `json:"process"` // number of the process, unique among those that run
	StartedAt   float64 `json:"born"`    // s
	HeartbeatAt float64 `json:"beat"`    // s, when the record was written
	Share       float64 `json:"part"`    // of the ingress, from 0 to 1
	Leaving     bool    `json:"leaving"` // the process accepts no new clients
}

// Member is one process of an ingress. Use New to create one.
type Member struct {
	own         Record
	initialized bool // the others' records were read at least once
}

// New returns a process that starts at a time. It has no share yet.
func New(process int64, now float64) *Member {
	return &Member{own: Record{Process: process, StartedAt: now, HeartbeatAt: now}}
}

// Leave sets that the process accepts no new clients from now on.
func (m *Member) Leave() { m.own.Leaving = true }

// Share returns the share of the ingress at a time. It is 0 once the lease has expired: the others have taken
// the share.
func (m *Member) Share(now float64) float64 {
	if !m.initialized || m.isExpired(now) {
		return 0
	}
	return m.own.Share
}

func (m *Member) isExpired(now float64) bool { return now-m.own.HeartbeatAt > LeaseDuration }

// View is the outcome of a heartbeat.
type View struct {
	Own       Record  // has to be written before the share is used
	Alone     bool    // there is no other process
	Secondary bool    // there is an older process
	Newer     []int64 // processes to which knowledge is to be handed over
}

// Heartbeat applies the other processes' records. The share shrinks at once, and grows only into what the
// others leave free.
func (m *Member) Heartbeat(now float64, others []Record) (v View) {
	live := slices.DeleteFunc(slices.Clone(others), func(r Record) bool {
		// A heartbeat far in the future is from before the clock was set back: waiting for it would take too long.
		return r.Process == m.own.Process || now-r.HeartbeatAt > LeaseDuration || r.HeartbeatAt-now > LeaseDuration
	})
	if m.initialized && m.isExpired(now) && !mutants.On("handover/sleeper-keeps") {
		m.own.Share = 0 // the process was suspended, and the others divided its share
	}
	for _, r := range live {
		switch isNewer := r.isNewer(m.own); {
		case !isNewer:
			v.Secondary = true
		case !r.Leaving:
			v.Newer = append(v.Newer, r.Process)
		}
	}
	free := freeShare(live)
	if mutants.On("handover/grows-unseen") {
		free = 1
	}
	m.own.Share = min(targetShare(m.own, live), max(m.own.Share, free))
	m.own.HeartbeatAt = now
	m.initialized = true
	v.Own = m.own
	v.Alone = len(live) == 0
	return v
}

// isNewer reports whether the record is of a process that started later than another one.
func (r Record) isNewer(than Record) bool {
	return r.StartedAt > than.StartedAt || r.StartedAt == than.StartedAt && r.Process > than.Process
}

// freeShare is what other processes leave of the ingress.
func freeShare(others []Record) float64 {
	taken := 0.0
	for _, r := range others {
		taken += max(0, min(1, r.Share))
	}
	return max(0, 1-taken)
}

// targetShare is the share that a process should have beside others: leaving processes have leavingShare together, the
// staying ones the rest.
func targetShare(own Record, others []Record) float64 {
	staying, leaving := 0, 0
	for _, r := range append([]Record{own}, others...) {
		if r.Leaving {
			leaving++
		} else {
			staying++
		}
	}
	switch {
	case staying == 0: // no process takes over the clients
		return 1 / float64(leaving)
	case own.Leaving:
		return leavingShare / float64(leaving)
	case leaving > 0:
		return (1 - leavingShare) / float64(staying)
	default:
		return 1 / float64(staying)
	}
}
