package loopback

import (
	"fmt"
	"sync"

	"mulleinrouter/internal/emulator/invariants"
)

// recorder collects what is seen, from all goroutines.
type recorder struct {
	mu       sync.Mutex
	log      invariants.Log
	attempts []*invariants.Attempt
	arrivals []*invariants.Arrival
	versions []*invariants.Version
	faults   []*invariants.Fault
	notes    []string
}

// update runs what changes an entry.
func (b *recorder) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (b *recorder) arrival(a *invariants.Arrival) {
	b.update(func() { b.arrivals = append(b.arrivals, a) })
}
func (b *recorder) attempt(t *invariants.Attempt) {
	b.update(func() { b.attempts = append(b.attempts, t) })
}
func (b *recorder) version(v *invariants.Version) {
	b.update(func() { b.versions = append(b.versions, v) })
}
func (b *recorder) departure(l invariants.Departure) {
	b.update(func() { b.log.Departures = append(b.log.Departures, l) })
}
func (b *recorder) configRead(r invariants.ConfigRead) {
	b.update(func() { b.log.ConfigReads = append(b.log.ConfigReads, r) })
}
func (b *recorder) processStart(machine string, at invariants.Seconds) {
	b.update(func() {
		b.log.ProcessStarts = append(b.log.ProcessStarts, invariants.ProcessStart{Machine: machine, At: at})
	})
}
func (b *recorder) termination(machine string, at invariants.Seconds) {
	b.update(func() {
		b.log.Terminations = append(b.log.Terminations, invariants.Termination{Machine: machine, At: at})
	})
}

// beginFault notes beginFault that lasts until over is called, for ever if it is not.
func (b *recorder) beginFault(t invariants.Fault) (over func(invariants.Seconds)) {
	t.To = invariants.Never
	b.update(func() { b.faults = append(b.faults, &t) })
	return func(at invariants.Seconds) { b.update(func() { t.To = at }) }
}

// exit notes that a process ended by itself. RULES bears that in some times of trouble; here it never passes.
func (b *recorder) exit(process string, at invariants.Seconds, text string) {
	b.update(func() { b.log.Exits = append(b.log.Exits, invariants.Exit{Process: process, At: at, Text: text}) })
}

func (b *recorder) notef(format string, args ...any) {
	b.update(func() { b.notes = append(b.notes, fmt.Sprintf(format, args...)) })
}

// snapshot is a copy of all that is in the book.
func (b *recorder) snapshot() *invariants.Log {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.log
	for _, t := range b.attempts {
		l.Attempts = append(l.Attempts, *t)
	}
	for _, a := range b.arrivals {
		l.Arrivals = append(l.Arrivals, *a)
	}
	for _, v := range b.versions {
		l.Versions = append(l.Versions, *v)
	}
	for _, t := range b.faults {
		l.Faults = append(l.Faults, *t)
	}
	return &l
}
