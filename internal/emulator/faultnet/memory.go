package faultnet

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxQueuedDatagrams is the number of datagrams that an endpoint queues until they are received; further ones are lost.
const maxQueuedDatagrams = 1024

// Memory is a network within one process, without sockets, for simulated time.
type Memory struct {
	Links *Links

	mu        sync.Mutex           // guards the fields below
	endpoints map[string]*Endpoint // by address
	addresses int                  // number of addresses that Addr has returned
}

// NewMemory returns a network without endpoints.
func NewMemory(l *Links) *Memory { return &Memory{Links: l, endpoints: map[string]*Endpoint{}} }

// Endpoint is a node's access to the network. It implements memberlist.NodeAwareTransport.
type Endpoint struct {
	network *Memory
	name    string
	addr    string
	packets chan *memberlist.Packet
	streams chan net.Conn
}

// Addr returns a new address, which no endpoint has.
func (m *Memory) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses++
	return fmt.Sprintf("10.%d.%d.%d:7946", m.addresses>>16&255, m.addresses>>8&255, m.addresses&255)
}

// Listen adds an endpoint at an address. It replaces an existing endpoint with this address.
func (m *Memory) Listen(name, addr string) *Endpoint {
	e := &Endpoint{
		network: m,
		name:    name,
		addr:    addr,
		packets: make(chan *memberlist.Packet, maxQueuedDatagrams),
		streams: make(chan net.Conn),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endpoints[addr] = e
	return e
}

// endpoint returns the endpoint at an address, or nil if there is none.
func (m *Memory) endpoint(addr string) *Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoints[addr]
}

// FinalAdvertiseAddr returns its arguments, because addresses of the network need no translation.
func (e *Endpoint) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	return net.ParseIP(ip), port, nil
}

// WriteToAddress sends a datagram. It never fails: if there is no endpoint at the address, or its queue is full, the
// datagram is lost, as with a UDP socket.
func (e *Endpoint) WriteToAddress(payload []byte, a memberlist.Address) (time.Time, error) {
	to := e.network.endpoint(a.Addr)
	if to == nil {
		return time.Now(), nil
	}
	datagram := append([]byte(nil), payload...)
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(e.addr))
	for _, delay := range e.network.Links.Datagram(e.name, to.name, len(payload)) {
		time.AfterFunc(delay, func() {
			if to := e.network.endpoint(a.Addr); to != nil {
				to.receive(&memberlist.Packet{Buf: datagram, From: from, Timestamp: time.Now()})
			}
		})
	}
	return time.Now(), nil
}

// receive queues a datagram, or drops it if the queue is full.
func (e *Endpoint) receive(packet *memberlist.Packet) {
	select {
	case e.packets <- packet:
	default:
	}
}

// WriteTo is like WriteToAddress, for an address without a node name.
func (e *Endpoint) WriteTo(payload []byte, addr string) (time.Time, error) {
	return e.WriteToAddress(payload, memberlist.Address{Addr: addr})
}

// DialAddressTimeout opens a stream. It fails if there is no endpoint at the address, if the link in either direction
// does not transfer data within the timeout, or if the endpoint does not accept the stream by then. Faults affect only
// the opening of a stream, not the data on an open one.
func (e *Endpoint) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	expired := time.After(timeout)
	to := e.network.endpoint(a.Addr)
	if to == nil {
		return nil, fmt.Errorf("faultnet: no endpoint at %s", a.Addr)
	}
	links := e.network.Links
	if !await(links, e.name, to.name, 0, expired) || !await(links, to.name, e.name, 0, expired) {
		return nil, fmt.Errorf("faultnet: no connection to %s within %v", a.Addr, timeout)
	}
	here, there := net.Pipe()
	select {
	case to.streams <- there:
		return here, nil
	case <-expired:
		return nil, fmt.Errorf("faultnet: %s did not accept the connection in time", a.Addr)
	}
}

// DialTimeout is like DialAddressTimeout, for an address without a node name.
func (e *Endpoint) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return e.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// PacketCh returns the channel of received datagrams.
func (e *Endpoint) PacketCh() <-chan *memberlist.Packet { return e.packets }

// StreamCh returns the channel of the streams that other endpoints open to this one.
func (e *Endpoint) StreamCh() <-chan net.Conn { return e.streams }

// Shutdown removes the endpoint from the network, unless another one has replaced it.
func (e *Endpoint) Shutdown() error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.endpoints[e.addr] == e {
		delete(e.network.endpoints, e.addr)
	}
	return nil
}
