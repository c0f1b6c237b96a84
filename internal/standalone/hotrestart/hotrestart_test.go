package hotrestart

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// waitTimeout bounds a wait that only a failure makes long.
const waitTimeout = 10 * time.Second

// TestSteerHandsOver: two listeners share an address. Once the first one redirects, all new connections reach
// the second, and closing the first one resets none of them.
func TestSteerHandsOver(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	newer, err := Listen(old.Addr().String())
	if err != nil {
		t.Fatalf("a second listener at the same address: %v", err)
	}
	defer newer.Close()
	if err := Steer(old); err != nil {
		t.Skipf("the kernel doesn't support the redirection: %v", err)
	}
	const n = 32
	var dialed []net.Conn
	for range n {
		c, err := net.Dial("tcp4", old.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		dialed = append(dialed, c)
	}
	old.Close() // what waits in its queue would be reset now
	newer.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout))
	for i := range n {
		c, err := newer.Accept()
		if err != nil {
			t.Fatalf("the newer listener accepted %d of %d connections: %v", i, n, err)
		}
		c.Close()
	}
	for i, c := range dialed {
		c.SetReadDeadline(time.Now().Add(waitTimeout))
		var b [1]byte
		if _, err := c.Read(b[:]); !errors.Is(err, io.EOF) {
			t.Fatalf("connection %d: got %v, want an orderly close (%v)", i, err, io.EOF)
		}
	}
}

// TestSteerAlone: a listener that redirects without another one beside it still gets its connections.
func TestSteerAlone(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := Steer(l); err != nil {
		t.Skipf("the kernel doesn't support the redirection: %v", err)
	}
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout))
	a, err := l.Accept()
	if err != nil {
		t.Fatalf("alone, it got nothing: %v", err)
	}
	a.Close()
}

// TestJoinClearsSteering: once a process joins a group that an earlier one redirected, both get connections again.
func TestJoinClearsSteering(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if err := Steer(first); err != nil {
		t.Skipf("the kernel doesn't support the redirection: %v", err)
	}
	second, err := Listen(first.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	// Redirected, all would go to the second one; by the kernel's hash some of many go to the first one.
	for range 64 {
		c, err := net.Dial("tcp4", first.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	first.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout))
	if a, err := first.Accept(); err != nil {
		t.Fatalf("the first listener got none of 64 connections: %v", err)
	} else {
		a.Close()
	}
}
