// Package faultnet is a network that does wrong on purpose, by direction and by pair: a table of links and their faults
// (Links), a relay of datagrams and streams between processes on loopback (Relay), and the same in memory for fake time
// (Memory). Tests and rehearsals use it; nothing that serves does.
package faultnet

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is what a link does to what goes one way on it. The zero value does nothing.
type Fault struct {
	// part of the datagrams that is lost; of streams, part of the pieces that comes late (a retransmission)
	Loss    float64
	Delay   time.Duration // of all
	Jitter  time.Duration // more, evenly drawn
	Double  float64       // part of the datagrams that comes twice
	Reorder float64       // part of the datagrams that others pass
	Cut     bool          // nothing arrives; streams stay open and carry nothing
	Longest int           // longer datagrams are lost, as on a path with a smaller packet size; 0: all pass
}

// Validate tells which figure is out of range.
func (f Fault) Validate() error {
	for name, part := range map[string]float64{"loss": f.Loss, "double": f.Double, "reorder": f.Reorder} {
		if !(part >= 0 && part <= 1) {
			return fmt.Errorf("%s must be from 0 to 1", name)
		}
	}
	if f.Delay < 0 || f.Jitter < 0 || f.Longest < 0 {
		return fmt.Errorf("delay, jitter and longest must not be below zero")
	}
	return nil
}

// Proto is what a fault is about.
type Proto uint8

// The protocols. Both is only for Set.
const (
	Datagrams Proto = iota
	Streams
	Both
)

// Any stands for every end in a link's name.
const Any = "*"

const (
	retransmission = 200 * time.Millisecond // by which a lost piece of a stream comes late
	passed         = 30 * time.Millisecond  // by which a datagram is held so that others pass it
)

type link struct {
	from, to string
	proto    Proto
}

// Links is the table. It is safe for use by several goroutines.
type Links struct {
	mu      sync.Mutex
	rng     *rand.Rand
	faults  map[link]Fault
	changed chan struct{} // closed with the next change: streams that wait look again
	counts  map[link]*Count
}

// Count is what went over a link.
type Count struct{ Sent, Lost, Bytes int64 }

// NewLinks returns a table without faults. Chance comes from the seed.
func NewLinks(seed uint64) *Links {
	return &Links{
		rng:     rand.New(rand.NewPCG(seed, 3)),
		faults:  map[link]Fault{},
		changed: make(chan struct{}),
		counts:  map[link]*Count{},
	}
}

// Set gives a link its fault; the zero Fault heals it. from or to may be Any: a link of its own name wins over these.
func (l *Links) Set(from, to string, p Proto, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range []Proto{Datagrams, Streams} {
		if p != one && p != Both {
			continue
		}
		if f == (Fault{}) {
			delete(l.faults, link{from, to, one})
		} else {
			l.faults[link{from, to, one}] = f
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// fault is what holds for a link now.
func (l *Links) fault(from, to string, p Proto) Fault {
	for _, k := range []link{{from, to, p}, {from, Any, p}, {Any, to, p}, {Any, Any, p}} {
		if f, ok := l.faults[k]; ok {
			return f
		}
	}
	return Fault{}
}

// Datagram tells by how much each copy of one is held: none, and it is lost.
func (l *Links) Datagram(from, to string, size int) (copies []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.fault(from, to, Datagrams)
	c := l.count(from, to, Datagrams)
	c.Sent++
	c.Bytes += int64(size)
	if f.Cut || f.Longest > 0 && size > f.Longest || l.rng.Float64() < f.Loss {
		c.Lost++
		return nil
	}
	copies = append(copies, l.delayed(f))
	if f.Double > 0 && l.rng.Float64() < f.Double {
		copies = append(copies, l.delayed(f))
	}
	return copies
}

func (l *Links) delayed(f Fault) time.Duration {
	d := f.Delay
	if f.Jitter > 0 {
		d += time.Duration(l.rng.Int64N(int64(f.Jitter)))
	}
	if f.Reorder > 0 && l.rng.Float64() < f.Reorder {
		d += passed
	}
	return d
}

// Transfer tells by how much a piece of a stream is held. While the link is cut, wait is not nil: closed, it is asked
// again.
func (l *Links) Transfer(from, to string, size int) (delay time.Duration, wait <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.fault(from, to, Streams)
	if f.Cut {
		return 0, l.changed
	}
	c := l.count(from, to, Streams)
	c.Sent++
	c.Bytes += int64(size)
	delay = l.delayed(f)
	for n := 0; n < 8 && l.rng.Float64() < f.Loss; n++ {
		delay += retransmission
	}
	return delay, nil
}

func (l *Links) count(from, to string, p Proto) *Count {
	k := link{from, to, p}
	if l.counts[k] == nil {
		l.counts[k] = &Count{}
	}
	return l.counts[k]
}

// Total sums what went over all links.
func (l *Links) Total() (all Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.counts {
		all.Sent += c.Sent
		all.Lost += c.Lost
		all.Bytes += c.Bytes
	}
	return all
}

// Heal takes all faults away.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
	close(l.changed)
	l.changed = make(chan struct{})
}
