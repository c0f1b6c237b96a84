package upstream

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/dataplane/upstreamconn"
)

// A silent server is given up when whoever is asked says so, and not before; once the answer is there nobody is asked.
func TestPatience(t *testing.T) {
	for _, tc := range []struct {
		name     string
		patience time.Duration
		from     time.Duration // it is out from then on; 0: never
		answer   time.Duration // when the server answers; 0: never
		want     time.Duration // when the read ends
		late     bool
		asked    int
	}{
		{"none", 0, time.Second, 3 * time.Second, 3 * time.Second, false, 0},
		{"out", time.Second, time.Millisecond, 0, time.Second, true, 1},
		{"out later", time.Second, 1220 * time.Millisecond, 0, 1250 * time.Millisecond, true, 6},
		{"never out", time.Second, 0, 3 * time.Second, 3 * time.Second, false, 40},
		{"answered before", time.Second, time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, false, 0},
		{"never out, the time runs out", time.Second, 0, 0, 10 * time.Second, true, 180},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				here, there := net.Pipe()
				defer here.Close()
				defer there.Close()
				begun, asked := time.Now(), 0
				c := &conn{Conn: here}
				c.SetDeadline(begun.Add(10 * time.Second))
				if tc.answer > 0 {
					time.AfterFunc(tc.answer, func() { there.Write([]byte("x")) })
				}
				p := SlowAttempt{After: tc.patience, ShouldAbandon: func() bool {
					asked++
					return tc.from > 0 && time.Since(begun) >= tc.from
				}}
				l := p.start(c)
				var b [1]byte
				_, err := c.Read(b[:])
				l.stop()
				if took := time.Since(begun); took != tc.want || errors.Is(err, os.ErrDeadlineExceeded) != tc.late || asked < tc.asked || asked > tc.asked+1 {
					t.Errorf("%v after %v, asked %d times; want it late: %v after %v, asked %d times", err, took, asked, tc.late, tc.want, tc.asked)
				}
				c.SetDeadline(time.Time{})
				time.AfterFunc(20*time.Second, func() { there.Write([]byte("y")) })
				if _, err := c.Read(b[:]); err != nil || b[0] != 'y' {
					t.Errorf("afterwards the connection is not left alone: %v", err)
				}
			})
		})
	}
}

// The last byte waits for longer where a connection has rested and the request must not run twice, and only in a dialect that says so.
func TestRestedConnectionsAreDoubted(t *testing.T) {
	const settle, doubt = 2 * time.Millisecond, 30 * time.Millisecond
	for _, tc := range []struct {
		name  string
		uses  int
		idle  float64
		once  bool
		doubt time.Duration
		want  time.Duration
	}{
		{"rested", 2, 0.2, true, doubt, doubt},
		{"used just now", 2, 0.01, true, doubt, settle},
		{"new", 1, 100, true, doubt, settle},
		{"may run twice", 2, 0.2, false, doubt, settle},
		{"in service", 2, 0.2, true, 0, settle},
		{"a server that is farther away than that", 2, 0.2, true, time.Millisecond, settle},
	} {
		p := New(nil, Limits{}, nil)
		p.Dialect.MinHoldIdle = tc.doubt
		waited := time.Duration(-1)
		p.awaitReset = func(c *conn) { waited = c.hold }
		c := &conn{resetWait: settle, lastAnswer: p.now() - tc.idle}
		for range tc.uses {
			c.Begin()
			c.Written()
			c.Answered(upstreamconn.Answer{Status: 200}, false)
		}
		if p.hold(c, tc.once); waited != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, waited, tc.want)
		}
	}
}
