package loopback

import (
	"fmt"
	"sync"

	"mulleinrouter/internal/emulator/invariants"
)

// ledger collects what is seen, from all goroutines.
type ledger struct {
	mu       sync.Mutex
	log      invariants.Log
	tries    []*invariants.Try
	arrivals []*invariants.Arrival
	versions []*invariants.Version
	troubles []*invariants.Trouble
	notes    []string
}

// do runs what changes an entry.
func (b *ledger) do(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (b *ledger) arrival(a *invariants.Arrival) { b.do(func() { b.arrivals = append(b.arrivals, a) }) }
func (b *ledger) try(t *invariants.Try)         { b.do(func() { b.tries = append(b.tries, t) }) }
func (b *ledger) version(v *invariants.Version) { b.do(func() { b.versions = append(b.versions, v) }) }
func (b *ledger) leave(l invariants.Leave)      { b.do(func() { b.log.Leaves = append(b.log.Leaves, l) }) }
func (b *ledger) read(r invariants.Read)        { b.do(func() { b.log.Reads = append(b.log.Reads, r) }) }
func (b *ledger) life(machine string, at invariants.Seconds) {
	b.do(func() { b.log.Lives = append(b.log.Lives, invariants.Life{Machine: machine, At: at}) })
}
func (b *ledger) order(machine string, at invariants.Seconds) {
	b.do(func() { b.log.Orders = append(b.log.Orders, invariants.Order{Machine: machine, At: at}) })
}

// trouble notes trouble that lasts until over is called, for ever if it is not.
func (b *ledger) trouble(t invariants.Trouble) (over func(invariants.Seconds)) {
	t.To = invariants.Never
	b.do(func() { b.troubles = append(b.troubles, &t) })
	return func(at invariants.Seconds) { b.do(func() { t.To = at }) }
}

// ownEnd notes that a process ended by itself. RULES bears that in some times of trouble; here it never passes.
func (b *ledger) ownEnd(process string, at invariants.Seconds, text string) {
	b.do(func() { b.log.Stuck = append(b.log.Stuck, invariants.Own{Process: process, At: at, Text: text}) })
}

func (b *ledger) note(format string, args ...any) {
	b.do(func() { b.notes = append(b.notes, fmt.Sprintf(format, args...)) })
}

// whole is a copy of all that is in the book.
func (b *ledger) whole() *invariants.Log {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.log
	for _, t := range b.tries {
		l.Tries = append(l.Tries, *t)
	}
	for _, a := range b.arrivals {
		l.Arrivals = append(l.Arrivals, *a)
	}
	for _, v := range b.versions {
		l.Versions = append(l.Versions, *v)
	}
	for _, t := range b.troubles {
		l.Troubles = append(l.Troubles, *t)
	}
	return &l
}
