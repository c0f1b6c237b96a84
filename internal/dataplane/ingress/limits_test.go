package ingress

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/decision"
)

// Guards against limits that a client's connection keeps from the time at which it was accepted: after they are
// changed, the next request on the same connection is read by the new ones.
func TestLimitsApplyToTheNextRequest(t *testing.T) {
	var bodyLimit, headLimit, timeoutReads atomic.Int64
	s, _ := newTestServer(decision.Settings{Gateways: 1, MaxAttempts: 1, Classes: []decision.Class{sendClass}},
		func() string { return "127.0.0.1:1" }, 2, 2)
	dialect := s.dialect
	dialect.MaxBody, dialect.MaxHead = bodyLimit.Load, headLimit.Load
	dialect.Timeouts = func() *clientconn.Timeouts {
		timeoutReads.Add(1)
		return &clientconn.Timeouts{FirstByte: 10, Idle: 10, Head: 10}
	}
	s.SetDialect(dialect)
	l := listen(t)
	go s.Serve(l)
	nc := dial(t, l)
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(nc)
	upload := "POST /no-such-path HTTP/1.1\r\nContent-Length: 1500\r\n\r\n" + strings.Repeat("x", 1500)
	for _, step := range []struct {
		body, head int64
		request    string
		want       int
	}{
		{1000, 0, "GET /ready HTTP/1.1\r\n\r\n", 200},
		{2000, 0, upload, 404},
		{2000, 40 << 10, "GET /ready HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", 200},
		{1000, 0, upload, 413},
	} {
		bodyLimit.Store(step.body)
		headLimit.Store(step.head)
		before := timeoutReads.Load()
		fmt.Fprint(nc, step.request)
		answer, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != step.want {
			t.Errorf("%.40q with limits %d and %d: got %d, want %d", step.request, step.body, step.head,
				answer.StatusCode, step.want)
		}
		if timeoutReads.Load() == before {
			t.Errorf("%.40q: the timeouts are those of an earlier request", step.request)
		}
	}
}
