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

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
)

// TestExchanges plays clients against a server that takes two connections at once.
func TestExchanges(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "server")
		log := logrus.New()
		log.SetOutput(io.Discard)
		settings := decision.Settings{
			Gateways: 1, MaxAttempts: 1, MayCancel: true,
			Classes: []decision.Class{{Name: "send", LatencyTarget: 20, Deadline: 30, Value: 1},
				{Name: "read", LatencyTarget: 20, Deadline: 30, Value: 1, Effect: decision.Idempotent}},
			Plans: []decision.Plan{{Name: "plus", Rate: 1000, Burst: 1000, ValueWeight: 1}},
		}
		e := engine.New(decision.New(settings, 1), &settings, engine.NewClock())
		e.Start(nil)
		e.SetBackends(decision.Backends{Complete: true, List: []decision.Backend{{ID: "s-1", Serving: true, Size: 1}}})
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
			s.Shutdown()
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
			return until(func() bool { return s.lifecycle.Phase() == decision.Closing })("")
		}
		p.Hooks["sweep-later"] = func(later string) string {
			d, _ := time.ParseDuration(later)
			s.sweepAt(time.Now().Add(d))
			return later
		}
		in := func(st clientconn.State) func(string) string { // so many connections are in that state
			return func(many string) string {
				never := until(func() bool {
					n := 0
					for c := range s.conns {
						if c.machine.State() == st {
							n++
						}
					}
					return strconv.Itoa(n) == many
				})("")
				return many + never
			}
		}
		p.Hooks["idle"] = in(clientconn.Idle)
		p.Hooks["reading"] = in(clientconn.ReadingHead)
		p.Hooks["taking"] = in(clientconn.Uploading)
		p.Hooks["gone"] = until(func() bool { return len(s.conns) == 0 && len(s.ids) == 0 })
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

// A connection with unread bytes of a request is not closed for want of room.
func TestSpareLooksBeforeItCloses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &Server{base: time.Now(), conns: map[*conn]struct{}{}}
	var silent *conn
	for _, word := range []string{"", "G"} {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		far.Write([]byte(word))
		c := &conn{Conn: near, machine: clientconn.Accepted(-1)}
		if s.conns[c] = struct{}{}; word == "" {
			silent = c
		} else if exchange.Until(c.requestPending) != "" {
			t.Fatal("the byte does not come")
		}
	}
	if got := s.evictionCandidate(time.Now()); got != silent {
		t.Errorf("want %+v, got %+v", silent, got)
	}
	delete(s.conns, silent)
	if got := s.evictionCandidate(time.Now()); got != nil {
		t.Errorf("want none, got %+v", got)
	}
}
