package clientconn

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
)

// do takes a connection through steps, some seconds apart, and writes down what each comes to. A word is a state that is
// entered, or: wait, got=N, end, due, last, last-crowded, drain (connections are not kept from now on), asks.
func do(t *testing.T, c *Machine, script string) string {
	t.Helper()
	var out []string
	now, keep := decision.Seconds(0), true
	for _, word := range strings.Fields(script) {
		var n int
		var d decision.Seconds
		switch {
		case strings.HasPrefix(word, "+"):
			fmt.Sscanf(word, "+%g", &d)
			now += d
		case word == "wait":
			c.AwaitBody(now)
		case strings.HasPrefix(word, "got="):
			fmt.Sscanf(word, "got=%d", &n)
			c.BodyReceived(now, n)
		case word == "end":
			out = append(out, fmt.Sprintf("%+v", c.Close("x")))
		case word == "due":
			out = append(out, "due:"+c.TimeoutCode(now))
		case word == "last", word == "last-crowded":
			out = append(out, fmt.Sprint("last:", c.CloseAfterAnswer(word == "last-crowded", keep)))
		case word == "drain":
			keep = false
			out = append(out, fmt.Sprint("drains:", c.ClosesOnDrain()))
		case word == "asks":
			c.MarkRequestPending()
		default:
			i := 0
			for stateNames[i] != word {
				i++
			}
			on, freed, err := c.Enter(State(i), now, keep)
			said := fmt.Sprint(word, " ", on)
			if freed {
				said += " freed"
			}
			if errors.Is(err, ErrStep) {
				said += " illegal"
			}
			out = append(out, said)
		}
	}
	if c.CloseCode() != "" {
		out = append(out, c.CloseCode())
	}
	return strings.Join(out, ", ")
}

func TestConn(t *testing.T) {
	for _, tc := range []struct{ name, script, want string }{
		{"a request and the next", "head deciding last answering idle head", "head true, deciding true, last:false, answering true, idle true, head true"},
		{"silent", "+1.9 due +0.2 due", "due:, due:client-silent"},
		{"idle", "head deciding answering idle +1.9 due +0.2 due", "head true, deciding true, answering true, idle true, due:, due:client-idle"},
		{"a head of 2 s from connecting", "+0.5 head +2 due +0.2 due", "head true, due:, due:client-slow-request"},
		{"a later head has its own 2 s", "head deciding answering idle +1.9 head +2.5 due +0.2 due",
			"head true, deciding true, answering true, idle true, head true, due:, due:client-slow-request"},
		{"a body at 64 kB/s", "head body wait +1 got=65536 wait +1 got=65536 wait +1 due got=65536 wait +1 due", "head true, body true, due:, due:"},
		{"a body that trickles", "head body wait +1 got=1 wait +1 got=1 wait +0.5 due", "head true, body true, due:client-slow-request"},
		{"a body that stalls", "head body wait +1 got=65536 wait +2.4 due +0.2 due", "head true, body true, due:, due:client-slow-request"},
		{"a long one may come in pieces of any size", "head body deciding uploading wait got=1000000 wait +9 due +2 due",
			"head true, body true, deciding true, uploading true, due:, due:client-slow-request"},
		{"while the server takes its time the client is not late", "head body deciding uploading wait got=32768 +60 due wait +2 due",
			"head true, body true, deciding true, uploading true, due:, due:"},
		{"an answer that is not read", "head deciding answering +9 answering +9 due +2 due", "head true, deciding true, answering true, answering true, due:, due:client-slow-reader"},
		{"ended while idle", "end idle", "{Reads:true Writes:false}, idle false illegal, x"},
		{"ended as a request begins: taken is taken, and the last", "end head deciding last answering idle",
			"{Reads:true Writes:false}, head true freed, deciding true freed, last:true, answering true, idle false, x"},
		{"ended under an answer", "head deciding answering end", "head true, deciding true, answering true, {Reads:true Writes:true}, x"},
		{"a drain", "head deciding drain last answering idle", "head true, deciding true, drains:false, last:true, answering true, idle false, client-drain"},
		{"a drain while idle", "drain", "drains:true"},
		{"a crowd", "head deciding last-crowded answering idle", "head true, deciding true, last:true, answering true, idle false, client-room"},
		{"an answer before the body is up", "head body deciding uploading answering skipping wait got=9 idle",
			"head true, body true, deciding true, uploading true, answering true, skipping true, idle true"},
		{"an answer to nothing", "answering idle", "answering true illegal, idle false, client-illegal"},
		{"a second request under the first", "head deciding head", "head true, deciding true, head true freed illegal, client-illegal"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := Accepted(0)
			if diff := cmp.Diff(tc.want, do(t, &c, tc.script)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// What makes room first, from what does so last, and what never does.
func TestSpare(t *testing.T) {
	at := func(since decision.Seconds, script string) *Machine {
		c := Accepted(since)
		do(t, &c, script)
		c.since = since
		return &c
	}
	const now = 100.0
	all := []*Machine{
		at(99, "head"), at(99.99, ""), at(99.999, "head deciding answering lingering"), // slow, silent, refused
		at(40, "head deciding answering idle"), at(99, "head deciding answering idle"), // long idle, idle
	}
	kept := []*Machine{
		at(99.99, "head"), at(99, "asks"), at(99, "head deciding answering idle head"), at(0, "head deciding"),
		at(0, "head body deciding uploading"), at(0, "head deciding answering"), at(0, "head deciding answering idle end"),
	}
	for i, c := range all {
		if !c.Evictable(now) {
			t.Errorf("%d is not spared", i)
		}
		for j, other := range all {
			if i != j && c.EvictBefore(other, now) != (i < j) {
				t.Errorf("%d before %d: %v", i, j, c.EvictBefore(other, now))
			}
		}
	}
	for i, c := range kept {
		if c.Evictable(now) {
			t.Errorf("%d, %v, makes room", i, c.State())
		}
	}
}
