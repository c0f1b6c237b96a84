package upstream

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// An attempt at a server that does not answer is abandoned when ShouldAbandon returns true, and not before. After the
// answer, ShouldAbandon is no longer called and the timer leaves the connection's deadline unchanged.
func TestSlowAttempt(t *testing.T) {
	const deadline = 10 * time.Second
	for _, tc := range []struct {
		name     string
		after    time.Duration // SlowAttempt.After
		abandon  time.Duration // time from which ShouldAbandon returns true; 0: never
		answer   time.Duration // time at which the server answers; 0: never
		want     time.Duration // time at which the read ends
		timeout  bool          // whether the read ends by a deadline
		minAsked int           // calls of ShouldAbandon; one more is allowed
	}{
		{"not watched", 0, time.Second, 3 * time.Second, 3 * time.Second, false, 0},
		{"abandoned", time.Second, time.Millisecond, 0, time.Second, true, 1},
		{"abandoned later", time.Second, 1220 * time.Millisecond, 0, 1250 * time.Millisecond, true, 6},
		{"never abandoned", time.Second, 0, 3 * time.Second, 3 * time.Second, false, 40},
		{"answered before", time.Second, time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, false, 0},
		{"never abandoned, the deadline passes", time.Second, 0, 0, deadline, true, 180},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				defer client.Close()
				defer server.Close()
				begun, asked := time.Now(), 0
				c := &conn{Conn: client}
				c.SetDeadline(begun.Add(deadline))
				if tc.answer > 0 {
					time.AfterFunc(tc.answer, func() { server.Write([]byte("x")) })
				}
				slow := SlowAttempt{After: tc.after, ShouldAbandon: func() bool {
					asked++
					return tc.abandon > 0 && time.Since(begun) >= tc.abandon
				}}
				timer := slow.start(c)
				var b [1]byte
				_, err := c.Read(b[:])
				timer.stop()
				took := time.Since(begun)
				if took != tc.want || errors.Is(err, os.ErrDeadlineExceeded) != tc.timeout {
					t.Errorf("read ends after %v with %v, want %v, by a deadline: %v", took, err, tc.want, tc.timeout)
				}
				if asked < tc.minAsked || asked > tc.minAsked+1 {
					t.Errorf("ShouldAbandon called %d times, want %d or once more", asked, tc.minAsked)
				}
				c.SetDeadline(time.Time{})
				time.AfterFunc(20*time.Second, func() { server.Write([]byte("y")) })
				if _, err := c.Read(b[:]); err != nil || b[0] != 'y' {
					t.Errorf("after stop: read %q with %v, want y: the timer changed the deadline", b[:], err)
				}
			})
		})
	}
}

// If the dialect sets MinHoldIdle, the last byte is held back for at least that time if the connection was idle and the
// request must run at most once. In all other cases it is held back for the time within which a reset is expected.
func TestMinHoldIdle(t *testing.T) {
	const resetWait, minHold = 2 * time.Millisecond, 30 * time.Millisecond
	for _, tc := range []struct {
		name       string
		uses       int
		idle       decision.Seconds
		atMostOnce bool
		minHold    time.Duration // Dialect.MinHoldIdle
		want       time.Duration
	}{
		{"idle", 2, 0.2, true, minHold, minHold},
		{"used just now", 2, 0.01, true, minHold, resetWait},
		{"new", 1, 100, true, minHold, resetWait},
		{"idempotent", 2, 0.2, false, minHold, resetWait},
		{"dialect without a minimum", 2, 0.2, true, 0, resetWait},
		{"reset expected later than the minimum", 2, 0.2, true, time.Millisecond, resetWait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(nil, Limits{}, nil)
			p.Dialect.MinHoldIdle = tc.minHold
			waited := time.Duration(-1)
			p.awaitReset = func(c *conn) { waited = c.holdTime }
			c := &conn{resetWait: resetWait, lastAnswer: p.now() - tc.idle}
			for range tc.uses {
				c.Begin()
				c.Written()
				c.Answered(upstreamconn.Answer{Status: 200}, false)
			}
			p.hold(c, tc.atMostOnce)
			if waited != tc.want {
				t.Errorf("held for %v, want %v", waited, tc.want)
			}
		})
	}
}
