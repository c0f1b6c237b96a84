package invariants

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/settings"
)

// clean is a log in which no rule is broken: a request that was moved once, one that was refused, and a leave.
func clean() *Log {
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

func TestJudgesEachRule(t *testing.T) {
	is := is.New(t)
	is.Equal(Check(clean()), nil)
	for _, c := range []struct {
		name  string
		rule  string // the only one that is broken; empty: none
		spoil func(l *Log)
	}{
		{"old configuration handed out", "CONTACT", func(l *Log) {
			l.Partitions = []Partition{{"c", 5, 13}}
			l.ControlAnswers = []ControlAnswer{{"c", "configuration read", 7.1, 7.2, 200}}
		}},
		{"an order refused by who is not sure", "CONTACT", func(l *Log) {
			l.Partitions = []Partition{{"c", 5, 13}}
			l.ControlAnswers = []ControlAnswer{{"c", "order", 7.1, 7.2, 409}}
		}},
		{"neither yes nor no, another machine, before and after", "", func(l *Log) {
			l.Partitions = []Partition{{"c", 5, 13}}
			l.ControlAnswers = []ControlAnswer{{"c", "order", 7.1, 7.2, 503}, {"c", "order", 7.1, 7.2, 429},
				{"c", "order", 7.1, 8.2, 0}, {"d", "order", 7.1, 7.2, 200},
				{"c", "order", 6.9, 7.0, 200}, {"c", "order", 12.9, 13.1, 200}}
		}},
		{"a second run", "TWICE", func(l *Log) { l.Arrivals = append(l.Arrivals, l.Arrivals[1]) }},
		{"a second run that may be", "", func(l *Log) { l.Arrivals = append(l.Arrivals, l.Arrivals[0]) }},
		{"refused and run", "REFUSED", func(l *Log) { l.Arrivals[2].Started = 21 }},
		{"refused and run later", "REFUSED", func(l *Log) { l.Arrivals[2].At, l.Arrivals[2].Started = 28, 28 }},
		{"no seal", "MIXED", func(l *Log) { l.Attempts[0].Seal = "" }},
		{"another's answer", "MIXED",
			func(l *Log) { l.Attempts[0].AnswerID, l.Attempts[0].Seal, l.Attempts[0].Sum = "b", "s2", 8 }},
		{"half a body", "MIXED", func(l *Log) { l.Attempts[0].Sum = 1 }},
		{"a failure made a success", "MIXED", func(l *Log) { l.Arrivals[0].Status = 500 }},
		{"bytes behind", "MIXED", func(l *Log) { l.Attempts[0].Surplus = true }},
		{"no answer", "MIXED", func(l *Log) { l.Attempts[0].End = Malformed }},
		{"no answer from the server either", "", func(l *Log) { l.Attempts[0].End, l.Arrivals[0].Aborted = Malformed, true }},
		{"nobody's request", "UNASKED", func(l *Log) { l.Arrivals[0].ID, l.Attempts[0].End = "x", Truncated }},
		{"another body", "UNASKED", func(l *Log) { l.Arrivals[1].Body++ }},
		{"another tenant", "UNASKED", func(l *Log) { l.Arrivals[1].Tenant = "u" }},
		{"a service never named", "ROUTE", func(l *Log) { l.Arrivals[1].Service = "three" }},
		{"a key never held", "ROUTE", func(l *Log) { l.Attempts[1].Key, l.Arrivals[1].Tenant = "z", "" }},
		{"too early", "ROUTE", func(l *Log) {
			l.Attempts[0].Sent, l.Arrivals[0].At, l.Arrivals[0].Started, l.Arrivals[0].Service = 9, 9, 9, "two"
		}},
		{"late", "CONFIG", func(l *Log) { l.Arrivals[1].Service = "one" }},
		{"late, by a machine out of touch", "", func(l *Log) {
			l.Arrivals[1].Service = "one"
			l.Faults = []Fault{{Machine: "e", From: 19.5, To: 19.6}}
		}},
		{"late, while the core is unsettled", "", func(l *Log) {
			l.Arrivals[1].Service = "one"
			l.Faults = []Fault{{Machine: "c", Core: true, From: 19.5, To: 19.6}}
		}},
		{"later than that allows", "CONFIG", func(l *Log) {
			l.Arrivals[1].Service, l.Attempts[1].Sent, l.Arrivals[1].Started, l.Attempts[1].Done = "one", 21.5, 21.6, 21.7
			l.Faults = []Fault{{Machine: "c", Core: true, From: 21, To: 21.1}}
		}},
		{"refused though it is there", "CONFIG", func(l *Log) { l.Attempts[2].Status = 404 }},
		{"refused by a server", "", func(l *Log) { l.Attempts[0].Status, l.Arrivals[0].Status = 404, 404 }},
		{"back", "CONFIG", func(l *Log) {
			l.Versions[1].Acked = Never // not due anywhere
			l.ConfigReads[0].Items["routes/r"] = map[string]any{"backend": "two"}
			again, run := l.Attempts[0], l.Arrivals[0]
			again.ID, again.AnswerID, again.Seal, again.Sent, again.Done = "d", "d", "s3", 25, 25.1
			run.ID, run.Seal, run.Instance, run.At, run.Started = "d", "s3", "i3", 25, 25.01
			l.Attempts, l.Arrivals = append(l.Attempts, again), append(l.Arrivals, run)
		}},
		{"back, in another life", "", func(l *Log) {
			l.Versions[1].Acked = Never
			l.ProcessStarts = append(l.ProcessStarts, ProcessStart{"e", 24})
			again, run := l.Attempts[0], l.Arrivals[0]
			again.ID, again.AnswerID, again.Seal, again.Sent, again.Done = "d", "d", "s3", 25, 25.1
			run.ID, run.Seal, run.Instance, run.At, run.Started = "d", "s3", "i3", 25, 25.01
			l.Attempts, l.Arrivals = append(l.Attempts, again), append(l.Arrivals, run)
		}},
		{"invalid and acknowledged", "CONFIG", func(l *Log) {
			l.Versions = append(l.Versions,
				Version{Item: "routes/q", Number: 9, Sent: 5, Acked: 6, Route: &Route{Host: "q", Prefix: "/"}})
		}},
		{"refused and in force", "CONFIG", func(l *Log) {
			l.Versions = append(l.Versions,
				Version{Item: "routes/r", Number: 9, Valid: true, Refused: true, Sent: 5, Acked: Never,
					Route: &Route{Host: "h", Prefix: "/p/", Services: []string{"three"}}})
			l.Arrivals[1].Service = "three"
		}},
		{"lost", "CONFIG", func(l *Log) { l.ConfigReads[0].Items["routes/r"] = map[string]any{"backend": "one"} }},
		{"lost after the closing fault", "LOST", func(l *Log) { delete(l.ConfigReads[0].Items, "routes/r"); l.Closing = 29 }},
		{"dropped and there", "CONFIG", func(l *Log) {
			l.Versions = append(l.Versions,
				Version{Item: "customers/t", Number: 4, Valid: true, Dropped: true, Sent: 25, Acked: 26})
		}},
		{"nothing read back", "CONFIG", func(l *Log) { l.ConfigReads = nil }},
		{"after a leave", "DRAIN", func(l *Log) {
			l.Arrivals = append(l.Arrivals,
				Arrival{ID: "c", Instance: "i1", Service: "two", At: 21, Started: Never, Status: 503})
		}},
		{"after a leave, turned away", "", func(l *Log) {
			l.Arrivals = append(l.Arrivals,
				Arrival{ID: "c", Instance: "i1", Service: "two", At: 21, Started: Never, Status: 421})
		}},
		{"cut off after SIGTERM", "LOST", func(l *Log) {
			l.Terminations = []Termination{{"e", 20}}
			l.Attempts[1].End, l.Attempts[1].Status = Truncated, 0
		}},
		{"cut off by the server", "", func(l *Log) {
			l.Terminations = []Termination{{"e", 20}}
			l.Attempts[1].End, l.Attempts[1].Status, l.Arrivals[1].Aborted = Truncated, 0, true
		}},
		{"an answer in the server's place", "LOST", func(l *Log) {
			l.Terminations = []Termination{{"e", 20}}
			l.Attempts[1].Status, l.Attempts[1].Seal, l.Arrivals[1].End = 502, "", 20.3
		}},
		{"too many further arrivals", "BUDGET", func(l *Log) {
			for range 3 {
				l.Arrivals = append(l.Arrivals, l.Arrivals[2])
			}
		}},
		{"as many as may be", "", func(l *Log) { l.Arrivals = append(l.Arrivals, l.Arrivals[2], l.Arrivals[2]) }},
		{"over the quota", "QUOTA", func(l *Log) {
			for n := range 9 { // 5 s of 1/s, a tenth beyond and 2 are 7.5
				t, a := l.Attempts[0], l.Arrivals[0]
				t.ID = string(rune('m' + n))
				a.ID, t.AnswerID = t.ID, t.ID
				l.Attempts, l.Arrivals = append(l.Attempts, t), append(l.Arrivals, a)
			}
		}},
		{"denied", "DENIED", func(l *Log) {
			for n := range 7 {
				t := l.Attempts[0]
				t.ID, t.AnswerID, t.Status, t.Seal = string(rune('m'+n)), "", 413, ""
				l.Attempts = append(l.Attempts, t)
			}
		}},
		{"ended by itself", "FAULT", func(l *Log) { l.Exits = []Exit{{Process: "p", At: 3}} }},
	} {
		l := clean()
		c.spoil(l)
		var rules []string
		for _, b := range Check(l) {
			rules = append(rules, b.Rule)
		}
		slices.Sort(rules)
		rules = slices.Compact(rules)
		if c.rule == "" && len(rules) > 0 || c.rule != "" && !slices.Equal(rules, []string{c.rule}) {
			t.Errorf("%s: %v instead of %q: %v", c.name, rules, c.rule, Check(l))
		}
	}
}
