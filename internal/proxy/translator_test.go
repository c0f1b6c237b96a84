package proxy

import (
	"bufio"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging/logtest"
)

// testConfig is a complete configuration with three routes, two tenants and two services.
const testConfig = `{"upsert":{
"routes":{
	"r1":{"authority":"one.example","pathPrefix":"/a/","routeKind":"idempotent","deadlineMs":1000,"targetMs":400,
		"priority":2,"backend":"s1","maxTries":2,"public":false,"generation":"00000001"},
	"r2":{"authority":"one.example","pathPrefix":"/a/b/","routeKind":"mutating","deadlineMs":2000,"targetMs":500,
		"priority":0,"weighted":[{"backend":"s1","share":30},{"backend":"s2","share":70}],"maxTries":1,
		"public":false,"generation":"00000001"},
	"r3":{"authority":"two.example","pathPrefix":"/","routeKind":"idempotent","deadlineMs":1000,"targetMs":400,
		"priority":1,"backend":"s2","maxTries":2,"public":true,"generation":"00000001"}},
"customers":{
	"t1":{"apiKeys":["k1","k2"],"priority":0,"ratePerS":10,"burst":20,"generation":"00000001"},
	"t2":{"apiKeys":["k3"],"priority":1,"ratePerS":0,"burst":0,"generation":"00000001"}},
"services":{
	"s1":{"healthPath":"/health","maxConns":10,"protocol":"h1","tlsMode":false,"generation":"00000001"},
	"s2":{"healthPath":"/health","maxConns":10,"protocol":"h1","tlsMode":false,"generation":"00000001"}}},
"remove":{"routes":[]}}`

func newTestTranslator(t *testing.T, current, complete bool) *translator {
	return translatorFor(t, testConfig, current, complete)
}

