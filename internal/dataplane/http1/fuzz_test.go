package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Any input is rejected or read within the size limits. For each request that both readers accept, net/http must read
// the same method and body: readers that disagree about the end of a request would also disagree about all requests
// that follow it.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{
		"GET /api/00000000b4d65521 HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"GET / HTTP/1.0\r\n\r\n",
		"GET  / HTTP/1.1\r\n\r\n",
		"\r\n\r\n",
		"GET / HTTP/1.1\nA: b\n\n",
		"GET / HTTP/1.1\r\nA : b\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := readRequest(NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		if len(got.Body) > MaxBufferedBody || got.Method == "" || got.Target == "" {
			t.Fatalf("accepted %+v, which exceeds the bounds", got)
		}
		want, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return // net/http is stricter about fields that this package does not interpret
		}
		body, err := io.ReadAll(want.Body)
		if err != nil || want.Method != got.Method || !bytes.Equal(body, got.Body) {
			t.Fatalf("%q: method %q and body %q, net/http reads %q and %q with %v",
				b, got.Method, got.Body, want.Method, body, err)
		}
	})
}

// Any answer is rejected or read within the size limits. For each answer that both readers accept, net/http must read
// the same status and body.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end",
		"HTTP/1.1 2OO FINE\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		rd := NewReader(bytes.NewReader(b))
		got, err := rd.Response(false)
		if err != nil {
			return
		}
		body, err := rd.Body(got)
		if err != nil {
			return
		}
		if len(body) > MaxBufferedBody || got.Status < 200 || got.Status > 999 {
			t.Fatalf("accepted %+v with %d bytes, which exceeds the bounds", got, len(body))
		}
		if !strings.HasPrefix(string(b), fmt.Sprintf("HTTP/1.1 %d", got.Status)) {
			return // net/http returns interim answers, which this package skips
		}
		want, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
		if err != nil {
			return
		}
		wantBody, err := io.ReadAll(want.Body)
		if err == nil && (want.StatusCode != got.Status || !bytes.Equal(wantBody, body)) {
			t.Fatalf("%q: status %d and body %q, net/http reads %d and %q",
				b, got.Status, body, want.StatusCode, wantBody)
		}
	})
}
