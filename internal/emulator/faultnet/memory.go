package faultnet

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Memory is a network within one process, for fake time: the same links, no sockets.
type Memory struct {
	Links *Links

	mu   sync.Mutex
	ends map[string]*End // by address
	next int
}

// NewMemory returns one without ends.
func NewMemory(l *Links) *Memory { return &Memory{Links: l, ends: map[string]*End{}} }

// End is one of it: a transport of the fleet's protocol.
type End struct {
	network *Memory
	name    string
	addr    string
	packets chan *memberlist.Packet
	streams chan net.Conn
}

// Addr draws an address that no other end has.
func (m *Memory) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	return fmt.Sprintf("10.%d.%d.%d:7946", m.next>>16&255, m.next>>8&255, m.next&255)
}

// Listen has an end at an address, in place of one that was there.
func (m *Memory) Listen(name, addr string) *End {
	e := &End{
		network: m,
		name:    name,
		addr:    addr,
		packets: make(chan *memberlist.Packet, 1024),
		streams: make(chan net.Conn),
	}
	m.mu.Lock()
	m.ends[addr] = e
	m.mu.Unlock()
	return e
}

func (m *Memory) end(addr string) *End {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends[addr]
}

// FinalAdvertiseAddr is what was asked for.
func (e *End) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	return net.ParseIP(ip), port, nil
}

// WriteToAddress sends a datagram. What a slow end does not take in time is lost, as at a socket.
func (e *End) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to := e.network.end(a.Addr)
	if to == nil {
		return time.Now(), nil
	}
	packet := append([]byte(nil), b...)
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(e.addr))
	for _, delay := range e.network.Links.Datagram(e.name, to.name, len(b)) {
		time.AfterFunc(delay, func() {
			if to := e.network.end(a.Addr); to != nil {
				select {
				case to.packets <- &memberlist.Packet{Buf: packet, From: from, Timestamp: time.Now()}:
				default:
				}
			}
		})
	}
	return time.Now(), nil
}

// DialAddressTimeout opens a stream. It opens where both ways carry; what a way does later does not end it.
func (e *End) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	late := time.After(timeout)
	to := e.network.end(a.Addr)
	if to == nil {
		return nil, fmt.Errorf("faultnet: nobody at %s", a.Addr)
	}
	for _, way := range [][2]string{{e.name, to.name}, {to.name, e.name}} {
		for open := false; !open; {
			delay, wait := e.network.Links.Transfer(way[0], way[1], 0)
			if open = wait == nil; open {
				wait = make(chan struct{}) // only time ends it
			}
			next := time.After(delay)
			if !open {
				next = nil
			}
			select {
			case <-next:
			case <-wait:
			case <-late:
				return nil, fmt.Errorf("faultnet: no connection to %s in %v", a.Addr, timeout)
			}
		}
	}
	here, there := net.Pipe()
	select {
	case to.streams <- there:
		return here, nil
	case <-late:
		return nil, fmt.Errorf("faultnet: %s takes no connection", a.Addr)
	}
}

// WriteTo sends a packet. DialTimeout, PacketCh and StreamCh are the other methods of a transport.
func (e *End) WriteTo(b []byte, addr string) (time.Time, error) {
	return e.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// DialTimeout is DialAddressTimeout without a name.
func (e *End) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return e.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// PacketCh gives the datagrams that arrive.
func (e *End) PacketCh() <-chan *memberlist.Packet { return e.packets }

// StreamCh gives the streams that others open.
func (e *End) StreamCh() <-chan net.Conn { return e.streams }

// Shutdown takes the end away, unless another has its address by now.
func (e *End) Shutdown() error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.ends[e.addr] == e {
		delete(e.network.ends, e.addr)
	}
	return nil
}
