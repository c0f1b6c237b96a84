package ingress

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
)

// TestExchanges plays the scripted clients and backends of testdata against a server with a limit of two connections.
func TestExchanges(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "server")
		s, pool := newTestServer(decision.Settings{
			Gateways:    1,
			MaxAttempts: 1,
			MayCancel:   true,
			Classes:     []decision.Class{sendClass, readClass},
			Plans:       []decision.Plan{plusPlan},
		}, func() string { return p.Addr("server") }, 2, 2)
		meter := &recordingMeter{}
		s.Meter = meter
		l := listen(t)
		go s.Serve(l)
		p.Target = l.Addr().String()
		p.Hooks["metered"] = func(text string) string { // records since the last call
			if failure := exchange.Until(func() bool { return meter.text() == text }); failure != "" {
				return meter.text()
			}
			meter.clear()
			return text
		}
		p.Hooks["executes-from-head"] = func(string) string { // sets a dialect whose servers begin with the head
			pool.Dialect.ExecutesFromHead = true
			return ""
		}
		addLifecycleHooks(p, s)
		addConnectionHooks(p, s)
		p.Play(script)
	})
}

// until returns a hook that waits until a condition is true. The condition is evaluated with the server's mutex held.
func until(s *Server, condition func() bool) func(string) string {
	return func(string) string {
		return exchange.Until(func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return condition()
		})
	}
}

// addLifecycleHooks adds hooks for the events of the process's life cycle.
func addLifecycleHooks(p *exchange.Player, s *Server) {
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
		return until(s, func() bool { return s.lifecycle.Phase() == decision.Closing })("")
	}
}

// addConnectionHooks adds hooks that sweep timeouts and that check the states of the connections.
func addConnectionHooks(p *exchange.Player, s *Server) {
	p.Hooks["sweep-later"] = func(later string) string {
		d, _ := time.ParseDuration(later)
		s.sweepAt(time.Now().Add(d))
		return later
	}
	// inState returns a hook that waits until as many connections as the script says are in a state.
	inState := func(state clientconn.State) func(string) string {
		return func(want string) string {
			failure := until(s, func() bool {
				n := 0
				for c := range s.conns {
					if c.machine.State() == state {
						n++
					}
				}
				return strconv.Itoa(n) == want
			})("")
			return want + failure
		}
	}
	p.Hooks["idle"] = inState(clientconn.Idle)
	p.Hooks["reading"] = inState(clientconn.ReadingHead)
	p.Hooks["taking"] = inState(clientconn.Uploading)
	p.Hooks["gone"] = until(s, func() bool { return len(s.conns) == 0 && len(s.ids) == 0 })
	p.Hooks["waiting"] = until(s, func() bool { return s.waiting > 0 })
	p.Hooks["open"] = func(string) string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return strconv.Itoa(len(s.conns))
	}
}

// recordingMeter is a Meter that stores its records in the notation of the scripts in testdata.
type recordingMeter struct {
	mu      sync.Mutex // guards the fields below
	seq     uint64
	records []string
}

func (rm *recordingMeter) Sent(t usage.Request) uint64 {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	rm.seq++
	quota := "inside"
	if t.OverQuota {
		quota = "beyond"
	}
	rm.records = append(rm.records, fmt.Sprintf("sent %s %s %s %d %s", t.Member, t.Plan, t.Class, t.Units, quota))
	return rm.seq
}

func (rm *recordingMeter) Ended(seq uint64, a usage.Arrival) {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	rm.records = append(rm.records, fmt.Sprintf("%d %v", seq, a))
}

func (rm *recordingMeter) text() string {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	return strings.Join(rm.records, "; ")
}

func (rm *recordingMeter) clear() {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	rm.records = nil
}

// A connection on which bytes of a request have arrived must not be evicted, even if they have not been read yet: the
// request would be lost.
func TestEvictionSparesPendingRequests(t *testing.T) {
	l := listen(t)
	s := &Server{base: time.Now(), conns: map[*conn]struct{}{}}
	accept := func(sent string) *conn {
		client := dial(t, l)
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { accepted.Close() })
		client.Write([]byte(sent))
		c := &conn{Conn: accepted, machine: clientconn.Accepted(-1)}
		s.conns[c] = struct{}{}
		return c
	}
	silent, pending := accept(""), accept("G")
	if exchange.Until(pending.requestPending) != "" {
		t.Fatal("the byte of the pending request did not arrive")
	}
	if got := s.evictionCandidate(time.Now()); got != silent {
		t.Errorf("candidate %p, want the silent connection %p", got, silent)
	}
	delete(s.conns, silent)
	if got := s.evictionCandidate(time.Now()); got != nil {
		t.Errorf("candidate %p, want none", got)
	}
}
