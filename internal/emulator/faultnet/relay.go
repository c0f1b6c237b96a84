package faultnet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize = 16 << 10
	dialMost  = 2 * time.Second
)

// Relay stands before one end: what others say to the end comes here first, datagrams and streams at one port, and
// goes on as the links between caller and end allow.
type Relay struct {
	to     string
	links  *Links
	caller func(net.Addr) string // who calls, by the address that the call comes from

	streams net.Listener
	packets net.PacketConn // nil: streams alone
	mu      sync.Mutex
	target  string // where the end listens; empty: nowhere
	as      net.IP // streams go on from this address; nil: any
	open    map[net.Conn]bool
	done    chan struct{} // closed with the relay
	once    sync.Once
}

// NewRelay listens on loopback for an end. caller tells who calls by source address.
func NewRelay(to string, links *Links, datagrams bool, caller func(net.Addr) string) (*Relay, error) {
	r := &Relay{to: to, links: links, caller: caller, open: map[net.Conn]bool{}, done: make(chan struct{})}
	for range 20 { // the port drawn for streams may be taken for datagrams
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("faultnet: %w", err)
		}
		r.streams = l
		if !datagrams {
			break
		}
		if r.packets, err = net.ListenPacket("udp4", l.Addr().String()); err == nil {
			break
		}
		l.Close()
	}
	if datagrams && r.packets == nil {
		return nil, errors.New("faultnet: no port is free for datagrams and streams")
	}
	go r.accept()
	if datagrams {
		go r.receive()
	}
	return r, nil
}

// Addr is where others reach the end.
func (r *Relay) Addr() string { return r.streams.Addr().String() }

// Target tells where the end listens from now on.
func (r *Relay) Target(addr string) {
	r.mu.Lock()
	r.target = addr
	r.mu.Unlock()
}

// As has streams go on from an address, as the caller's own: ends may go by it.
func (r *Relay) As(ip string) {
	r.mu.Lock()
	r.as = net.ParseIP(ip)
	r.mu.Unlock()
}

// Drop ends the streams that go over it now: their end has gone.
func (r *Relay) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
}

// Close ends all that goes over it.
func (r *Relay) Close() {
	r.streams.Close()
	if r.packets != nil {
		r.packets.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.once.Do(func() { close(r.done) })
	for c := range r.open {
		c.Close()
	}
}

func (r *Relay) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.packets.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the end of a call before may be told as an error of the next read
		}
		packet := append([]byte(nil), buf[:n]...)
		for _, delay := range r.links.Datagram(r.caller(from), r.to, n) {
			if delay == 0 {
				r.pass(packet)
				continue
			}
			time.AfterFunc(delay, func() { r.pass(packet) })
		}
	}
}

func (r *Relay) pass(packet []byte) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	if a, err := net.ResolveUDPAddr("udp4", target); err == nil && target != "" {
		r.packets.WriteTo(packet, a)
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.streams.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // guards against spinning on an error that stays
			continue
		}
		go r.carry(c)
	}
}

func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		c.Close()
		return false
	default:
	}
	r.open[c] = true
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
}

// carry is the life of one stream. Where the link is cut, it is open and carries nothing.
func (r *Relay) carry(c net.Conn) {
	if !r.keep(c) {
		return
	}
	defer r.drop(c)
	from := r.caller(c.RemoteAddr())
	r.mu.Lock()
	target, as := r.target, r.as
	r.mu.Unlock()
	if target == "" {
		return
	}
	if !r.wait(from, r.to, 0) { // a handshake needs both ways
		return
	}
	if !r.wait(r.to, from, 0) {
		return
	}
	d := net.Dialer{Timeout: dialMost}
	if as != nil {
		d.LocalAddr = &net.TCPAddr{IP: as}
	}
	out, err := d.Dial("tcp4", target)
	if err != nil || !r.keep(out) {
		return
	}
	defer r.drop(out)
	done := make(chan struct{}, 2)
	one := func(from, to string, in, out net.Conn) {
		r.copy(from, to, in, out)
		done <- struct{}{}
	}
	go one(from, r.to, c, out)
	go one(r.to, from, out, c)
	<-done
	<-done
}

// wait holds a piece of a stream until its link carries something; false: the relay ended. That a caller gave up
// meanwhile is seen once the link carries again, as on a real one.
func (r *Relay) wait(from, to string, size int) bool {
	for {
		delay, wait := r.links.Transfer(from, to, size)
		if wait == nil {
			time.Sleep(delay)
			return true
		}
		select {
		case <-wait:
		case <-r.done:
			return false
		}
	}
}

// copy carries one way of a stream.
func (r *Relay) copy(from, to string, in, out net.Conn) {
	buf := make([]byte, chunkSize)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if !r.wait(from, to, n) {
				return
			}
			if _, werr := out.Write(buf[:n]); werr != nil {
				in.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if t, ok := out.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
		if err != nil {
			out.Close()
			return
		}
	}
}
