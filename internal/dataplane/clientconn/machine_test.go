package clientconn

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
)

// runScript runs a machine through the steps of a script and returns what differs from an open connection with legal
// transitions, in the order of the steps. A step is one of:
//
//   - +N: N seconds pass;
//   - the name of a state, which the machine enters;
//   - wait and got=N: the server waits for a chunk of a body, and a chunk of N bytes arrives;
//   - close, timeout, last and last-crowded: a call of Close, TimeoutCode or CloseAfterAnswer;
//   - drain: connections are not kept open from now on;
//   - pending: bytes of a request have arrived.
func runScript(t *testing.T, m *Machine, script string) string {
	t.Helper()
	var results []string
	result := func(values ...any) { results = append(results, fmt.Sprint(values...)) }
	now, keepOpen := decision.Seconds(0), true
	for _, step := range strings.Fields(script) {
		switch {
		case strings.HasPrefix(step, "+"):
			var seconds decision.Seconds
			scan(t, step, "+%g", &seconds)
			now += seconds
		case step == "wait":
			m.AwaitBody(now)
		case strings.HasPrefix(step, "got="):
			var n int
			scan(t, step, "got=%d", &n)
			m.BodyReceived(now, n)
		case step == "close":
			result(fmt.Sprintf("%+v", m.Close("x")))
		case step == "timeout":
			result("timeout:", m.TimeoutCode(now))
		case step == "last", step == "last-crowded":
			result("last:", m.CloseAfterAnswer(step == "last-crowded", keepOpen))
		case step == "drain":
			keepOpen = false
			result("drained:", m.ClosesOnDrain())
		case step == "pending":
			m.SetRequestPending()
		default:
			results = append(results, enter(t, m, step, now, keepOpen)...)
		}
	}
	if m.CloseCode() != "" {
		result(m.CloseCode())
	}
	return strings.Join(results, ", ")
}

// enter enters a state by its name and returns the results of Enter that differ from those of an open connection and a
// legal transition.
func enter(t *testing.T, m *Machine, name string, now decision.Seconds, keepOpen bool) (results []string) {
	t.Helper()
	state := slices.Index(stateNames[:], name)
	if state < 0 {
		t.Fatalf("unknown step %q", name)
	}
	open, resumeReads, err := m.Enter(State(state), now, keepOpen)
	if !open {
		results = append(results, name+" closed")
	}
	if resumeReads {
		results = append(results, name+" resumed")
	}
	if errors.Is(err, ErrIllegalTransition) {
		results = append(results, name+" illegal")
	}
	return results
}

func scan(t *testing.T, step, format string, value any) {
	t.Helper()
	if _, err := fmt.Sscanf(step, format, value); err != nil {
		t.Fatalf("step %q: %v", step, err)
	}
}

// A connection that makes no progress exceeds its timeout and not before, a request that has begun to arrive is served
// although its connection is being closed, and illegal transitions are reported.
func TestMachine(t *testing.T) {
	for _, tc := range []struct{ name, script, want string }{
		{
			"a request and the next",
			"head deciding last answering idle head",
			"last:false",
		},
		{
			"silent",
			"+1.9 timeout +0.2 timeout",
			"timeout:, timeout:client-silent",
		},
		{
			"idle",
			"head deciding answering idle +1.9 timeout +0.2 timeout",
			"timeout:, timeout:client-idle",
		},
		{
			"a head of 2 s from connecting",
			"+0.5 head +2 timeout +0.2 timeout",
			"timeout:, timeout:client-slow-request",
		},
		{
			"a later head has its own 2 s",
			"head deciding answering idle +1.9 head +2.5 timeout +0.2 timeout",
			"timeout:, timeout:client-slow-request",
		},
		{
			"a body at 64 kB/s",
			"head body wait +1 got=65536 wait +1 got=65536 wait +1 timeout got=65536 wait +1 timeout",
			"timeout:, timeout:",
		},
		{
			"a body that is too slow",
			"head body wait +1 got=1 wait +1 got=1 wait +0.5 timeout",
			"timeout:client-slow-request",
		},
		{
			"a body that stalls",
			"head body wait +1 got=65536 wait +2.4 timeout +0.2 timeout",
			"timeout:, timeout:client-slow-request",
		},
		{
			"a streamed body may arrive in chunks of any size",
			"head body deciding uploading wait got=1000000 wait +9 timeout +2 timeout",
			"timeout:, timeout:client-slow-request",
		},
		{
			"the client is not late while the server is slow",
			"head body deciding uploading wait got=32768 +60 timeout wait +2 timeout",
			"timeout:, timeout:",
		},
		{
			"an answer that is not read",
			"head deciding answering +9 answering +9 timeout +2 timeout",
			"timeout:, timeout:client-slow-reader",
		},
		{
			"closed while idle",
			"close idle",
			"{Reads:true Writes:false}, idle closed, idle illegal, x",
		},
		{
			"closed as a request begins: it is served, as the last",
			"close head deciding last answering idle",
			"{Reads:true Writes:false}, head resumed, deciding resumed, last:true, idle closed, x",
		},
		{
			"closed while an answer is written",
			"head deciding answering close",
			"{Reads:true Writes:true}, x",
		},
		{
			"a drain",
			"head deciding drain last answering idle",
			"drained:false, last:true, idle closed, client-drain",
		},
		{
			"a drain while idle",
			"drain",
			"drained:true",
		},
		{
			"a crowded server",
			"head deciding last-crowded answering idle",
			"last:true, idle closed, client-room",
		},
		{
			"an answer before the body is uploaded",
			"head body deciding uploading answering discarding wait got=9 idle",
			"",
		},
		{
			"an answer without a request",
			"answering idle",
			"answering illegal, idle closed, client-illegal",
		},
		{
			"a second request before the answer to the first",
			"head deciding head",
			"head resumed, head illegal, client-illegal",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := Accepted(0)
			if diff := cmp.Diff(tc.want, runScript(t, &m, tc.script)); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}

// The connections in evictable are closed to make room for others, in this order, and those in kept never are.
func TestEvictable(t *testing.T) {
	machine := func(since decision.Seconds, script string) *Machine {
		m := Accepted(since)
		runScript(t, &m, script)
		m.since = since
		return &m
	}
	const now = 100.0
	evictable := []*Machine{
		machine(99, "head"), // slow
		machine(99.99, ""),  // silent
		machine(99.999, "head deciding answering lingering"), // answered for the last time
		machine(40, "head deciding answering idle"),          // idle for long
		machine(99, "head deciding answering idle"),          // idle
	}
	for i, m := range evictable {
		if !m.Evictable(now) {
			t.Errorf("connection %d, %v, is not evictable", i, m.State())
		}
		for j, other := range evictable {
			if got, want := m.EvictBefore(other, now), i < j; i != j && got != want {
				t.Errorf("connection %d evicted before %d: got %v, want %v", i, j, got, want)
			}
		}
	}
	kept := []*Machine{
		machine(99.99, "head"),
		machine(99, "pending"),
		machine(99, "head deciding answering idle head"),
		machine(0, "head deciding"),
		machine(0, "head body deciding uploading"),
		machine(0, "head deciding answering"),
		machine(0, "head deciding answering idle close"),
	}
	for i, m := range kept {
		if m.Evictable(now) {
			t.Errorf("connection %d, %v, is evictable", i, m.State())
		}
	}
}
