package faultnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	maxDatagram = 64 << 10 // maximum size of a datagram, bytes
	// portAttempts is the number of ports that are tried, because a port that is free for streams may be in use for
	// datagrams.
	portAttempts = 20
	// acceptRetryInterval is the pause after a failed accept, so that a persistent error does not occupy the CPU.
	acceptRetryInterval = 10 * time.Millisecond
)

// Relay is a proxy in front of one node. It receives the datagrams and streams to the node on one port, and forwards
// them subject to the faults of the links between caller and node.
type Relay struct {
	node     string
	links    *Links
	caller   func(net.Addr) string // returns the node that an address belongs to
	listener net.Listener
	packets  net.PacketConn // nil if the relay forwards only streams

	cancel     context.CancelFunc // ends the forwarding
	forwarders sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	target   string     // address of the node; empty if the node is not listening
	sourceIP net.IP     // local address of the streams to the node; nil for any
	conns    map[net.Conn]bool
	closed   bool
}

// NewRelay starts a relay on loopback for a node. It forwards nothing until SetTarget is called. caller returns the
// name of the node that an address belongs to; it must be safe for concurrent use. The error is ErrNoPort or wraps one
// of package net.
func NewRelay(node string, links *Links, datagrams bool, caller func(net.Addr) string) (*Relay, error) {
	r := &Relay{node: node, links: links, caller: caller, conns: map[net.Conn]bool{}}
	if err := r.listen(datagrams); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.forwarders.Go(func() { r.acceptStreams(ctx) })
	if datagrams {
		r.forwarders.Go(r.receiveDatagrams)
	}
	return r, nil
}

func (r *Relay) listen(datagrams bool) error {
	for range portAttempts {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("faultnet: %w", err)
		}
		if !datagrams {
			r.listener = listener
			return nil
		}
		packets, err := net.ListenPacket("udp4", listener.Addr().String())
		if err == nil {
			r.listener, r.packets = listener, packets
			return nil
		}
		listener.Close()
	}
	return ErrNoPort
}

// Addr returns the address at which other nodes reach the node.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetTarget sets the address at which the node listens; "" means that it is not listening.
func (r *Relay) SetTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// SetSourceIP sets the local IP address of forwarded streams, for nodes that identify callers by their IP address.
func (r *Relay) SetSourceIP(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceIP = net.ParseIP(ip)
}

// CloseStreams closes all open streams, as if their node had gone down.
func (r *Relay) CloseStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeConns()
}

// Close stops listening, closes all open streams, and waits until all goroutines that forward traffic have ended.
func (r *Relay) Close() {
	r.cancel()
	r.listener.Close()
	if r.packets != nil {
		r.packets.Close()
	}
	r.mu.Lock()
	r.closed = true
	r.closeConns()
	r.mu.Unlock()
	r.forwarders.Wait()
}

// closeConns closes the connections of all streams. The caller must hold the mutex.
func (r *Relay) closeConns() {
	for conn := range r.conns {
		conn.Close()
	}
}

// receiveDatagrams forwards datagrams until the relay is closed. Datagrams whose delay has not passed by then are lost.
func (r *Relay) receiveDatagrams() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.packets.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the kernel may report an earlier datagram that was not delivered as an error of this read
		}
		datagram := append([]byte(nil), buffer[:n]...)
		for _, delay := range r.links.Datagram(r.caller(from), r.node, n) {
			if delay == 0 {
				r.forwardDatagram(datagram)
				continue
			}
			time.AfterFunc(delay, func() { r.forwardDatagram(datagram) })
		}
	}
}

func (r *Relay) forwardDatagram(datagram []byte) {
	target, _ := r.destination()
	if target == "" {
		return
	}
	if addr, err := net.ResolveUDPAddr("udp4", target); err == nil {
		r.packets.WriteTo(datagram, addr)
	}
}

// destination returns the address of the node, and the local IP address for streams to it.
func (r *Relay) destination() (target string, sourceIP net.IP) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target, r.sourceIP
}
