package handover

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

const (
	// HeartbeatInterval is the time between two heartbeats in seconds. At each, a process reads the others' records and
	// writes its own.
	HeartbeatInterval = 0.2
	// LeaseDuration is how long a record is valid after its heartbeat, in seconds. It must be well above
	// HeartbeatInterval, because heartbeats may be late, and well below the duration of an upgrade, because the
	// share of a killed process stays unused until its lease expires.
	LeaseDuration = 1.5

	// leavingShare is the share that all leaving processes keep together for requests on their open connections.
	leavingShare = 0.2
)

// Record is the state that a process publishes to the others.
type Record struct {
	Process     int64   `json:"process"` // number of the process, unique among the running ones
	StartedAt   float64 `json:"born"`    // start of the process, Unix time in seconds
	HeartbeatAt float64 `json:"beat"`    // when the record was written, Unix time in seconds
	Share       float64 `json:"part"`    // share of the ingress, from 0 to 1
	Leaving     bool    `json:"leaving"` // the process accepts no new clients
}

// Member is one process of an ingress. Use New to create one.
type Member struct {
	own         Record
	initialized bool // the others' records have been read at least once
}

// New returns a process that starts at the time now. It has no share yet.
func New(process int64, now float64) *Member {
	return &Member{own: Record{Process: process, StartedAt: now, HeartbeatAt: now}}
}

// Leave marks the process as leaving: it accepts no new clients from now on.
func (m *Member) Leave() { m.own.Leaving = true }

// Share returns the process's share of the ingress at the time now. It is 0 once the lease has expired, because the
// others may have taken over the share.
func (m *Member) Share(now float64) float64 {
	if !m.initialized || m.isExpired(now) {
		return 0
	}
	return m.own.Share
}

func (m *Member) isExpired(now float64) bool { return now-m.own.HeartbeatAt > LeaseDuration }

// View is the outcome of a heartbeat.
type View struct {
	Own       Record  // must be written before the share is used, so that the others see it
	Alone     bool    // no other process is live
	Secondary bool    // an older process is live
	Newer     []int64 // newer processes that are not leaving; this process hands its learned state over to them
}

// Heartbeat applies the other processes' records. The share shrinks at once, but grows only up to what the others'
// records leave free, so that the shares never add up to more than 1.
func (m *Member) Heartbeat(now float64, others []Record) (v View) {
	live := slices.DeleteFunc(slices.Clone(others), func(r Record) bool {
		// A heartbeat far in the future was written before the clock was set back. Such a record would stay valid until
		// the clock reaches that time, which may take too long, so it is ignored.
		return r.Process == m.own.Process || now-r.HeartbeatAt > LeaseDuration || r.HeartbeatAt-now > LeaseDuration
	})
	if m.initialized && m.isExpired(now) && !mutants.On("handover/sleeper-keeps") {
		m.own.Share = 0 // the process was suspended, and the others have taken over its share
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

// isNewer reports whether the record's process started later than another one. The process number breaks ties.
func (r Record) isNewer(than Record) bool {
	return r.StartedAt > than.StartedAt || r.StartedAt == than.StartedAt && r.Process > than.Process
}

// freeShare returns the share of the ingress that no other process has.
func freeShare(others []Record) float64 {
	taken := 0.0
	for _, r := range others {
		taken += max(0, min(1, r.Share))
	}
	return max(0, 1-taken)
}

// targetShare returns the share that a process should have, given the others' records. Leaving processes divide
// leavingShare evenly, and staying ones divide the rest.
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