func translatorFor(t *testing.T, config string, current, complete bool) *translator {
	items, err := configuration.ReadPatch([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	var empty *configuration.Snapshot
	snapshot, changed := empty.Merge(items)
	feed := &controlFeed{shedder: newShedder(0), startedAt: time.Now().Add(-time.Hour), ready: make(chan struct{})}
	feed.table.Store(configuration.NewRoutingTable().With(snapshot, changed))
	feed.complete.Store(complete)
	if current {
		feed.quorumAt.Store(int64(time.Hour))
	}
	return newTranslator(feed, newSplitter(rand.New(rand.NewPCG(1, 1))))
}

func requestHead(t *testing.T, text string) *http1.Request {
	t.Helper()
	r, err := http1.NewReader(strings.NewReader(strings.ReplaceAll(text, "\n", "\r\n") + "\r\n\r\n")).Head()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestParse checks the route and the tenant of each request that is accepted, and the status of each rejection. If the
// configuration is out of date, a missing route or key must be answered with 503, because it may exist nevertheless.
func TestParse(t *testing.T) {
	const line = "GET /a/x?q=/a/b/ HTTP/1.1\nHost: One.example\nX-Attempt-Id: i1\nX-Time-Left-Ms: 900"
	for name, c := range map[string]struct {
		text         string
		stale, early bool
		status       int // 0: the request is accepted
		route        string
		tenant       string
	}{
		"route and tenant": {text: line + "\nAuthorization: Token k2", route: "r1", tenant: "t1"},
		"the longest prefix": {
			text:   strings.Replace(line, "/a/x", "/a/b/x", 1) + "\nAuthorization: Token k3",
			route:  "r2",
			tenant: "t2",
		},
		"tenant of the client": {text: line + "\nX-Tenant: t2\nAuthorization: Token k1", route: "r1", tenant: "t1"},
		"public":               {text: strings.Replace(line, "One", "two", 1), route: "r3"},
		"no route":             {text: strings.Replace(line, "One", "three", 1), status: 404},
		"no route, stale":      {text: strings.Replace(line, "One", "three", 1), stale: true, status: 503},
		"no key":               {text: line, status: 401},
		"another scheme":       {text: line + "\nAuthorization: Bearer k1", status: 401},
		"unknown key":          {text: line + "\nAuthorization: Token k9", status: 401},
		"unknown key, stale":   {text: line + "\nAuthorization: Token k9", stale: true, status: 503},
		"no configuration":     {text: line + "\nAuthorization: Token k1", early: true, stale: true, status: 503},
		"no id":                {text: strings.Replace(line, "X-Attempt-Id: i1", "X-Other: 1", 1), status: 400},
		"two ids":              {text: line + "\nX-Attempt-Id: i2", status: 400},
		"two hosts":            {text: line + "\nHost: two.example", status: 400},
		"no time":              {text: strings.Replace(line, "900", "NaN", 1), status: 400},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var request decision.Request
			var m *upstream.Message
			var bad *ingress.RequestError
			synctest.Test(t, func(t *testing.T) { // fake time, because a request may wait
				request, m, bad = newTestTranslator(t, !c.stale, !c.early).parse(requestHead(t, c.text))
			})
			if c.status != 0 {
				is.True(bad != nil)
				is.Equal(bad.Status, c.status)
				is.Equal(bad.RetryAfter > 0, c.status == 503) // a request that was not executed may be retried
				return
			}
			is.True(bad == nil)
			is.Equal(request.Class, c.route)
			is.Equal(m.Tenant, c.tenant)
			is.True(request.TimeLeft <= 0.9)
			is.Equal(m.AtMostOnce, c.route == "r2")
			out := string(appendRequestHead(nil, m, "i-77", 1500*time.Millisecond)) + string(m.Fields)
			is.True(!strings.Contains(out, "Token")) // servers do not get the key
			h, err := textproto.NewReader(
				bufio.NewReader(strings.NewReader(out[strings.Index(out, "\r\n")+2:] + "\r\n")),
			).ReadMIMEHeader()
			is.NoErr(err)
			is.Equal(h.Get("X-Target-Instance"), "i-77")
			is.Equal(h.Get("X-Time-Left-Ms"), "1500")
			is.Equal(h.Values("X-Tenant"), tenantField(c.tenant))
			is.Equal(len(h.Values("Host")), 1)
		})
	}
}

// TestRequestsWaitForTheFirstConfiguration checks a request that arrives before the configuration is complete. If the
// configuration becomes complete within a third of the time that the client waits, the request must be served with the
// rest of that time; otherwise it must be rejected. Requests must not wait once there has been a complete
// configuration.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		leftMs, completeAfterMs, wantWaitMs int
		served                              bool
	}{
		"complete from the start":     {leftMs: 900, completeAfterMs: 0, wantWaitMs: 0, served: true},
		"while the request waits":     {leftMs: 900, completeAfterMs: 70, wantWaitMs: 70, served: true},
		"later":                       {leftMs: 900, completeAfterMs: 310, wantWaitMs: 300},
		"later, and little time left": {leftMs: 90, completeAfterMs: 40, wantWaitMs: 30},
		"later, and much time left":   {leftMs: 60_000, completeAfterMs: 500, wantWaitMs: 400},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				translator := newTestTranslator(t, true, c.completeAfterMs == 0)
				time.AfterFunc(time.Duration(c.completeAfterMs)*time.Millisecond, func() {
					translator.control.complete.Store(true)
					close(translator.control.ready)
				})
				head := "GET /a/x HTTP/1.1\nHost: one.example\nX-Attempt-Id: i1\n" +
					"Authorization: Token k1\nX-Time-Left-Ms: "
				begin := time.Now()
				request, _, rejected := translator.parse(requestHead(t, head+strconv.Itoa(c.leftMs)))
				is.Equal(time.Since(begin), time.Duration(c.wantWaitMs)*time.Millisecond)
				is.Equal(rejected == nil, c.served)
				if c.served {
					want := float64(c.leftMs-c.wantWaitMs)/1000 - replyAllowance
					is.True(math.Abs(request.TimeLeft-want) < 1e-9)
				} else {
					is.Equal(rejected.Status, http.StatusServiceUnavailable)
					is.True(rejected.RetryAfter > 0)
				}
				time.Sleep(time.Second) // fake time, until the configuration is complete
				begin = time.Now()
				translator.parse(requestHead(t, head+strconv.Itoa(c.leftMs)))
				is.Equal(time.Since(begin), time.Duration(0))
			})
		})
	}
}

func tenantField(name string) []string {
	if name == "" {
		return nil
	}
	return []string{name}
}

// TestSplitRoutesFollowTheirWeights sends a thousand requests to a route that gives the service s2 a share of 70%. From
// 65 to 75% of them must go to s2.
func TestSplitRoutesFollowTheirWeights(t *testing.T) {
	is := is.New(t)
	translator, count := newTestTranslator(t, true, true), 0
	for range 1000 {
		if translator.chooseService(translator.control.table.Load().RouteByName("r2")) == "s2" {
			count++
		}
	}
	is.True(count > 650 && count < 750)
}

