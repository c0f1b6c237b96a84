package faultnet

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxQueuedDatagrams is how many datagrams wait at an end that does not receive them; further ones are lost.
const maxQueuedDatagrams = 1024

// Memory is a network within one process, without sockets, for simulated time.
type Memory struct {
	Links *Links

	mu        sync.Mutex      // guards the fields below
	ends      map[string]*End // by address
	addresses int             // that were given out
}

// NewMemory returns a network without ends.
func NewMemory(l *Links) *Memory { return &Memory{Links: l, ends: map[string]*End{}} }

// End is one end of the network: a memberlist.NodeAwareTransport.
type End struct {
	network *Memory
	name    string
	addr    string
	packets chan *memberlist.Packet
	streams chan net.Conn
}

// Addr returns an address that no other end has.
func (m *Memory) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses++
	return fmt.Sprintf("10.%d.%d.%d:7946", m.addresses>>16&255, m.addresses>>8&255, m.addresses&255)
}

// Listen adds an end at an address, in place of one that was there.
func (m *Memory) Listen(name, addr string) *End {
	e := &End{
		network: m,
		name:    name,
		addr:    addr,
		packets: make(chan *memberlist.Packet, maxQueuedDatagrams),
		streams: make(chan net.Conn),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends[addr] = e
	return e
}

// end returns the end at an address; nil: there is none.
func (m *Memory) end(addr string) *End {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends[addr]
}

// FinalAdvertiseAddr returns the address that it is given.
func (e *End) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	return net.ParseIP(ip), port, nil
}

// WriteToAddress sends a datagram. It never fails: without an end at the address, or with a full queue there, the
// datagram is lost, as at a socket.
func (e *End) WriteToAddress(payload []byte, a memberlist.Address) (time.Time, error) {
	to := e.network.end(a.Addr)
	if to == nil {
		return time.Now(), nil
	}
	datagram := append([]byte(nil), payload...)
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(e.addr))
	for _, delay := range e.network.Links.Datagram(e.name, to.name, len(payload)) {
		time.AfterFunc(delay, func() {
			if to := e.network.end(a.Addr); to != nil {
				to.receive(&memberlist.Packet{Buf: datagram, From: from, Timestamp: time.Now()})
			}
		})
	}
	return time.Now(), nil
}

// receive queues a datagram, if the queue is not full.
func (e *End) receive(packet *memberlist.Packet) {
	select {
	case e.packets <- packet:
	default:
	}
}

// WriteTo is WriteToAddress for an address without a name.
func (e *End) WriteTo(payload []byte, addr string) (time.Time, error) {
	return e.WriteToAddress(payload, memberlist.Address{Addr: addr})
}

// DialAddressTimeout opens a stream, if the links carry in both directions within the timeout. Later faults do not
// affect it.
func (e *End) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	expired := time.After(timeout)
	to := e.network.end(a.Addr)
	if to == nil {
		return nil, fmt.Errorf("faultnet: nobody at %s", a.Addr)
	}
	links := e.network.Links
	if !await(links, e.name, to.name, 0, expired) || !await(links, to.name, e.name, 0, expired) {
		return nil, fmt.Errorf("faultnet: no connection to %s in %v", a.Addr, timeout)
	}
	here, there := net.Pipe()
	select {
	case to.streams <- there:
		return here, nil
	case <-expired:
		return nil, fmt.Errorf("faultnet: %s takes no connection", a.Addr)
	}
}

// DialTimeout is DialAddressTimeout for an address without a name.
func (e *End) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return e.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// PacketCh returns the channel of the datagrams that arrive.
func (e *End) PacketCh() <-chan *memberlist.Packet { return e.packets }

// StreamCh returns the channel of the streams that others open.
func (e *End) StreamCh() <-chan net.Conn { return e.streams }

// Shutdown removes the end, unless another has its address by now.
func (e *End) Shutdown() error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.ends[e.addr] == e {
		delete(e.network.ends, e.addr)
	}
	return nil
}
