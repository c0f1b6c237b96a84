package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/decision"
)

// TestKnownAsksAtOnce: an ingress of a large fleet that starts with a list from before opens its watch at the first
// moment. While it does not, every server that drains counts as told to it, and it would send such servers new
// requests.
func TestKnownAsksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		conns := make(chan net.Conn, 1)
		w := &Watcher{Addr: "discovery:1", Directory: &Directory{}, Log: log, FleetSize: 300, Seed: 7,
			OnUpdate: func(decision.Backends) {}, answer: time.Minute, silence: time.Minute,
			dial: func(context.Context, string, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				conns <- theirs
				return ours, nil
			}}
		w.RestoreList(&List{Rev: 41, Targets: []Target{{UID: "s-1", Endpoint: "h:1", State: "active"}}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		start := time.Now()
		c := <-conns
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if want := "GET /v1/endpoints?watch=1&from=41 HTTP/1.1\r\n"; line != want {
			t.Errorf("asked %q, want %q", line, want)
		}
		if waited := time.Since(start); waited != 0 { // the bubble's clock: it moves only where the watcher waits
			t.Errorf("the watch was asked for after %v", waited)
		}
		cancel()
		c.Close()
		<-done
	})
}

// TestReturnIsHeard: discovery is silent for 8 s, to open watches and to new calls, and answers those that wait there when it is back.
// Each ingress of a large fleet has its news at once, for from that moment on they count as told.
func TestReturnIsHeard(t *testing.T) {
	const down, back = 3300 * time.Millisecond, 11300 * time.Millisecond
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			start := time.Now()
			calls := 0
			serve := func(c net.Conn) {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if line, err := r.ReadString('\n'); err != nil {
						return
					} else if line == "\r\n" {
						break
					}
				}
				calls++
				if since := time.Since(start); since >= down && since < back {
					time.Sleep(back - since)
				}
				rev := 41
				if time.Since(start) >= back {
					rev = 42
				}
				line := fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, rev)
				if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line); err != nil {
					return
				}
				for begun := time.Since(start); begun >= back || time.Since(start) < down; time.Sleep(2 * time.Second) {
					if _, err := io.WriteString(c, "1\r\n\n\r\n"); err != nil {
						return
					}
				}
				io.Copy(io.Discard, c) // open, and silent for good
			}
			heard := make(chan time.Duration, 16)
			w := &Watcher{Addr: "discovery:1", Directory: &Directory{}, Log: log, FleetSize: 300, Seed: seed,
				dial: func(context.Context, string, string) (net.Conn, error) {
					ours, theirs := net.Pipe()
					go serve(theirs)
					return ours, nil
				}}
			w.OnUpdate = func(decision.Backends) {
				if w.rev == 42 {
					heard <- time.Since(start)
				}
			}
			w.RestoreList(&List{Rev: 41, Targets: []Target{{UID: "s-1", Endpoint: "h:1", State: "active"}}})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); w.Run(ctx) }()
			if at := <-heard; at-back > 250*time.Millisecond {
				t.Errorf("seed %d: the news were heard %v behind the return", seed, at-back)
			}
			if calls > 4 {
				t.Errorf("seed %d: %d calls", seed, calls)
			}
			cancel()
			<-done
			time.Sleep(time.Minute) // what serves ends with its connection
		})
	}
}
