package testcluster

import (
	"testing"
	"time"

	"mulleinrouter/internal/emulator/fakes"
)

// evaluationOf returns an evaluation of requests of one member, one for each arrival time after the start of the load.
func evaluationOf(member int, units float64, arrivals ...time.Duration) *evaluation {
	startedAt := time.Unix(1000, 0)
	e := &evaluation{
		cluster:  &cluster{Options: Options{Members: 8, Seconds: 20}, loadStartedAt: startedAt},
		requests: map[string]*request{},
		arrivals: map[string]fakes.Arrival{},
		report:   &Report{},
	}
	for n, after := range arrivals {
		id := string(rune('a' + n))
		e.requests[id] = &request{member: member, units: units, latency: after}
		e.arrivals[id] = fakes.Arrival{First: startedAt.Add(after), Times: 1, Runs: 1}
	}
	return e
}

func TestPeakLimitUse(t *testing.T) {
	available := plus.LimitBurst + plus.LimitSlack + limitTimeSlack*plus.LimitRate
	for _, test := range []struct {
		name   string
		member int
		after  []time.Duration
		want   float64
	}{
		{"no arrival", 1, nil, 0},
		{"one request", 1, []time.Duration{time.Second}, 90 / available},
		{"the second drains before the third", 1, []time.Duration{0, 0, 10 * time.Second}, 180 / available},
		{"partly drained", 1, []time.Duration{0, time.Second}, (180 - plus.LimitRate) / available},
		{"a member without a rate limit", 2, []time.Duration{0, 0}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := evaluationOf(test.member, 90, test.after...).peakLimitUse(); got != test.want {
				t.Errorf("got %g, want %g", got, test.want)
			}
		})
	}
}

func TestQuotaUse(t *testing.T) {
	e := evaluationOf(6, 30, 5*time.Second, 12*time.Second, 19*time.Second, 21*time.Second)
	everyone := func(int) bool { return true }
	if got := e.quotaUse(everyone); got != 0 {
		t.Errorf("without a change of plans: got %g, want 0", got)
	}
	changedAt := e.cluster.loadStartedAt.Add(6 * time.Second) // measured: members 6 and 7 from 10 s to 20 s
	e.cluster.changedAt.Store(&changedAt)
	if got, want := e.quotaUse(everyone), 60.0/(2*10*basic.Rate); got != want {
		t.Errorf("after a change of plans: got %g, want %g", got, want)
	}
}

func TestCountArrivals(t *testing.T) {
	e := evaluationOf(2, 1.5, 0, time.Second, 2*time.Second)
	e.requests["a"].atMostOnce = true
	e.addArrivals(map[string]fakes.Arrival{
		"a": {First: e.cluster.loadStartedAt.Add(time.Minute), Times: 1, Runs: 1}, // at a second server
		"b": {First: e.cluster.loadStartedAt.Add(time.Minute), Times: 1, Runs: 1},
		"x": {Times: 1},
	})
	e.countArrivals()
	if got, want := e.report.ArrivedUnits, 4.5; got != want {
		t.Errorf("units: got %g, want %g", got, want)
	}
	if got, want := e.report.ArrivedRequests, 3; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
	if got, want := e.report.ExecutedTwice, 1; got != want {
		t.Errorf("executed twice: got %d, want %d", got, want)
	}
	want := "a quote server received a request that no client sent: x"
	if got := e.report.Problems; len(got) != 1 || got[0] != want {
		t.Errorf("problems: got %q, want %q", got, want)
	}
}

func TestGroupStats(t *testing.T) {
	e := evaluationOf(2, 2, 3*time.Millisecond, time.Millisecond, 2*time.Millisecond)
	e.requests["lost"] = &request{member: 2, units: 2, outcome: lost}
	e.requests["rejected"] = &request{member: 4, units: 2, outcome: rejected, retryAfter: true}
	e.requests["other"] = &request{member: 1, units: 2}
	want := GroupStats{
		Name:           "basic",
		Members:        4,
		Requests:       5,
		WithRetryAfter: 1,
		ArrivedUnits:   6,
		P50:            2 * time.Millisecond,
		P99:            3 * time.Millisecond,
		outcomes:       [outcomes]int{served: 3, rejected: 1, lost: 1},
	}
	if got := e.groupStats("basic"); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
