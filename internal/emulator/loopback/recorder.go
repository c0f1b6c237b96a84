package loopback

import (
	"fmt"
	"slices"
	"sync"

	"mulleinrouter/internal/emulator/invariants"
)

// recorder collects the observations of all goroutines. Entries may be changed until the run is over, but only while
// holding the recorder's lock (see update).
type recorder struct {
	mu       sync.Mutex // guards the fields below and the entries that they point to
	log      invariants.Log
	attempts []*invariants.Attempt
	arrivals []*invariants.Arrival
	versions []*invariants.Version
	faults   []*invariants.Fault
	notes    []string // lines of text for the report

	discarding bool // add drops new entries, so that a cluster for interactive use does not accumulate them
}

// update calls a function that changes entries, while holding the lock.
func (r *recorder) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// add calls a function that adds an entry, while holding the lock. It does nothing after discard was called.
func (r *recorder) add(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.discarding {
		change()
	}
}

// discard makes the recorder drop the entries that are frequent or unneeded in interactive use from now on: attempts,
// arrivals, process starts, exits and notes.
func (r *recorder) discard() { r.update(func() { r.discarding = true }) }

func (r *recorder) arrival(a *invariants.Arrival) {
	r.add(func() { r.arrivals = append(r.arrivals, a) })
}

func (r *recorder) attempt(t *invariants.Attempt) {
	r.add(func() { r.attempts = append(r.attempts, t) })
}

func (r *recorder) version(v *invariants.Version) {
	r.update(func() { r.versions = append(r.versions, v) })
}

func (r *recorder) departure(d invariants.Departure) {
	r.update(func() { r.log.Departures = append(r.log.Departures, d) })
}

func (r *recorder) configRead(read invariants.ConfigRead) {
	r.update(func() { r.log.ConfigReads = append(r.log.ConfigReads, read) })
}

func (r *recorder) partition(p invariants.Partition) {
	r.update(func() { r.log.Partitions = append(r.log.Partitions, p) })
}

func (r *recorder) controlAnswer(a invariants.ControlAnswer) {
	r.update(func() { r.log.ControlAnswers = append(r.log.ControlAnswers, a) })
}

func (r *recorder) processStart(machine string, at invariants.Seconds) {
	start := invariants.ProcessStart{Machine: machine, At: at}
	r.add(func() { r.log.ProcessStarts = append(r.log.ProcessStarts, start) })
}

func (r *recorder) termination(machine string, at invariants.Seconds) {
	termination := invariants.Termination{Machine: machine, At: at}
	r.update(func() { r.log.Terminations = append(r.log.Terminations, termination) })
}

// beginFault records a fault that lasts until end is called. If end is never called, the fault lasts forever.
func (r *recorder) beginFault(f invariants.Fault) (end func(invariants.Seconds)) {
	f.To = invariants.Never
	r.update(func() { r.faults = append(r.faults, &f) })
	return func(at invariants.Seconds) { r.update(func() { f.To = at }) }
}

// exit records that a process ended by itself. The operators' RULES.md allows this during some faults, but the emulator
// always reports it as a violation.
func (r *recorder) exit(process string, at invariants.Seconds, text string) {
	exit := invariants.Exit{Process: process, At: at, Text: text}
	r.add(func() { r.log.Exits = append(r.log.Exits, exit) })
}

// notef adds a note to the report.
func (r *recorder) notef(format string, args ...any) {
	r.add(func() { r.notes = append(r.notes, fmt.Sprintf(format, args...)) })
}

// allNotes returns a copy of the notes so far.
func (r *recorder) allNotes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notes)
}

// snapshot returns a copy of all entries.
func (r *recorder) snapshot() *invariants.Log {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log
	for _, t := range r.attempts {
		l.Attempts = append(l.Attempts, *t)
	}
	for _, a := range r.arrivals {
		l.Arrivals = append(l.Arrivals, *a)
	}
	for _, v := range r.versions {
		l.Versions = append(l.Versions, *v)
	}
	for _, f := range r.faults {
		l.Faults = append(l.Faults, *f)
	}
	return &l
}
