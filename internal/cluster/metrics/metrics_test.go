package metrics

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/logging/logtest"
)

func TestParseEndpoint(t *testing.T) {
	for text, want := range map[string]Endpoint{"": {}, "9464/metrics": {9464, "/metrics"}, "1/a/b": {1, "/a/b"}} {
		got, err := ParseEndpoint(text)
		if err != nil || got != want {
			t.Errorf("%q: got %v, %v, want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"metrics", "0/metrics", "65536/metrics", "-1/m", "9464", "9464/", "x/metrics"} {
		if got, err := ParseEndpoint(text); !errors.Is(err, ErrBadEndpoint) {
			t.Errorf("%q: got %v, %v, want %v", text, got, err, ErrBadEndpoint)
		}
	}
}

// TestServeHTTP requests the metrics over HTTP and checks names, types and values.
func TestServeHTTP(t *testing.T) {
	is := is.New(t)
	r := NewRegistry("proxy")
	ready := false
	r.Flag("ready", "Ready.", func() bool { return ready })
	r.Counter("attempts_total", "Attempts.", func() float64 { return 7 })
	r.GaugeFamily("servers", "Servers.", "state", func() []Sample { return []Sample{{"listed", 3}, {"avoided", 1}} })
	ready = true
	answer := httptest.NewRecorder()
	r.ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	is.Equal(answer.Code, 200)
	is.True(strings.HasPrefix(answer.Header().Get("Content-Type"), "text/plain"))
	text := answer.Body.String()
	for _, want := range []string{
		"mulleinrouter_proxy_ready 1", "# TYPE mulleinrouter_proxy_attempts_total counter",
		"mulleinrouter_proxy_attempts_total 7",
		`mulleinrouter_proxy_servers{state="avoided"} 1`,
		"# TYPE mulleinrouter_proxy_servers gauge", "mulleinrouter_proxy_uptime_seconds ",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("got\n%s\nwant %q in it", text, want)
		}
	}
}

// TestServerServe serves metrics at an endpoint until the context ends.
func TestServerServe(t *testing.T) {
	is := is.New(t)
	free, err := transport.Listen("127.0.0.1:0")
	is.NoErr(err)
	port := free.Addr().(*net.TCPAddr).Port
	is.NoErr(free.Close())
	server := Server{
		Program:  "agent",
		Endpoint: Endpoint{Port: port, Path: "/metrics"},
		Host:     "127.0.0.1",
		Log:      logtest.Discard(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Serve(ctx, func(r *Registry) { r.Flag("ready", "Ready.", func() bool { return true }) })
	}()
	url := fmt.Sprintf("http://127.0.0.1:%d/metrics", port)
	answer, err := http.Get(url)
	for err != nil && ctx.Err() == nil && t.Context().Err() == nil { // the server does not listen yet
		answer, err = http.Get(url)
	}
	is.NoErr(err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	if want := "mulleinrouter_agent_ready 1"; !strings.Contains(string(text), want) {
		t.Errorf("got\n%s\nwant %q in it", text, want)
	}
	cancel()
	<-ended
}
