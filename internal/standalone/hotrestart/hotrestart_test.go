package hotrestart

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// waitTimeout bounds each wait. Only a failing test waits so long.
const waitTimeout = 10 * time.Second

// TestSteerHandsOver checks two listeners at one address. After the first one redirects, all new connections must reach
// the second one, and closing the first one must reset none of them.
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
	old.Close() // this resets connections in its accept queue, if any are there
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

// TestSteerAlone checks that a listener that redirects still gets its connections if it is the only one in the group.
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
		t.Fatalf("the only listener got no connection: %v", err)
	}
	a.Close()
}

// TestJoinClearsSteering checks that both listeners get connections after a process joins a group that an earlier one
// redirected.
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
	// If the redirection were still in force, all connections would reach the second listener. The kernel's hash sends
	// some of the 64 to the first one.
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
