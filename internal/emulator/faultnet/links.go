package faultnet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Protocol is the kind of traffic that a fault applies to.
type Protocol uint8

// The protocols. AllProtocols is valid only as an argument of Links.Set.
const (
	Datagrams Protocol = iota
	Streams
	AllProtocols
)

// AnyNode is a wildcard that matches every node as an end of a link.
const AnyNode = "*"

const (
	// retransmissionDelay is the additional delay of a stream's chunk for each simulated retransmission.
	retransmissionDelay = 200 * time.Millisecond
	// maxRetransmissions limits the retransmissions of one chunk, so that a loss of 1 does not delay it forever.
	maxRetransmissions = 8
	// reorderDelay is the additional delay of a datagram that is to be overtaken by later ones. Fault.Reorder delays
	// chunks for the same time, but they stay in order.
	reorderDelay = 30 * time.Millisecond
)

// link is the traffic of one protocol in one direction between two nodes.
type link struct {
	from, to string
	protocol Protocol
}

// Links is the table of links and their faults. It is safe for concurrent use.
type Links struct {
	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand
	faults  map[link]Fault
	changed chan struct{} // closed at the next change of faults, and replaced
	counts  map[link]*Count
}

// Count contains the traffic counters of a link: the datagrams and chunks sent, the datagrams lost, and the bytes sent.
type Count struct{ Sent, Lost, Bytes int64 }

// NewLinks returns a table without faults. The seed determines the random losses and delays.
func NewLinks(seed uint64) *Links {
	return &Links{
		rng:     rand.New(rand.NewPCG(seed, 3)),
		faults:  map[link]Fault{},
		changed: make(chan struct{}),
		counts:  map[link]*Count{},
	}
}

// Set replaces the fault of a link; the zero Fault removes it. from and to may be AnyNode. The fault of a more specific
// link takes precedence.
func (l *Links) Set(from, to string, protocol Protocol, fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range []Protocol{Datagrams, Streams} {
		if protocol != one && protocol != AllProtocols {
			continue
		}
		if fault == (Fault{}) {
			delete(l.faults, link{from, to, one})
		} else {
			l.faults[link{from, to, one}] = fault
		}
	}
	l.notifyChange()
}

// Heal removes all faults.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
	l.notifyChange()
}

// notifyChange wakes up the streams that wait for a cut link. The caller must hold the mutex.
func (l *Links) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Total returns the sum of the counters of all links.
func (l *Links) Total() (total Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.counts {
		total.Sent += c.Sent
		total.Lost += c.Lost
		total.Bytes += c.Bytes
	}
	return total
}

// Datagram counts a datagram that is sent over a link, and returns the delay of each copy that arrives. The result is
// empty if the datagram is lost.
func (l *Links) Datagram(from, to string, size int) (copies []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := l.fault(link{from, to, Datagrams})
	count := l.count(link{from, to, Datagrams}, size)
	if fault.losesAll(size) || l.rng.Float64() < fault.Loss {
		count.Lost++
		return nil
	}
	copies = append(copies, l.delay(fault))
	if fault.Duplicate > 0 && l.rng.Float64() < fault.Duplicate {
		copies = append(copies, l.delay(fault))
	}
	return copies
}

// Transfer counts a chunk of a stream that is sent over a link, and returns its delay. If the link is cut, it counts
// nothing and returns a channel, which is closed when the caller should try again.
func (l *Links) Transfer(from, to string, size int) (delay time.Duration, retry <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := l.fault(link{from, to, Streams})
	if fault.Cut {
		return 0, l.changed
	}
	l.count(link{from, to, Streams}, size)
	delay = l.delay(fault)
	for n := 0; n < maxRetransmissions && l.rng.Float64() < fault.Loss; n++ {
		delay += retransmissionDelay
	}
	return delay, nil
}

// fault returns the fault of a link. A fault for both nodes takes precedence over one for the sender alone, followed by
// one for the receiver alone and one for any nodes. The caller must hold the mutex.
func (l *Links) fault(of link) Fault {
	for _, name := range []link{
		of,
		{of.from, AnyNode, of.protocol},
		{AnyNode, of.to, of.protocol},
		{AnyNode, AnyNode, of.protocol},
	} {
		if f, ok := l.faults[name]; ok {
			return f
		}
	}
	return Fault{}
}

// delay draws the delay of one datagram or chunk. The caller must hold the mutex.
func (l *Links) delay(f Fault) time.Duration {
	delay := f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(l.rng.Int64N(int64(f.Jitter)))
	}
	if f.Reorder > 0 && l.rng.Float64() < f.Reorder {
		delay += reorderDelay
	}
	return delay
}

// count counts a datagram or chunk, and returns the link's counters. The caller must hold the mutex.
func (l *Links) count(of link, size int) *Count {
	if l.counts[of] == nil {
		l.counts[of] = &Count{}
	}
	count := l.counts[of]
	count.Sent++
	count.Bytes += int64(size)
	return count
}

// await transfers a chunk and returns true after its delay. While the link is cut, it waits. It returns false as soon
// as stop delivers a value or is closed. A chunk of size 0 represents the opening of a stream.
func await[T any](l *Links, from, to string, size int, stop <-chan T) bool {
	for {
		delay, retry := l.Transfer(from, to, size)
		if retry == nil && delay == 0 {
			return true
		}
		var arrived <-chan time.Time
		if retry == nil {
			arrived = time.After(delay)
		}
		select {
		case <-arrived:
			return true
		case <-retry:
		case <-stop:
			return false
		}
	}
}
