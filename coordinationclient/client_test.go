package coordinationclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedTransport answers requests with the scripted answers in order, each after its delay, and repeats the last
// one. Status 0 is a refused connection.
type scriptedTransport struct {
	answers []scriptedAnswer
	calls   []string
}

type scriptedAnswer struct {
	delay  time.Duration
	status int
	body   string
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(r.Body)
	s.calls = append(s.calls, r.Method+" "+r.URL.String()+" "+string(body))
	answer := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	timer := time.NewTimer(answer.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if answer.status == 0 {
		return nil, errors.New("connection refused")
	}
	return &http.Response{
		StatusCode: answer.status, Body: io.NopCloser(strings.NewReader(answer.body)),
		Request: r, Header: http.Header{},
	}, nil
}

// TestHoldCountsFromSending checks that the time of a lock starts when the last successful call was sent, and that the
// lock is lost if the answer to a renewal arrives after that time.
func TestHoldCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{answers: []scriptedAnswer{
			{0, 503, `{}`}, {400 * time.Millisecond, 200, `{"fence":41}`}, // the second attempt is answered
			{500 * time.Millisecond, 200, `{}`}, {900 * time.Millisecond, 200, `{}`},
		}}
		l, err := New([]string{"a", "b"}, s).Acquire(t.Context(), "l", "me", time.Second)
		if err != nil || l.Fence() != 41 || l.Remaining() != 600*time.Millisecond {
			t.Fatalf("got %v with %v left, %v", l, l.Remaining(), err)
		}
		if err := l.Renew(t.Context()); err != nil || l.Remaining() != 500*time.Millisecond {
			t.Errorf("renewed: %v left, %v", l.Remaining(), err)
		}
		if err := l.Renew(t.Context()); !errors.Is(err, ErrLost) || l.Valid() {
			t.Errorf("renewed too late: valid %t, %v", l.Valid(), err)
		}
		if first, second := s.calls[0], s.calls[1]; first == second {
			t.Errorf("after a 503 the same node is called again: %s", second)
		}
	})
}

// TestAnswersAndErrors checks the error for each definite answer other than a 200. An invalid call is not repeated.
func TestAnswersAndErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		call   func(context.Context, *Client) error
		want   error
	}{
		{"taken", 409, `{}`, func(ctx context.Context, c *Client) error {
			_, err := c.Acquire(ctx, "l", "me", time.Second)
			return err
		}, ErrTaken},
		{"no cell", 404, `{}`, func(ctx context.Context, c *Client) error {
			_, _, err := c.Get(ctx, "g.a")
			return err
		}, ErrNotFound},
		{"compacted", 410, `{}`, func(ctx context.Context, c *Client) error {
			_, err := c.Watch(ctx, "g.", 7, nil)
			return err
		}, ErrCompacted},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &scriptedTransport{answers: []scriptedAnswer{{0, test.status, test.body}}}
			if err := test.call(t.Context(), New([]string{"a"}, s)); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
	t.Run("mismatch", func(t *testing.T) {
		s := &scriptedTransport{answers: []scriptedAnswer{{0, 412, `{"revision":922}`}}}
		var mismatch *MismatchError
		if _, err := New([]string{"a"}, s).Put(t.Context(), "g.a", "v", new(uint64)); !errors.As(err, &mismatch) ||
			mismatch.Revision != 922 {
			t.Errorf("got %v", err)
		}
	})
	t.Run("invalid", func(t *testing.T) {
		s := &scriptedTransport{answers: []scriptedAnswer{{0, 400, `no`}}}
		var status *StatusError
		if _, err := New([]string{"a"}, s).NextNumber(t.Context(), "n"); !errors.As(err, &status) || len(s.calls) != 1 {
			t.Errorf("got %v after %d calls", err, len(s.calls))
		}
	})
}

// TestUnknownOutcome checks that a call without a definite answer is repeated unchanged until the context ends.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{answers: []scriptedAnswer{
			{0, 504, `{}`}, {0, 0, ""}, {5 * time.Second, 200, `{"revision":1}`},
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		var unknown *UnknownOutcomeError
		if _, err := New([]string{"a"}, s).Put(ctx, "g.a", "v", nil); !errors.As(err, &unknown) {
			t.Errorf("got %v", err)
		}
		for _, call := range s.calls {
			if call != s.calls[0] {
				t.Errorf("repeated as %s, first %s", call, s.calls[0])
			}
		}
	})
}

// TestWatchResumes checks that a watch continues after the last revision that it has processed.
func TestWatchResumes(t *testing.T) {
	s := &scriptedTransport{answers: []scriptedAnswer{
		{0, 200, `{"log":[{"name":"g.a","payload":"v","revision":8}],"revision":9}`},
		{0, 200, `{"log":[{"name":"g.b","payload":"w","revision":10}],"revision":10}`},
	}}
	enough := errors.New("enough")
	var seen []Event
	until, err := New([]string{"a"}, s).Watch(t.Context(), "g.", 7, func(e Event) error {
		seen = append(seen, e)
		if e.Revision == 10 {
			return enough
		}
		return nil
	})
	if !errors.Is(err, enough) || until != 9 || len(seen) != 2 || !strings.Contains(s.calls[1], "after=9&") {
		t.Errorf("got %v up to %d, %v, calls %v", seen, until, err, s.calls)
	}
}

// Guards against a watch that fails for good because its answer is longer than the client reads: all events that a
// shard can have, with values that JSON encodes in six bytes each.
func TestLongestAnswerToWatch(t *testing.T) {
	value := strings.Repeat(`\u0001`, 4096)
	const events = 1020
	var body strings.Builder
	body.WriteString(`{"log":[`)
	for n := range events {
		if n > 0 {
			body.WriteString(",")
		}
		fmt.Fprintf(&body, `{"name":"g.a","payload":"%s","revision":%d}`, value, n+2)
	}
	fmt.Fprintf(&body, `],"revision":%d}`, events+1)
	s := &scriptedTransport{answers: []scriptedAnswer{{0, 200, body.String()}}}
	last, stop := uint64(0), errors.New("the last event")
	until, err := New([]string{"a"}, s).Watch(t.Context(), "g.", 1, func(e Event) error {
		if last = e.Revision; last == events+1 {
			return stop
		}
		return nil
	})
	if !errors.Is(err, stop) || until != events {
		t.Errorf("got %v up to %d, last event %d, want all %d", err, until, last, events)
	}
}
