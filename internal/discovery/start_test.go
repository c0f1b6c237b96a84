package discovery

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/passhub"
)

// TestKnownAsksAtOnce: an ingress of a large fleet that starts with a list from before opens its watch at the first
// moment. While it does not, every server that drains counts as told to it, and it would send such servers new
// requests.
func TestKnownAsksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		conns := make(chan net.Conn, 1)
		w := &Watcher{Addr: "discovery:1", Directory: &Directory{}, Log: log, Fleet: 300, Seed: 7,
			Tell: func(passhub.Backends) {}, answer: time.Minute, silence: time.Minute,
			dial: func(context.Context, string, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				conns <- theirs
				return ours, nil
			}}
		w.Known(&List{Rev: 41, Targets: []Target{{UID: "s-1", Endpoint: "h:1", State: "active"}}})
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
