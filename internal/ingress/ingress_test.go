package ingress

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/engine"
	"mulleinrouter/internal/exchange"
	"mulleinrouter/internal/upstream"
	"mulleinrouter/internal/usage"
	"mulleinrouter/passhub"
)

// TestExchanges plays clients against a server that takes two connections at once.
func TestExchanges(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "server")
		log := logrus.New()
		log.SetOutput(io.Discard)
		settings := passhub.Settings{
			Balancers: 1, MaxAttempts: 1, MayCancel: true,
			Classes: []passhub.Class{{Name: "send", Aim: 20, Deadline: 30, Worth: 1}},
			Plans:   []passhub.Plan{{Name: "plus", Rate: 1000, Burst: 1000, Price: 1}},
		}
		e := engine.New(passhub.New(settings, 1), &settings, engine.NewClock())
		e.Start(nil)
		e.Backends(passhub.Backends{Complete: true, List: []passhub.Backend{{ID: "s-1", Serving: true, Size: 1}}})
		pool := upstream.New(func(string) (string, bool) { return p.Addr("server"), true },
			upstream.Limits{Connections: 2, ConnectTimeout: time.Minute, Keepalive: time.Minute}, log)
		s := New(&settings, e, pool, 2, log)
		s.Started()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go s.Serve(l)
		p.Target = l.Addr().String()
		meter := &meter{}
		s.Meter = meter
		p.Hooks["metered"] = func(text string) string { // since it was asked last
			if never := exchange.Until(func() bool { return meter.text() == text }); never != "" {
				return meter.text()
			}
			meter.clear()
			return text
		}
		until := func(is func() bool) func(string) string {
			return func(string) string {
				return exchange.Until(func() bool {
					s.mu.Lock()
					defer s.mu.Unlock()
					return is()
				})
			}
		}
		p.Hooks["leave"] = func(string) string {
			s.Leave()
			return ""
		}
		p.Hooks["lameduck"] = func(string) string {
			s.LameDuck()
			return ""
		}
		p.Hooks["rejoin"] = func(string) string {
			s.Rejoin()
			return ""
		}
		p.Hooks["drain"] = func(string) string {
			s.Drain(time.Minute, time.Minute)
			return ""
		}
		p.Hooks["drain-begins"] = func(string) string {
			go s.Drain(time.Minute, time.Minute)
			return until(func() bool { return s.life.Phase() == passhub.Closing })("")
		}
		p.Hooks["sweep-later"] = func(later string) string {
			d, _ := time.ParseDuration(later)
			s.sweepAt(time.Now().Add(d))
			return later
		}
		in := func(st state) func(string) string { // so many connections are in that state
			return func(many string) string {
				never := until(func() bool {
					n := 0
					for c := range s.conns {
						if c.state == st {
							n++
						}
					}
					return strconv.Itoa(n) == many
				})("")
				return many + never
			}
		}
		p.Hooks["idle"] = in(idle)
		p.Hooks["reading"] = in(reading)
		p.Hooks["taking"] = in(taking)
		p.Hooks["waiting"] = until(func() bool { return s.waiting > 0 })
		p.Hooks["open"] = func(string) string {
			s.mu.Lock()
			defer s.mu.Unlock()
			return strconv.Itoa(len(s.conns))
		}
		p.Play(script)
	})
}

// meter writes down what it is told.
type meter struct {
	mu    sync.Mutex
	seq   uint64
	lines []string
}

func (m *meter) Sent(t usage.Try) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	where := "inside"
	if t.Beyond {
		where = "beyond"
	}
	m.lines = append(m.lines, fmt.Sprintf("sent %s %s %s %d %s", t.Member, t.Plan, t.Class, t.Units, where))
	return m.seq
}

func (m *meter) Ended(seq uint64, a usage.Arrival) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = append(m.lines, fmt.Sprintf("%d %v", seq, a))
}

func (m *meter) text() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.lines, "; ")
}

func (m *meter) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = nil
}

// What is closed first for want of room, from what is closed only for want of that.
func TestSpare(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	refused := &conn{state: closing, since: ago(time.Millisecond)}
	slow := &conn{state: reading, fresh: true, since: ago(time.Second)}
	silent := &conn{state: idle, fresh: true, since: ago(10 * time.Millisecond)}
	longIdle := &conn{state: idle, since: ago(time.Minute)}
	shortIdle := &conn{state: idle, since: ago(time.Second)}
	s := &Server{conns: map[*conn]struct{}{
		refused: {}, slow: {}, silent: {}, longIdle: {}, shortIdle: {},
		{state: reading, fresh: true, since: ago(time.Millisecond)}:     {}, // it may be a good client's
		{state: idle, fresh: true, asks: true, since: ago(time.Second)}: {}, // its request is here, unread
		{state: reading, since: ago(time.Second)}:                       {},
		{state: busy, since: ago(time.Minute)}:                          {},
		{state: writing, since: ago(time.Minute)}:                       {},
		{state: idle, since: ago(time.Hour), code: "client-idle"}:       {}, // goes anyway
	}}
	for i, want := range []*conn{slow, silent, refused, longIdle, shortIdle, nil} {
		if got := s.spare(now); got != want {
			t.Fatalf("%d: want %+v, got %+v", i, want, got)
		}
		delete(s.conns, want)
	}
}

// A connection with unread bytes of a request is not closed for want of room.
func TestSpareLooksBeforeItCloses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &Server{conns: map[*conn]struct{}{}}
	var silent *conn
	for _, word := range []string{"", "G"} {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		client.Write([]byte(word))
		c := &conn{Conn: near, fresh: true, since: time.Now().Add(-time.Second)}
		if s.conns[c] = struct{}{}; word == "" {
			silent = c
		} else if exchange.Until(c.begun) != "" {
			t.Fatal("the byte does not come")
		}
	}
	if got := s.spare(time.Now()); got != silent {
		t.Errorf("want %+v, got %+v", silent, got)
	}
	delete(s.conns, silent)
	if got := s.spare(time.Now()); got != nil {
		t.Errorf("want none, got %+v", got)
	}
}

// Where hardly any place is left, an answer is the last on its connection.
func TestCrowded(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	s := &Server{most: 8, conns: map[*conn]struct{}{}}
	c := &conn{Conn: near, server: s}
	for s.conns[c] = struct{}{}; len(s.conns) < 7; s.conns[&conn{}] = struct{}{} {
	}
	if c.last() || !c.to(idle) {
		t.Error("ends with a place left")
	}
	s.conns[&conn{}] = struct{}{}
	if !c.last() || c.to(idle) || c.code != "client-room" {
		t.Error("goes on with no place left")
	}
}

// A connection that is ended as unused at the moment a request begins still serves that one, as its last.
func TestTakenIsTaken(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near, server: &Server{}}
	c.end("client-room")
	c.to(reading)
	go far.Write([]byte("x"))
	if n, err := near.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if !c.last() || c.to(idle) {
		t.Error("the connection goes on after it")
	}
}
