package counterclient

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
	"mulleinrouter/internal/logging/logtest"
)

// outcomeNames maps outcomes to their names in the scripts of testdata.
var outcomeNames = map[decision.Outcome]string{
	decision.Succeeded:         "done",
	decision.Rejected:          "busy",
	decision.Failed:            "failed",
	decision.TimedOut:          "timed out",
	decision.ConnectionReset:   "reset",
	decision.ConnectionRefused: "refused",
}

// TestExchanges plays scripted dialogues between one pipeline and the counter.
func TestExchanges(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "counter", "other")
		replies := make(chan string, 10)
		onReply := func(name string, outcome decision.Outcome, total float64) {
			replies <- fmt.Sprintf("%s %s %v", name, outcomeNames[outcome], total)
		}
		c := newClient(p.Addr("counter"), time.Minute, onReply, logtest.Discard(), 1)
		defer c.Close()
		pipe := c.pipelines[0]
		p.Hooks["run"] = func(string) string {
			c.goroutines.Go(pipe.run)
			return ""
		}
		p.Hooks["up"] = func(string) string { // waits until the pipeline has a usable connection
			return exchange.Until(func() bool {
				pipe.mu.Lock()
				defer pipe.mu.Unlock()
				return pipe.current() != nil
			})
		}
		p.Hooks["cannot-write"] = func(string) string { // makes each later write fail before its first byte
			pipe.mu.Lock()
			defer pipe.mu.Unlock()
			pipe.current().conn.(*net.TCPConn).CloseWrite()
			return ""
		}
		p.Hooks["add"] = func(text string) string {
			var name string
			var amount, keep float64
			fmt.Sscan(text, &name, &amount, &keep)
			c.Add(name, amount, keep)
			return text
		}
		p.Hooks["time-out"] = func(string) string { // does what the timer of the oldest call does
			pipe.mu.Lock()
			oldest := pipe.connections[0].calls[0]
			pipe.mu.Unlock()
			pipe.onTimeout(oldest)
			return ""
		}
		p.Hooks["set-address"] = func(string) string {
			c.SetAddress(p.Addr("other"))
			return ""
		}
		p.Hooks["address-changed"] = func(string) string { // waits until new calls use the new connection
			return exchange.Until(func() bool {
				pipe.mu.Lock()
				defer pipe.mu.Unlock()
				current := pipe.current()
				return current != nil && current.conn.RemoteAddr().String() == p.Addr("other")
			})
		}
		p.Hooks["reply"] = func(string) string { return <-replies }
		p.Hooks["check-later"] = func(later string) string {
			d, _ := time.ParseDuration(later)
			pipe.check(time.Now().Add(d))
			return later
		}
		p.Play(script)
	})
}

// A counter that ends each connection at once, because it has too many, must be dialed again only after a delay.
// Without the delay, the client would dial it thousands of times a second.
func TestReconnectDelayWithoutReply(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	onReply := func(string, decision.Outcome, float64) {}
	c := newClient(l.Addr().String(), time.Minute, onReply, logtest.Discard(), 1)
	defer c.Close()
	c.goroutines.Go(c.pipelines[0].run)
	begun := time.Now()
	const times = 4
	for range times {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	if took := time.Since(begun); took < (times-1)*reconnectDelay {
		t.Errorf("%d connections within %v, want at least %v between two", times, took, reconnectDelay)
	}
}

// Close waits for everything that the client started. The calls in flight are reported as reset before it returns, and
// no call is reported later.
func TestCloseWaitsForPendingCalls(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	outcomes := make(chan decision.Outcome, 100)
	onReply := func(_ string, outcome decision.Outcome, _ float64) { outcomes <- outcome }
	c := New(l.Addr().String(), time.Minute, onReply, logtest.Discard())
	for range pipelineCount {
		conn, err := l.Accept() // this connection never replies
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	for { // until the pipeline has a usable connection
		c.Add("name", 1, 10)
		if len(outcomes) == 0 {
			break
		}
		if got := <-outcomes; got != decision.ConnectionRefused {
			t.Fatalf("outcome before the connection is up: got %v, want %v", got, decision.ConnectionRefused)
		}
	}
	c.Close()
	select {
	case got := <-outcomes:
		if got != decision.ConnectionReset {
			t.Errorf("outcome of the call in flight: got %v, want %v", got, decision.ConnectionReset)
		}
	default:
		t.Error("the call in flight is not reported when Close returns")
	}
}

// FuzzReadReply checks that any bytes from the counter are read as a reply or an error, that a total is a finite
// number, and that a reply consumes one or two lines.
func FuzzReadReply(f *testing.F) {
	for _, text := range []string{
		"$3\r\n2.5\r\n", "+PONG\r\n", "-BUSY\r\n", "-ERR no\r\n", ":7\r\n", "$-1\r\n", "$9999999\r\nx",
		"*1\r\n$1\r\n1\r\n", "$3\r\nNaN\r\n", "$3\r\nInf\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(b), 1024)
		a, err := readReply(r)
		if err != nil {
			return
		}
		if math.IsNaN(a.total) || math.IsInf(a.total, 0) || a.pong && a.outcome != 0 {
			t.Fatalf("%q: %+v", b, a)
		}
		rest, _ := io.ReadAll(r)
		if used := bytes.Count(b[:len(b)-len(rest)], []byte("\n")); used < 1 || used > 2 {
			t.Fatalf("%q: a reply of %d lines, want 1 or 2", b, used)
		}
	})
}
