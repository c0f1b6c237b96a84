package metrics

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
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
