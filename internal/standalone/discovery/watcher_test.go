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

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging/logtest"
)

// TestRestoredListIsWatchedAtOnce: an ingress of a large fleet that starts with a list from before opens its watch
// at the first moment. Until it does, each server that begins to drain counts as known to it, and it would send
// such servers new requests.
func TestRestoredListIsWatchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := make(chan net.Conn, 1)
		w := &Watcher{
			Addr:         "discovery:1",
			Directory:    &Directory{},
			Log:          logtest.Discard(),
			FleetSize:    300,
			Seed:         7,
			OnUpdate:     func(decision.Backends) {},
			replyTimeout: time.Minute,
			watchTimeout: time.Minute,
			dial: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				conns <- server
				return client, nil
			},
		}
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

// outage is how a discovery server of TestUpdateArrivesAsDiscoveryReturns behaves: until down it serves revision
// 41, then it is silent, and from back on it serves revision 42.
type outage struct {
	start      time.Time
	down, back time.Duration // after start
	calls      int
}

// serve answers one connection. Calls that come during the outage are answered when it is over.
func (o *outage) serve(c net.Conn) {
	defer c.Close()
	if !skipRequest(c) {
		return
	}
	o.calls++
	if since := time.Since(o.start); since >= o.down && since < o.back {
		time.Sleep(o.back - since)
	}
	rev := 41
	if time.Since(o.start) >= o.back {
		rev = 42
	}
	line := fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, rev)
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := fmt.Fprintf(c, "%s%x\r\n%s\n\r\n", head, len(line)+1, line); err != nil {
		return
	}
	for begun := time.Since(o.start); begun >= o.back || time.Since(o.start) < o.down; time.Sleep(2 * time.Second) {
		if _, err := io.WriteString(c, "1\r\n\n\r\n"); err != nil {
			return
		}
	}
	io.Copy(io.Discard, c) // open, and silent for good
}

// skipRequest reads a request up to its empty line; false: the connection ended.
func skipRequest(c net.Conn) bool {
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			return true
		}
	}
}

// TestUpdateArrivesAsDiscoveryReturns: discovery is silent for 8 s, to open watches and to new calls, and answers
// the calls that are queued when it is back. Each ingress of a large fleet has the update at once, for from that
// moment on it counts as received.
func TestUpdateArrivesAsDiscoveryReturns(t *testing.T) {
	const down, back = 3300 * time.Millisecond, 11300 * time.Millisecond
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			server := &outage{start: time.Now(), down: down, back: back}
			received := make(chan time.Duration, 16)
			w := &Watcher{
				Addr:      "discovery:1",
				Directory: &Directory{},
				Log:       logtest.Discard(),
				FleetSize: 300,
				Seed:      seed,
				dial: func(context.Context, string, string) (net.Conn, error) {
					client, conn := net.Pipe()
					go server.serve(conn)
					return client, nil
				},
			}
			w.OnUpdate = func(decision.Backends) {
				if w.rev == 42 {
					received <- time.Since(server.start)
				}
			}
			w.RestoreList(&List{Rev: 41, Targets: []Target{{UID: "s-1", Endpoint: "h:1", State: "active"}}})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); w.Run(ctx) }()
			if at := <-received; at-back > 250*time.Millisecond {
				t.Errorf("seed %d: the update came %v after the return, want 250 ms at most", seed, at-back)
			}
			if server.calls > 4 {
				t.Errorf("seed %d: %d calls, want 4 at most", seed, server.calls)
			}
			cancel()
			<-done
			time.Sleep(time.Minute) // server.serve ends with its connection
		})
	}
}
