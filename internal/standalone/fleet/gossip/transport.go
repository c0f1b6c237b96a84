package gossip

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxPacketBytes bounds the size of datagrams that are accepted. Members send at most 1,400 bytes.
const maxPacketBytes = 4 << 10

// packetQueueLength is the number of received datagrams that are queued for memberlist. While the queue is full, no
// further datagrams are read.
const packetQueueLength = 64

// meter counts the traffic of all instances of the protocol.
type meter struct {
	packetsIn  atomic.Int64
	packetsOut atomic.Int64
	bytesIn    atomic.Int64
	bytesOut   atomic.Int64
	rejected   atomic.Int64 // packets, streams and messages of another fleet or key, oversized or invalid ones
}

// transport is the network transport of one instance of the protocol. It counts the traffic. After the process was
// suspended it sends nothing more, because what the protocol concludes from timers that expired during the suspension
// must not reach other members.
type transport struct {
	memberlist.NodeAwareTransport
	meter    *meter
	closed   func() bool
	packets  chan *memberlist.Packet
	streams  chan net.Conn
	stopping chan struct{}  // closed when Shutdown begins; packets and streams are discarded from then on
	done     chan struct{}  // closed once the inner transport is down, which ends forward
	tasks    sync.WaitGroup // goroutine of forward; Shutdown waits for it
	stopOnce sync.Once
	stopErr  error // result of the inner transport's Shutdown

	mu      sync.Mutex           // guards the fields below
	dialled map[*stream]struct{} // open streams that this side dialled; nil: Shutdown has closed them
}

// wrapTransport returns a transport on top of another one. Its Shutdown shuts down both.
func wrapTransport(inner memberlist.NodeAwareTransport, m *meter, closed func() bool) *transport {
	t := &transport{
		NodeAwareTransport: inner,
		meter:              m,
		closed:             closed,
		packets:            make(chan *memberlist.Packet, packetQueueLength),
		streams:            make(chan net.Conn),
		stopping:           make(chan struct{}),
		done:               make(chan struct{}),
		dialled:            map[*stream]struct{}{},
	}
	t.tasks.Go(t.forward)
	return t
}

// forward forwards the packets and streams that the inner transport receives, until Shutdown has shut that down.
func (t *transport) forward() {
	for {
		select {
		case p := <-t.NodeAwareTransport.PacketCh():
			t.meter.packetsIn.Add(1)
			t.meter.bytesIn.Add(int64(len(p.Buf)))
			if len(p.Buf) > maxPacketBytes {
				t.meter.rejected.Add(1)
				continue
			}
			select {
			case t.packets <- p:
			case <-t.stopping:
			}
		case c := <-t.NodeAwareTransport.StreamCh():
			select {
			case t.streams <- &stream{Conn: c, transport: t}:
			case <-t.stopping:
				c.Close()
			}
		case <-t.done:
			return
		}
	}
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if t.closed() {
		return time.Now(), nil // drop the packet, as a network may do
	}
	t.meter.packetsOut.Add(1)
	t.meter.bytesOut.Add(int64(len(b)))
	return t.NodeAwareTransport.WriteToAddress(b, a)
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if t.closed() {
		return nil, errTransportClosed
	}
	c, err := t.NodeAwareTransport.DialAddressTimeout(a, timeout)
	if err != nil {
		return nil, err
	}
	s := &stream{Conn: c, transport: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dialled == nil {
		c.Close()
		return nil, errTransportClosed
	}
	t.dialled[s] = struct{}{}
	return s, nil
}

// Shutdown implements memberlist.Transport. It closes the streams that this side dialled, which ends the calls that
// wait for them. The inner transport's Shutdown waits for its listeners, which may block on passing on a packet or
// stream that they have received, so forward keeps receiving until the inner transport is down.
func (t *transport) Shutdown() error {
	t.stopOnce.Do(func() {
		close(t.stopping)
		t.closeDialled()
		t.stopErr = t.NodeAwareTransport.Shutdown()
		close(t.done)
		t.tasks.Wait()
	})
	return t.stopErr
}

// closeDialled closes the streams that this side dialled, and makes DialAddressTimeout close later ones at once.
func (t *transport) closeDialled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range t.dialled {
		s.Conn.Close()
	}
	t.dialled = nil
}

// stream is a connection between members whose bytes are counted.
type stream struct {
	net.Conn
	transport *transport
}

func (s *stream) Write(b []byte) (int, error) {
	if s.transport.closed() {
		return 0, errTransportClosed
	}
	s.transport.meter.bytesOut.Add(int64(len(b)))
	return s.Conn.Write(b)
}

func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.transport.meter.bytesIn.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (s *stream) Close() error {
	s.transport.mu.Lock()
	delete(s.transport.dialled, s)
	s.transport.mu.Unlock()
	return s.Conn.Close()
}
