// Package handover decides how much of one ingress each of its processes is while a newer one starts beside an older one: of
// quotas, ceilings and the bounds at quote servers, what both take together is what one ingress may. It does no I/O and
// reads no clock; times are in seconds on a clock that the processes share.
package handover

import "slices"

const (
	// Beat is how often a process looks at the others' records and writes its own, in seconds.
	Beat = 0.2
	// Lease is for how long a record counts after its last beat, in seconds. It must be well over a Beat that comes late, and
	// well under what an upgrade may take.
	Lease = 1.5

	// leavingPart is what a process that leaves keeps, for the requests that still come on the connections that it has.
	leavingPart = 0.2
)

// Record is what a process tells the others of itself.
type Record struct {
	Process int64   `json:"process"` // its number, which no other live one has
	Born    float64 `json:"born"`
	Beat    float64 `json:"beat"`    // when it was written
	Part    float64 `json:"part"`    // of the ingress that it takes itself to be, 0 to 1
	Leaving bool    `json:"leaving"` // it takes no new clients
}

// Member is one process among those of its ingress. Its zero value is none; New makes one.
type Member struct {
	own  Record
	seen bool // the others' records have been read at least once
}

// New returns a process that has just begun. It has no part yet.
func New(process int64, now float64) *Member {
	return &Member{own: Record{Process: process, Born: now, Beat: now}}
}

// Leave tells that it takes no new clients from now on.
func (m *Member) Leave() { m.own.Leaving = true }

// Part is how much of the ingress it is at a time. A process that has not beaten for a lease has none: the others took it
// for gone.
func (m *Member) Part(now float64) float64 {
	if !m.seen || now-m.own.Beat > Lease {
		return 0
	}
	return m.own.Part
}

// View is what a beat finds.
type View struct {
	Own     Record  // to be written before the part is acted upon
	Alone   bool    // there is no other process
	Junior  bool    // there is an older one
	Younger []int64 // those to which what was learned is to be handed over
}

// Turn is a beat: it takes in the others' records. A part shrinks at once and grows only to what the others leave free.
func (m *Member) Turn(now float64, others []Record) (v View) {
	live := slices.DeleteFunc(slices.Clone(others), func(r Record) bool {
		// A beat far ahead is of a clock that has gone back since: nobody is to wait for it.
		return r.Process == m.own.Process || now-r.Beat > Lease || r.Beat-now > Lease
	})
	if m.seen && now-m.own.Beat > Lease && !mutated("sleeper-keeps") {
		m.own.Part = 0 // it was stopped: the others shared its part among them
	}
	staying, leaving, taken := 1, 0, 0.0
	if m.own.Leaving {
		staying, leaving = 0, 1
	}
	for _, r := range live {
		taken += max(0, min(1, r.Part))
		if r.Leaving {
			leaving++
		} else {
			staying++
		}
		switch younger := r.Born > m.own.Born || r.Born == m.own.Born && r.Process > m.own.Process; {
		case !younger:
			v.Junior = true
		case !r.Leaving:
			v.Younger = append(v.Younger, r.Process)
		}
	}
	aim := leavingPart / float64(max(1, leaving))
	switch {
	case staying == 0: // nobody takes its clients over
		aim = 1 / float64(max(1, leaving))
	case !m.own.Leaving && leaving > 0:
		aim = (1 - leavingPart) / float64(staying)
	case !m.own.Leaving:
		aim = 1 / float64(staying)
	}
	free := max(0, 1-taken)
	if mutated("grows-unseen") {
		free = 1
	}
	m.own.Part = min(aim, max(m.own.Part, free))
	m.own.Beat, m.seen = now, true
	v.Own, v.Alone = m.own, len(live) == 0
	return v
}
