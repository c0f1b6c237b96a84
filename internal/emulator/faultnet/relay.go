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
	maxDatagram = 64 << 10 // bytes
	// portAttempts is how many ports are tried: one that is free for streams may be taken for datagrams.
	portAttempts = 20
	// acceptRetryInterval is the pause after an accept that failed, so that an error that stays does not busy the CPU.
	acceptRetryInterval = 10 * time.Millisecond
)

// Relay is a proxy before one node: datagrams and streams to the node arrive at the relay, on one port, and are
// forwarded as the links between caller and node allow.
type Relay struct {
	node     string
	links    *Links
	caller   func(net.Addr) string // returns the node that an address belongs to
	listener net.Listener
	packets  net.PacketConn // nil: it forwards streams alone

	cancel     context.CancelFunc // ends the forwarding
	forwarders sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	target   string     // address of the node; "": it is not listening
	sourceIP net.IP     // of the streams to the node; nil: any
	conns    map[net.Conn]bool
	closed   bool
}

// NewRelay listens on loopback for a node, and forwards nothing before SetTarget. caller returns the name of the node
// that an address belongs to; several goroutines call it. The error is ErrNoPort or one of package net.
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

// Addr returns the address at which others reach the node.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetTarget sets the address at which the node listens from now on; "": it does not.
func (r *Relay) SetTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// SetSourceIP sets the IP address from which streams are forwarded, for nodes that tell callers apart by it.
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

// Close closes all open streams, and waits until nothing is forwarded any more.
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

// closeConns closes the connections of all streams. The mutex is held.
func (r *Relay) closeConns() {
	for conn := range r.conns {
		conn.Close()
	}
}

// receiveDatagrams forwards datagrams until the relay closes. Those that are still delayed then are lost.
func (r *Relay) receiveDatagrams() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.packets.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the system may report that an earlier datagram was not received as an error of the next read
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

// destination returns the address of the node, and the IP address from which streams to it are to come.
func (r *Relay) destination() (target string, sourceIP net.IP) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target, r.sourceIP
}
