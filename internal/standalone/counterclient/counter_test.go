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

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
)

var words = map[decision.Outcome]string{
	decision.Succeeded: "done", decision.Rejected: "busy", decision.Failed: "failed", decision.TimedOut: "timed out",
	decision.ConnectionReset: "reset", decision.ConnectionRefused: "refused",
}

// TestExchanges plays one lane's calls and answers.
func TestExchanges(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "counter", "other")
		log := logrus.New()
		log.SetOutput(io.Discard)
		told := make(chan string, 10)
		c := newClient(p.Addr("counter"), time.Minute, func(name string, outcome decision.Outcome, total float64) {
			told <- fmt.Sprintf("%s %s %v", name, words[outcome], total)
		}, log, 1)
		defer c.Close()
		l := c.lanes[0]
		p.Hooks["run"] = func(string) string {
			go l.run()
			return ""
		}
		p.Hooks["up"] = func(string) string { // the lane has noticed its connection
			return exchange.Until(func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return l.use() != nil
			})
		}
		p.Hooks["cannot-write"] = func(string) string { // any write fails from now on, before its first byte
			l.mu.Lock()
			defer l.mu.Unlock()
			l.use().conn.(*net.TCPConn).CloseWrite()
			return ""
		}
		p.Hooks["add"] = func(text string) string {
			var name string
			var amount, keep float64
			fmt.Sscan(text, &name, &amount, &keep)
			c.Add(name, amount, keep)
			return text
		}
		p.Hooks["give-up"] = func(string) string { // as the timer of the oldest call does
			l.mu.Lock()
			oldest := l.links[0].left[0]
			l.mu.Unlock()
			l.giveUp(oldest)
			return ""
		}
		p.Hooks["move"] = func(string) string {
			c.SetAddress(p.Addr("other"))
			return ""
		}
		p.Hooks["moved"] = func(string) string { // new calls go to the new connection
			return exchange.Until(func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				k := l.use()
				return k != nil && k.conn.RemoteAddr().String() == p.Addr("other")
			})
		}
		p.Hooks["told"] = func(string) string { return <-told }
		p.Hooks["check-later"] = func(later string) string {
			d, _ := time.ParseDuration(later)
			l.check(time.Now().Add(d))
			return later
		}
		p.Play(script)
	})
}

// A counter that ends each connection at once, for it has too many, is not asked again without a pause.
func TestPausesWhereNothingWasHeard(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := newClient(l.Addr().String(), time.Minute, func(string, decision.Outcome, float64) {}, log, 1)
	defer c.Close()
	go c.lanes[0].run()
	begun := time.Now()
	const times = 4
	for range times {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	if took := time.Since(begun); took < (times-1)*againAfter {
		t.Errorf("%d connections within %v", times, took)
	}
}

// FuzzReadAnswer: whatever the counter says is an answer, or an error; a total is a number, and never read from more than
// the lines that an answer has.
func FuzzReadAnswer(f *testing.F) {
	for _, text := range []string{"$3\r\n2.5\r\n", "+PONG\r\n", "-BUSY\r\n", "-ERR no\r\n", ":7\r\n", "$-1\r\n", "$9999999\r\nx", "*1\r\n$1\r\n1\r\n", "$3\r\nNaN\r\n", "$3\r\nInf\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(b), 1024)
		a, err := readAnswer(r)
		if err != nil {
			return
		}
		if math.IsNaN(a.total) || math.IsInf(a.total, 0) || a.pong && a.outcome != 0 {
			t.Fatalf("%q: %+v", b, a)
		}
		rest, _ := io.ReadAll(r)
		if used := bytes.Count(b[:len(b)-len(rest)], []byte("\n")); used < 1 || used > 2 {
			t.Fatalf("%q: an answer of %d lines", b, used)
		}
	})
}
