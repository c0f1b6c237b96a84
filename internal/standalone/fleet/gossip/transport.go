package gossip

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxPacketBytes bounds the datagrams that are accepted. Members send at most 1,400 bytes.
const maxPacketBytes = 4 << 10

// packetQueueLength is how many datagrams wait for memberlist.
const packetQueueLength = 64

// meter counts the traffic. It outlives the instances of the protocol.
type meter struct {
	packetsIn  atomic.Int64
	packetsOut atomic.Int64
	bytesIn    atomic.Int64
	bytesOut   atomic.Int64
	rejected   atomic.Int64 // packets and streams of another fleet or key, too long or invalid
}

// transport is the network side of one instance of the protocol. It counts the traffic, and sends nothing
// once the process was suspended: what timers concluded meanwhile must not reach others.
type transport struct {
	memberlist.NodeAwareTransport
	meter    *meter
	closed   func() bool
	packets  chan *memberlist.Packet
	streams  chan net.Conn
	stopping chan struct{}  // closed as Shutdown begins: what arrives is discarded from then on
	done     chan struct{}  // closed once the inner transport is down, which ends forward
	tasks    sync.WaitGroup // forward; Shutdown waits for it
	stopOnce sync.Once
	stopErr  error // of the inner transport's Shutdown
}

// wrapTransport returns a transport on top of another one. Shutdown ends both.
func wrapTransport(inner memberlist.NodeAwareTransport, m *meter, closed func() bool) *transport {
	t := &transport{
		NodeAwareTransport: inner,
		meter:              m,
		closed:             closed,
		packets:            make(chan *memberlist.Packet, packetQueueLength),
		streams:            make(chan net.Conn),
		stopping:           make(chan struct{}),
		done:               make(chan struct{}),
	}
	t.tasks.Go(t.forward)
	return t
}

// forward passes on what the inner transport receives, until that is down.
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
		return time.Now(), nil // as if it were lost on the network
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
	return &stream{Conn: c, transport: t}, nil
}

// Shutdown implements memberlist.Transport. The inner transport waits for its listeners, which may hold a packet or a
// stream that they have received, so forward takes these until it is down.
func (t *transport) Shutdown() error {
	t.stopOnce.Do(func() {
		close(t.stopping)
		t.stopErr = t.NodeAwareTransport.Shutdown()
		close(t.done)
		t.tasks.Wait()
	})
	return t.stopErr
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
