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

// TestRestoredListIsWatchedAtOnce checks that an ingress of a large fleet that starts with a restored list opens its
// watch without a delay. With a delay it would send new requests to servers that have begun to drain, although it is
// expected to know that they are draining.
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
		if waited := time.Since(start); waited != 0 { // the bubble's clock advances only if the watcher waits
			t.Errorf("the watch was asked for after %v", waited)
		}
		cancel()
		c.Close()
		<-done
	})
}

// outage is the discovery server of TestUpdateArrivesAsDiscoveryReturns. It serves revision 41 until down, is silent
// until back, and serves revision 42 from then on.
type outage struct {
	start      time.Time
	down, back time.Duration // after start
	calls      int
}

// serve serves one connection. A call that arrives during the outage is answered when the outage ends.
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
	io.Copy(io.Discard, c) // the connection stays open without another line
}

// skipRequest reads a request up to its empty line. It returns false if the connection ended.
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

// Discovery is silent for 8 s, to open watches and to new calls. When it is back, it answers the queued calls. Each
// ingress of a large fleet must then get the update within 250 ms, because it is expected to know the update from that
// moment on. An ingress without a queued call at that moment would get it late.
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
