package faultnet

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const maxWait = 20 * time.Second // for expected data to arrive

// startNode listens on one loopback port for streams, which it echoes, and for datagrams, which the caller reads.
func startNode(t *testing.T) (addr string, datagrams net.PacketConn) {
	t.Helper()
	listener, datagrams := listenBoth(t)
	var echoes sync.WaitGroup
	t.Cleanup(func() {
		listener.Close()
		datagrams.Close()
		echoes.Wait()
	})
	echoes.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			echoes.Go(func() {
				defer conn.Close()
				io.Copy(conn, conn)
			})
		}
	})
	return listener.Addr().String(), datagrams
}

func listenBoth(t *testing.T) (net.Listener, net.PacketConn) {
	t.Helper()
	for range portAttempts {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		datagrams, err := net.ListenPacket("udp4", listener.Addr().String())
		if err == nil {
			return listener, datagrams
		}
		listener.Close()
	}
	t.Fatal("no port is free for datagrams and streams")
	return nil, nil
}

// startRelay starts a relay in front of node "b"; all its callers are node "a".
func startRelay(t *testing.T, links *Links, target string) *Relay {
	t.Helper()
	relay, err := NewRelay("b", links, true, func(net.Addr) string { return "a" })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	relay.SetTarget(target)
	return relay
}

// TestRelay checks that a relay applies the faults of its links, separately in each direction.
func TestRelay(t *testing.T) {
	links := NewLinks(1)
	target, datagrams := startNode(t)
	relay := startRelay(t, links, target)
	t.Run("streams", func(t *testing.T) { testStreams(t, links, relay) })
	t.Run("datagrams", func(t *testing.T) { testDatagrams(t, links, relay, datagrams) })
	t.Run("total", func(t *testing.T) {
		if total := links.Total(); total.Sent == 0 || total.Lost != 1 {
			t.Errorf("got %+v, want some sent and 1 lost", total)
		}
	})
}

// testStreams checks that a stream stays open while its link is cut, and continues once the link is restored.
func testStreams(t *testing.T, links *Links, relay *Relay) {
	conn, err := net.Dial("tcp4", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// echo sends a text, and returns the bytes echoed within the timeout, at most as many as were sent.
	echo := func(text string, timeout time.Duration) string {
		conn.SetDeadline(time.Now().Add(timeout))
		io.WriteString(conn, text)
		buffer := make([]byte, len(text))
		n, _ := io.ReadFull(conn, buffer)
		return string(buffer[:n])
	}
	if got := echo("one", maxWait); got != "one" {
		t.Errorf("got %q, want %q", got, "one")
	}
	links.Set("b", "a", Streams, Fault{Cut: true})
	if got := echo("two", 100*time.Millisecond); got != "" {
		t.Errorf("got %q over a cut link, want nothing", got)
	}
	links.Heal()
	// The first byte received is that of "two", which the cut link delayed.
	if got := echo("", time.Second) + echo("x", maxWait); got != "t" {
		t.Errorf("got %q from the restored link, want %q", got, "t")
	}
}

func testDatagrams(t *testing.T, links *Links, relay *Relay, node net.PacketConn) {
	caller, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	to, err := net.ResolveUDPAddr("udp4", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	// arrivals sends a datagram and then a final one over the same link, and returns the number of datagrams that
	// arrive before the final one. A datagram that has not arrived by then is lost.
	arrivals := func(text string) (n int) {
		t.Helper()
		const last = "."
		caller.WriteTo([]byte(text), to)
		caller.WriteTo([]byte(last), to)
		buffer := make([]byte, 2000)
		for ; ; n++ {
			node.SetReadDeadline(time.Now().Add(maxWait))
			size, _, err := node.ReadFrom(buffer)
			if err != nil {
				t.Fatal(err)
			}
			if string(buffer[:size]) == last {
				return n
			}
		}
	}
	if got := arrivals("complete"); got != 1 {
		t.Errorf("without a fault: got %d arrivals, want 1", got)
	}
	links.Set("a", AnyNode, Datagrams, Fault{MaxSize: 3})
	if got := arrivals("too long"); got != 0 {
		t.Errorf("above the maximum size: got %d arrivals, want 0", got)
	}
	links.Set("a", "b", Datagrams, Fault{Duplicate: 1})
	for range 2 {
		if copies := links.Datagram("a", "b", 9); len(copies) != 2 {
			t.Errorf("got %d copies of a duplicated datagram, want 2", len(copies))
		}
	}
}

func TestFaultValidate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault Fault
		want  error
	}{
		{"zero", Fault{}, nil},
		{"bounds", Fault{Loss: 1, Duplicate: 1, Reorder: 1, MaxSize: 1}, nil},
		{"loss", Fault{Loss: 1.1}, ShareError{"loss"}},
		{"double", Fault{Duplicate: -0.1}, ShareError{"double"}},
		{"reorder", Fault{Reorder: 2}, ShareError{"reorder"}},
		{"delay", Fault{Delay: -1}, ErrNegative},
		{"jitter", Fault{Jitter: -1}, ErrNegative},
		{"longest", Fault{MaxSize: -1}, ErrNegative},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.fault.Validate(); !errors.Is(got, tc.want) {
				t.Errorf("%+v: got error %v, want %v", tc.fault, got, tc.want)
			}
		})
	}
}
