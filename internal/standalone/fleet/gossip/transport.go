package gossip

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxPacketBytes is the longest datagram that is looked at, in bytes: members send 1,400 at the most.
const maxPacketBytes = 4 << 10

var errTransportClosed = errors.New("this process stood still: what it would say is old")

// meter counts what crosses the network. It outlives the instances of the protocol.
type meter struct {
	packetsIn, packetsOut, bytesIn, bytesOut atomic.Int64
	rejected                                 atomic.Int64 // packets and streams of another fleet, another key, too long or rubbish
}

// transport is the network's side of one instance of the protocol: it opens streams from the address it listens at, counts,
// and is shut at once where the process has stood still, so that nothing it concluded from others' silence gets out.
type transport struct {
	memberlist.NodeAwareTransport
	meter    *meter
	closed   func() bool
	packets  chan *memberlist.Packet
	streams  chan net.Conn
	done     chan struct{}
	stopOnce sync.Once
}

// wrapTransport begins to pass on what a transport takes in.
func wrapTransport(inner memberlist.NodeAwareTransport, m *meter, shut func() bool) *transport {
	t := &transport{NodeAwareTransport: inner, meter: m, closed: shut, packets: make(chan *memberlist.Packet, 64), streams: make(chan net.Conn), done: make(chan struct{})}
	go t.forward()
	return t
}

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
			case <-t.done:
				return
			}
		case c := <-t.NodeAwareTransport.StreamCh():
			select {
			case t.streams <- &stream{c, t}:
			case <-t.done:
				c.Close()
				return
			}
		case <-t.done:
			return
		}
	}
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if t.closed() {
		return time.Now(), nil // as if it were lost
	}
	t.meter.packetsOut.Add(1)
	t.meter.bytesOut.Add(int64(len(b)))
	return t.NodeAwareTransport.WriteToAddress(b, a)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if t.closed() {
		return nil, errTransportClosed
	}
	c, err := t.NodeAwareTransport.DialAddressTimeout(a, timeout)
	if err != nil {
		return nil, err
	}
	return &stream{c, t}, nil
}

func (t *transport) Shutdown() error {
	t.stopOnce.Do(func() { close(t.done) })
	return t.NodeAwareTransport.Shutdown()
}

// stream is a connection between members.
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

// sockets is the transport on real ones, with streams that leave from the address it listens at: that tells who calls.
type sockets struct {
	*memberlist.NetTransport
	localAddr net.TCPAddr
}

// listen binds an address for packets and streams. Port 0 draws one that both have.
func listen(addr string, logger *log.Logger) (*sockets, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("gossip: %q is no port", portText)
	}
	tries := 1
	if port == 0 {
		tries = 10 // the port drawn for streams may be taken for packets
	}
	for range tries {
		var nt *memberlist.NetTransport
		if nt, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger}); err == nil {
			return &sockets{nt, net.TCPAddr{IP: net.ParseIP(host)}}, nil
		}
	}
	return nil, fmt.Errorf("gossip: %w", err)
}

func (s *sockets) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (s *sockets) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !s.localAddr.IP.IsUnspecified() {
		d.LocalAddr = &s.localAddr
	}
	return d.Dial("tcp", a.Addr)
}

// boundAddr is the address that it listens at.
func (s *sockets) boundAddr(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.GetAutoBindPort()))
}

// udpAddr is an address that words may be sent to: numbers, for names would have to be looked up.
func udpAddr(addr string) (net.Addr, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return net.UDPAddrFromAddrPort(a), nil
}

var _ io.Writer = (*protocolLog)(nil)
