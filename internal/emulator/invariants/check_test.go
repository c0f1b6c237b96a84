package invariants

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/settings"
)

// correctRun is a log in which every invariant holds: a route that moves to another service, a request that is
// rejected, and a departure.
func correctRun() *Log {
	route := func(service string) *Route { return &Route{Host: "h", Prefix: "/p/", Services: []string{service}} }
	body := func(service string) any { return map[string]any{"backend": service} }
	return &Log{
		Bounds: settings.Bounds{
			Contact:     1,
			ConfigApply: 2,
			RevertSlack: 0.25,
			MaxStretch:  3,
			Drain:       1,
			Grace:       6,
			LossSlack:   0.2,
			RetryRatio:  0.2,
			RetryWindow: 10,
			RetrySlack:  2,
			QuotaWindow: 5,
			QuotaExcess: 0.1,
			QuotaSlack:  2,
		},
		Edges: []string{"e"},
		Attempts: []Attempt{
			{ID: "a", Class: "read", Edge: "e", Method: "GET", Host: "h", Target: "/p/1", Key: "k",
				Sent: 10, Done: 10.1, TimeLeft: 1, Status: 200, AnswerID: "a", Seal: "s1", Sum: 7},
			{ID: "b", Class: "set", Edge: "e", AtMostOnce: true, Method: "POST", Host: "h", Target: "/p/2", Key: "k",
				Body: 5, Sent: 20, Done: 20.1, TimeLeft: 1, Status: 200, AnswerID: "b", Seal: "s2", Sum: 8},
			{
				ID:         "c",
				Class:      "set",
				Edge:       "e",
				AtMostOnce: true,
				Method:     "POST",
				Host:       "h",
				Target:     "/p/3",
				Key:        "k",
				Sent:       21,
				Done:       21.1,
				TimeLeft:   1,
				Status:     503,
			},
		},
		Arrivals: []Arrival{
			{
				ID:       "a",
				Instance: "i1",
				Service:  "one",
				At:       10,
				Started:  10.01,
				End:      10.1,
				Method:   "GET",
				Host:     "h",
				Target:   "/p/1",
				Tenant:   "t",
				Status:   200,
				Seal:     "s1",
				Sum:      7,
			},
			{
				ID:       "b",
				Instance: "i2",
				Service:  "two",
				At:       20,
				Started:  20.01,
				End:      20.1,
				Method:   "POST",
				Host:     "h",
				Target:   "/p/2",
				Body:     5,
				Tenant:   "t",
				Status:   200,
				Seal:     "s2",
				Sum:      8,
			},
			{
				ID:       "c",
				Instance: "i2",
				Service:  "two",
				At:       21,
				Started:  Never,
				End:      21,
				Status:   503,
				Method:   "POST",
				Host:     "h",
				Target:   "/p/3",
				Tenant:   "t",
			},
		},
		Versions: []Version{
			{Item: "routes/r", Number: 1, Valid: true, Sent: 0, Acked: 1, Route: route("one"), Body: body("one")},
			{Item: "routes/r", Number: 3, Valid: true, Sent: 15, Acked: 16, Route: route("two"), Body: body("two")},
			{
				Item:   "customers/t",
				Number: 1,
				Valid:  true,
				Sent:   0,
				Acked:  1,
				Tenant: &Tenant{Name: "t", Keys: []string{"k"}, Rate: 1},
				Body:   "t",
			},
		},
		Departures:    []Departure{{Instance: "i1", At: 17, By: "c"}},
		ProcessStarts: []ProcessStart{{"e", 0}},
		ConfigReads:   []ConfigRead{{"c", 30, map[string]any{"routes/r": body("two"), "customers/t": "t"}}},
		Closing:       Never,
	}
}

func TestCheckCorrectRun(t *testing.T) {
	is := is.New(t)
	is.Equal(Check(correctRun()), nil)
}

