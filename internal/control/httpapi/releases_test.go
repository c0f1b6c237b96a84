package httpapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/control/connlimit"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/operatorapi"
)

// leaseholder is the Coordination of a node that answers from its own tables.
type leaseholder struct {
	tables *coordination.Tables
	batch  uint64
}

func (l *leaseholder) Do(_ context.Context, r coordination.Request) (coordination.Result, error) {
	l.batch++
	return l.tables.Evaluate(r, 0, l.batch, l.batch).Result, nil
}

func (*leaseholder) Status() []operatorapi.Shard   { return nil }
func (*leaseholder) Transfer(uint32, string) error { return nil }

// lockCaller calls a node over real connections and does not follow redirects.
type lockCaller struct {
	t    *testing.T
	http *http.Client
	url  string
}

func newLockCaller(t *testing.T) *lockCaller {
	tables, err := coordination.Load(nil, 1, 0, 20)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(nil)
	api := New(Options{
		Self: server.Listener.Addr().String(), Coordination: &leaseholder{tables: tables},
		Connections: connlimit.NewGate(100), Log: log.NewNopLogger(),
		Lease: majority.NewLease("a", func() time.Duration { return 0 }, func() []string { return []string{"a"} }),
	})
	server.Config = api.HTTPServer()
	server.Start()
	t.Cleanup(server.Close)
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return &lockCaller{t, client, server.URL}
}

// expect makes a call, and returns the address of its redirect.
func (c *lockCaller) expect(method, url, body string, want int) (location string) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil { // the connection is used again
		c.t.Fatal(err)
	}
	if answer.StatusCode != want {
		c.t.Errorf("%s %s %s: got %d, want %d", method, url, body, answer.StatusCode, want)
	}
	return answer.Header.Get("Location")
}

// A release that may have been sent before the hold was prolonged is redirected, and takes effect when its caller
// follows the redirect, unless the hold was prolonged once more by then. On the connection of the last prolongation it
// takes effect at once.
func TestReleaseIsConfirmed(t *testing.T) {
	c := newLockCaller(t)
	lock := c.url + "/locks/l%2F1"
	acquisition, rival := `{"owner":"a","holdMs":9000}`, `{"owner":"b","holdMs":9000}`
	release := func(fence int) string { return fmt.Sprintf(`{"owner":"a","fence":%d}`, fence) }
	closeConnection := c.http.CloseIdleConnections

	c.expect("POST", lock, acquisition, 200)
	closeConnection()
	c.expect("DELETE", lock, release(1), 200) // the hold was only granted
	c.expect("POST", lock, rival, 200)
	c.expect("DELETE", lock, `{"owner":"b","fence":3}`, 200)

	c.expect("POST", lock, acquisition, 200)
	c.expect("POST", lock, acquisition, 200)
	c.expect("DELETE", lock, release(5), 200) // on the same connection

	c.expect("POST", lock, acquisition, 200)
	c.expect("PUT", lock, `{"owner":"a","fence":8,"holdMs":9000}`, 200)
	closeConnection()
	location := c.expect("DELETE", lock, release(8), 307)
	c.expect("POST", lock, rival, 409)
	c.expect("PUT", lock, `{"owner":"a","fence":8,"holdMs":9000}`, 200)
	closeConnection()
	location = c.expect("DELETE", location, release(8), 307) // prolonged after the first redirect
	c.expect("POST", lock, rival, 409)
	c.expect("DELETE", location, release(8), 200)
	c.expect("POST", lock, rival, 200)
	c.expect("DELETE", lock+"?sentAfter=x", release(8), 400)
}
