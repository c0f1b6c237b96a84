package ingress

import (
	"net"
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging/logtest"
)

// Classes and plans that the tests use.
var (
	readClass = decision.Class{
		Name: "read", LatencyTarget: 20, Deadline: 30, Value: 1, Effect: decision.Idempotent,
	}
	sendClass = decision.Class{Name: "send", LatencyTarget: 20, Deadline: 30, Value: 1}
	plusPlan  = decision.Plan{Name: "plus", Rate: 1000, Burst: 1000, ValueWeight: 1}
)

// newTestServer returns a started server with one backend, and the pool that it uses. It calls backendAddr for each
// attempt, possibly from several goroutines.
func newTestServer(settings decision.Settings, backendAddr func() string, upstreamConns, clientConns int) (
	*Server, *upstream.Pool,
) {
	logger := logtest.Discard()
	e := engine.New(decision.New(settings, 1), &settings, engine.NewClock())
	e.Start(nil)
	e.SetBackends(decision.Backends{
		Complete: true,
		List:     []decision.Backend{{ID: "s-1", Serving: true, Size: 1}},
	})
	lookup := func(string) (string, bool) { return backendAddr(), true }
	limits := upstream.Limits{Connections: upstreamConns, ConnectTimeout: time.Minute, Keepalive: time.Minute}
	pool := upstream.New(lookup, limits, logger)
	server := New(&settings, e, pool, clientConns, logger)
	server.Started()
	return server, pool
}

// listen returns a listener on loopback, closed at the end of the test.
func listen(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { listener.Close() })
	return listener
}

// dial connects to a listener. The connection is closed at the end of the test.
func dial(tb testing.TB, listener net.Listener) net.Conn {
	tb.Helper()
	nc, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { nc.Close() })
	return nc
}

// acceptEach serves each connection of a listener in its own goroutine, and closes it when serve returns.
func acceptEach(listener net.Listener, serve func(net.Conn)) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			serve(nc)
		}()
	}
}