func TestCheckEachRule(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   string // name of the only rule that is violated; empty if none is
		change func(l *Log)
	}{
		{"stale configuration read", "CONTACT", func(l *Log) {
			l.Partitions = []Partition{{"c", 5, 13}}
			l.ControlAnswers = []ControlAnswer{{"c", "configuration read", 7.1, 7.2, 200}}
		}},
		{"change rejected without a majority", "CONTACT", func(l *Log) {
			l.Partitions = []Partition{{"c", 5, 13}}
			l.ControlAnswers = []ControlAnswer{{"c", "order", 7.1, 7.2, 409}}
		}},
		{"indefinite answers, another machine, before and after", "", func(l *Log) {
			l.Partitions = []Partition{{"c", 5, 13}}
			l.ControlAnswers = []ControlAnswer{{"c", "order", 7.1, 7.2, 503}, {"c", "order", 7.1, 7.2, 429},
				{"c", "order", 7.1, 8.2, 0}, {"d", "order", 7.1, 7.2, 200},
				{"c", "order", 6.9, 7.0, 200}, {"c", "order", 12.9, 13.1, 200}}
		}},
		{"second execution", "TWICE", func(l *Log) { l.Arrivals = append(l.Arrivals, l.Arrivals[1]) }},
		{"second execution of an idempotent request", "", func(l *Log) {
			l.Arrivals = append(l.Arrivals, l.Arrivals[0])
		}},
		{"rejected and executed", "REFUSED", func(l *Log) { l.Arrivals[2].Started = 21 }},
		{"rejected and executed later", "REFUSED", func(l *Log) { l.Arrivals[2].At, l.Arrivals[2].Started = 28, 28 }},
		{"no seal", "MIXED", func(l *Log) { l.Attempts[0].Seal = "" }},
		{"answer to another request", "MIXED",
			func(l *Log) { l.Attempts[0].AnswerID, l.Attempts[0].Seal, l.Attempts[0].Sum = "b", "s2", 8 }},
		{"truncated body", "MIXED", func(l *Log) { l.Attempts[0].Sum = 1 }},
		{"failure turned into success", "MIXED", func(l *Log) { l.Arrivals[0].Status = 500 }},
		{"surplus bytes", "MIXED", func(l *Log) { l.Attempts[0].Surplus = true }},
		{"malformed answer", "MIXED", func(l *Log) { l.Attempts[0].End = Malformed }},
		{"malformed answer from the server", "", func(l *Log) {
			l.Attempts[0].End = Malformed
			l.Arrivals[0].Aborted = true
		}},
		{"request that nobody sent", "UNASKED", func(l *Log) {
			l.Arrivals[0].ID = "x"
			l.Attempts[0].End = Truncated
		}},
		{"changed body", "UNASKED", func(l *Log) { l.Arrivals[1].Body++ }},
		{"wrong tenant", "UNASKED", func(l *Log) { l.Arrivals[1].Tenant = "u" }},
		{"service in no version of the route", "ROUTE", func(l *Log) { l.Arrivals[1].Service = "three" }},
		{"key of no tenant", "ROUTE", func(l *Log) { l.Attempts[1].Key, l.Arrivals[1].Tenant = "z", "" }},
		{"version not sent yet", "ROUTE", func(l *Log) {
			l.Attempts[0].Sent = 9
			l.Arrivals[0].At, l.Arrivals[0].Started = 9, 9
			l.Arrivals[0].Service = "two"
		}},
		{"superseded version", "CONFIG", func(l *Log) { l.Arrivals[1].Service = "one" }},
		{"superseded version, machine out of contact", "", func(l *Log) {
			l.Arrivals[1].Service = "one"
			l.Faults = []Fault{{Machine: "e", From: 19.5, To: 19.6}}
		}},
		{"superseded version, control nodes unstable", "", func(l *Log) {
			l.Arrivals[1].Service = "one"
			l.Faults = []Fault{{Machine: "c", Core: true, From: 19.5, To: 19.6}}
		}},
		{"superseded version, beyond the stretch", "CONFIG", func(l *Log) {
			l.Arrivals[1].Service, l.Arrivals[1].Started = "one", 21.6
			l.Attempts[1].Sent, l.Attempts[1].Done = 21.5, 21.7
			l.Faults = []Fault{{Machine: "c", Core: true, From: 21, To: 21.1}}
		}},
		{"rejected though the route exists", "CONFIG", func(l *Log) { l.Attempts[2].Status = 404 }},
		{"rejected by a server", "", func(l *Log) { l.Attempts[0].Status, l.Arrivals[0].Status = 404, 404 }},
		{"rolled back", "CONFIG", func(l *Log) {
			l.Versions[1].Acked = Never // so that no machine must have applied it
			l.ConfigReads[0].Items["routes/r"] = map[string]any{"backend": "two"}
			runByOldService(l)
		}},
		{"rolled back by another process", "", func(l *Log) {
			l.Versions[1].Acked = Never
			l.ProcessStarts = append(l.ProcessStarts, ProcessStart{"e", 24})
			runByOldService(l)
		}},
		{"invalid version acknowledged", "CONFIG", func(l *Log) {
			l.Versions = append(l.Versions,
				Version{Item: "routes/q", Number: 9, Sent: 5, Acked: 6, Route: &Route{Host: "q", Prefix: "/"}})
		}},
		{"rejected version in force", "CONFIG", func(l *Log) {
			l.Versions = append(l.Versions,
				Version{Item: "routes/r", Number: 9, Valid: true, Refused: true, Sent: 5, Acked: Never,
					Route: &Route{Host: "h", Prefix: "/p/", Services: []string{"three"}}})
			l.Arrivals[1].Service = "three"
		}},
		{"acknowledged version lost", "CONFIG", func(l *Log) {
			l.ConfigReads[0].Items["routes/r"] = map[string]any{"backend": "one"}
		}},
		{"acknowledged version lost after the closing fault", "LOST", func(l *Log) {
			delete(l.ConfigReads[0].Items, "routes/r")
			l.Closing = 29
		}},
		{"dropped item present", "CONFIG", func(l *Log) {
			l.Versions = append(l.Versions,
				Version{Item: "customers/t", Number: 4, Valid: true, Dropped: true, Sent: 25, Acked: 26})
		}},
		{"nothing read back", "CONFIG", func(l *Log) { l.ConfigReads = nil }},
		{"arrival after a departure", "DRAIN", func(l *Log) {
			l.Arrivals = append(l.Arrivals,
				Arrival{ID: "c", Instance: "i1", Service: "two", At: 21, Started: Never, Status: 503})
		}},
		{"arrival after a departure, rejected with 421", "", func(l *Log) {
			l.Arrivals = append(l.Arrivals,
				Arrival{ID: "c", Instance: "i1", Service: "two", At: 21, Started: Never, Status: 421})
		}},
		{"truncated after SIGTERM", "LOST", func(l *Log) {
			l.Terminations = []Termination{{"e", 20}}
			l.Attempts[1].End, l.Attempts[1].Status = Truncated, 0
		}},
		{"truncated by the server", "", func(l *Log) {
			l.Terminations = []Termination{{"e", 20}}
			l.Attempts[1].End, l.Attempts[1].Status = Truncated, 0
			l.Arrivals[1].Aborted = true
		}},
		{"answer in the server's place after SIGTERM", "LOST", func(l *Log) {
			l.Terminations = []Termination{{"e", 20}}
			l.Attempts[1].Status, l.Attempts[1].Seal = 502, ""
			l.Arrivals[1].End = 20.3
		}},
		{"retries beyond the budget", "BUDGET", func(l *Log) {
			for range 3 {
				l.Arrivals = append(l.Arrivals, l.Arrivals[2])
			}
		}},
		{"retries within the budget", "", func(l *Log) {
			l.Arrivals = append(l.Arrivals, l.Arrivals[2], l.Arrivals[2])
		}},
		{"over quota", "QUOTA", func(l *Log) {
			for n := range 9 { // the limit is 7.5: 5 s at 1 per second, a tenth more, and 2 of slack
				t, a := l.Attempts[0], l.Arrivals[0]
				t.ID = string(rune('m' + n))
				a.ID, t.AnswerID = t.ID, t.ID
				l.Attempts, l.Arrivals = append(l.Attempts, t), append(l.Arrivals, a)
			}
		}},
		{"proper requests denied", "DENIED", func(l *Log) {
			for n := range 7 {
				t := l.Attempts[0]
				t.ID, t.AnswerID, t.Status, t.Seal = string(rune('m'+n)), "", 413, ""
				l.Attempts = append(l.Attempts, t)
			}
		}},
		{"process exited by itself", "FAULT", func(l *Log) { l.Exits = []Exit{{Process: "p", At: 3}} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := correctRun()
			test.change(l)
			violations := Check(l)
			var want []string
			if test.rule != "" {
				want = []string{test.rule}
			}
			if got := brokenRules(violations); !slices.Equal(got, want) {
				t.Errorf("broken rules: got %v, want %v; violations: %v", got, want, violations)
			}
		})
	}
}

// runByOldService adds a request that the route's first service runs after the second service was observed.
func runByOldService(l *Log) {
	attempt, arrival := l.Attempts[0], l.Arrivals[0]
	attempt.ID, attempt.AnswerID, attempt.Seal = "d", "d", "s3"
	attempt.Sent, attempt.Done = 25, 25.1
	arrival.ID, arrival.Seal, arrival.Instance = "d", "s3", "i3"
	arrival.At, arrival.Started = 25, 25.01
	l.Attempts = append(l.Attempts, attempt)
	l.Arrivals = append(l.Arrivals, arrival)
}

// brokenRules returns the names of the rules that were violated, each once.
func brokenRules(violations []Violation) (rules []string) {
	for _, v := range violations {
		rules = append(rules, v.Rule)
	}
	slices.Sort(rules)
	return slices.Compact(rules)
}