// TestClassifyAnswer checks the meaning of each kind of answer. If an answer without proof meant NotExecuted, a request
// that must run at most once could be executed twice.
func TestClassifyAnswer(t *testing.T) {
	for text, want := range map[string]upstream.AnswerMeaning{
		"200 OK\nX-Attempt-Id: i1\nX-Server-Seal: s":                         upstream.Served,
		"201 Created\nX-Attempt-Id: i1\nX-Server-Seal: s":                    upstream.Served,
		"200 OK\nX-Attempt-Id: i1":                                           upstream.Broken,
		"200 OK\nX-Server-Seal: s":                                           upstream.Broken,
		"200 OK\nX-Attempt-Id: i1\nX-Server-Seal: s\nContent-Encoding: gzip": upstream.Broken,
		"200 OK\nX-Attempt-Id: i2\nX-Server-Seal: s":                         upstream.Foreign,
		"500 Oops\nX-Attempt-Id: i2":                                         upstream.Foreign,
		"500 Oops\nX-Attempt-Id: i1":                                         upstream.Failed,
		// a promise without proof
		"503 Full\nX-Attempt-Id: i1":                    upstream.Broken,
		"503 Full\nX-Attempt-Id: i1\nX-Server-Seal: s":  upstream.Broken,
		"429 Many\nX-Attempt-Id: i1":                    upstream.Broken,
		"408 Slow\nX-Attempt-Id: i1":                    upstream.Broken,
		"504 Late":                                      upstream.Failed,
		"503 Full\nX-Not-Executed: 1":                   upstream.NotExecuted,
		"429 Many\nX-Attempt-Id: i1\nX-Not-Executed: 1": upstream.NotExecuted,
		"421 Other\nX-Instance-Id: i-5":                 upstream.NotExecuted,
		"404 None":                                      upstream.Broken,
		"404 None\nX-Attempt-Id: i1":                    upstream.Served,
		// the rejection of another request proves nothing about this one
		"503 Full\nX-Attempt-Id: i2\nX-Not-Executed: 1":                   upstream.Foreign,
		"421 Other\nX-Attempt-Id: i2":                                     upstream.Foreign,
		"200 OK\nX-Attempt-Id: i1\nX-Attempt-Id: i2\nX-Server-Seal: s":    upstream.Broken,
		"503 Full\nX-Attempt-Id: i1\nX-Attempt-Id: i2\nX-Not-Executed: 1": upstream.Broken,
	} {
		// An answer without a length is delimited by the end of the connection. Its meaning is the same; package
		// upstream handles truncation by a reset.
		for _, unbounded := range []bool{false, true} {
			end := "\r\nContent-Length: 0\r\n\r\n"
			if unbounded {
				end = "\r\n\r\n"
			}
			head := "HTTP/1.1 " + strings.ReplaceAll(text, "\n", "\r\n")
			a, err := http1.NewReader(strings.NewReader(head + end)).Response(false)
			if err != nil {
				t.Fatal(err)
			}
			if got := classifyAnswer(&upstream.Message{ID: "i1"}, a); got != want {
				t.Errorf("%q, unbounded %v: got %v, want %v", text, unbounded, got, want)
			}
		}
	}
}

// TestSurplusAnswersBelongToNoRequest checks a second answer to a request that a server sends late, just before the
// answer to the next request. The client of the next request must get its own answer, and the connection must not be
// used again.
func TestSurplusAnswersBelongToNoRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	conns := make(chan int, 9)
	go func() {
		for n := 0; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			conns <- n
			go func() {
				for r := http1.NewReader(nc); ; {
					q, err := r.Head()
					if err != nil {
						return
					}
					id := q.Header.Get("X-Attempt-Id")
					answer := func(id, body string) string {
						return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
							"\r\nX-Server-Seal: x\r\nContent-Length: 1\r\n\r\n" + body
					}
					if id == "second" {
						nc.Write([]byte(answer("first", "1"))) // the surplus answer to the first request
					}
					nc.Write([]byte(answer(id, id[:1])))
				}
			}()
		}
	}()
	p := upstream.New(func(string) (string, bool) { return l.Addr().String(), true }, upstream.Limits{
		Connections:    9,
		ConnectTimeout: time.Second,
		Keepalive:      time.Minute,
	}, logtest.Discard())
	p.Dialect = serverDialect
	for _, id := range []string{"first", "second", "third"} {
		r := p.Do(t.Context(), "i-1", &upstream.Message{
			Method: "GET",
			Target: "/",
			Host:   "h",
			ID:     id,
		}, time.Now().Add(5*time.Second))
		is.Equal(r.Outcome, decision.Succeeded)
		is.Equal(string(r.Body), id[:1])
	}
	is.Equal(len(conns), 2) // the first connection was closed, because a surplus answer arrived on it
}

// The operator's limit of the header applies to the head, with an allowance for the request line, and within a bound.
func TestHeadLimit(t *testing.T) {
	for headerBytes, want := range map[int]int64{
		0: 0, 1000: 1000 + requestLineBytes, 16384: 16384 + requestLineBytes,
		1 << 30: maxHeaderBytes + requestLineBytes,
	} {
		if got := headLimit(headerBytes); got != want {
			t.Errorf("header of %d bytes: got a limit of %d, want %d", headerBytes, got, want)
		}
	}
}
