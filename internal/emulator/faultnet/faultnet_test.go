package faultnet

import (
	"io"
	"net"
	"testing"
	"time"
)

// A relay carries as its links allow, each way for itself; a stream over a cut stays open and goes on once it is
// healed.
func TestRelay(t *testing.T) {
	end, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer end.Close()
	packets, err := net.ListenPacket("udp4", end.Addr().String())
	if err != nil {
		t.Skip("the port is taken for datagrams") // rare, and says nothing of the relay
	}
	defer packets.Close()
	go func() {
		for {
			c, err := end.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	links := NewLinks(1)
	r, err := NewRelay("b", links, true, func(net.Addr) string { return "a" })
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Target(end.Addr().String())

	c, err := net.Dial("tcp4", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	echo := func(text string, wait time.Duration) string {
		c.SetDeadline(time.Now().Add(wait))
		io.WriteString(c, text)
		b := make([]byte, len(text))
		n, _ := io.ReadFull(c, b)
		return string(b[:n])
	}
	if got := echo("one", 20*time.Second); got != "one" {
		t.Errorf("%q came back", got)
	}
	links.Set("b", "a", Streams, Fault{Cut: true})
	if got := echo("two", 100*time.Millisecond); got != "" {
		t.Errorf("%q came over a cut", got)
	}
	links.Heal()
	if got := echo("", time.Second) + echo("x", 20*time.Second); got != "t" {
		t.Errorf("%q came first when it was healed", got) // of "two", which was held back
	}

	from, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	to, _ := net.ResolveUDPAddr("udp4", r.Addr())
	arrives := func(text string) int {
		from.WriteTo([]byte(text), to)
		from.WriteTo([]byte("."), to) // behind it, on the same way: what has not come by then is lost
		buf := make([]byte, 2000)
		for n := 0; ; {
			packets.SetReadDeadline(time.Now().Add(20 * time.Second))
			m, _, err := packets.ReadFrom(buf)
			if err != nil {
				t.Fatal(err)
			}
			if string(buf[:m]) == "." {
				return n
			}
			n++
		}
	}
	if n := arrives("whole"); n != 1 {
		t.Errorf("%d arrived without a fault", n)
	}
	links.Set("a", Any, Datagrams, Fault{Longest: 3})
	if n := arrives("too long"); n != 0 {
		t.Errorf("%d arrived over a path for small ones", n)
	}
	links.Set("a", "b", Datagrams, Fault{Double: 1})
	if links.Datagram("a", "b", 9); len(links.Datagram("a", "b", 9)) != 2 {
		t.Error("it is not doubled")
	}
	if all := links.Total(); all.Sent == 0 || all.Lost != 1 {
		t.Errorf("%+v", all)
	}
}
