package fakes

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

func startQuoteServer(t *testing.T, q *QuoteServer) *QuoteServer {
	t.Helper()
	if err := q.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(q.Stop)
	return q
}

// requestQuote sends a request with an ID, and returns the status, or 0 if there was no response.
func requestQuote(t *testing.T, q *QuoteServer, id string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+q.Addr()+"/api/1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-ID", id)
	client := &http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

func TestQuoteServerFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults *Faults
		want   int // status, or 0 for no response
		runs   int
		served int
	}{
		{"none", nil, http.StatusOK, 1, 1},
		{"error", &Faults{Error: 1}, http.StatusInternalServerError, 1, 0},
		{"reject", &Faults{Reject: 1}, http.StatusServiceUnavailable, 0, 0},
		{"cut", &Faults{Cut: 1}, 0, 1, 0},
		{"hang", &Faults{Hang: 1}, 0, 1, 0},
		{"malformed", &Faults{Malformed: 1}, 0, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := startQuoteServer(t, &QuoteServer{})
			q.SetFaults(test.faults)
			if got := requestQuote(t, q, "r"); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
			arrival := q.Arrived()["r"]
			if arrival.Times != 1 || arrival.Runs != test.runs || arrival.First.IsZero() {
				t.Errorf("arrival %+v, want received once, executed %d times", arrival, test.runs)
			}
			if served := q.Served()["r"]; served != test.served {
				t.Errorf("served %d times, want %d", served, test.served)
			}
		})
	}
}

func TestQuoteServerWithoutID(t *testing.T) {
	q := startQuoteServer(t, &QuoteServer{})
	if got := requestQuote(t, q, ""); got != http.StatusNotFound || len(q.Arrived()) != 0 {
		t.Errorf("status %d, %d arrivals; want 404, 0", got, len(q.Arrived()))
	}
}

// TestFaultDraw checks that the draw of a request is always the same, and that each part of the range has the size that
// hits is called with.
func TestFaultDraw(t *testing.T) {
	q, other := &QuoteServer{Salt: 1}, &QuoteServer{Salt: 2}
	if first, again := *q.draw("r"), *q.draw("r"); first != again {
		t.Errorf("draw(r) = %v, then %v", first, again)
	}
	if same := *other.draw("r"); same == *q.draw("r") {
		t.Errorf("draw(r) with another salt = %v, want another", same)
	}
	draw := faultDraw{remaining: 0.35}
	if draw.hits(0.1) || draw.hits(0.2) || !draw.hits(0.1) {
		t.Error("a draw of 0.35 did not hit exactly the part from 0.3 to 0.4")
	}
}

func TestSlowStart(t *testing.T) {
	const unit = 10 * time.Millisecond
	for _, test := range []struct {
		name      string
		slowStart time.Duration
		age       time.Duration
		want      time.Duration
	}{
		{"no slow start", 0, 0, unit},
		{"after the start", time.Hour, 0, 4 * unit},
		{"at half time", time.Hour, 30 * time.Minute, 25 * unit / 10},
		{"over", time.Hour, time.Hour, unit},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := &QuoteServer{ServiceTime: unit, SlowStart: test.slowStart, startedAt: time.Now().Add(-test.age)}
			got := q.currentServiceTime()
			if difference := (got - test.want).Abs(); difference > unit/10 {
				t.Errorf("service time %v, want %v", got, test.want)
			}
		})
	}
}
