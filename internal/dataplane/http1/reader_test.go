package http1

import (
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// readRequest reads the next request, with its body if that is short enough to be buffered.
func readRequest(rd *Reader) (*Request, error) {
	r, err := rd.Head()
	if err == nil {
		err = rd.ReadBody(r)
	}
	return r, err
}

// post returns a POST request with a header field and a body.
func post(field, body string) string { return "POST / HTTP/1.1\r\n" + field + "\r\n\r\n" + body }

// postChunked returns a POST request with a chunked body.
func postChunked(chunks string) string { return post("Transfer-Encoding: chunked", chunks) }

// A well-formed request is read completely. A request that is malformed, ambiguous or over a limit is rejected with its
// error, because another reader could see different requests in it.
func TestRequest(t *testing.T) {
	chunkedHeader := textproto.MIMEHeader{"Transfer-Encoding": {"chunked"}}
	for _, tc := range []struct {
		name, in string
		want     *Request
		err      error
	}{
		{
			"plain",
			"GET /a?b HTTP/1.1\r\nx-tier: plus\r\n\r\n",
			&Request{Method: "GET", Target: "/a?b", Header: textproto.MIMEHeader{"X-Tier": {"plus"}}}, nil,
		},
		{
			"bare line ends, empty line first",
			"\nGET / HTTP/1.1\nA: b\n\n",
			&Request{Method: "GET", Target: "/", Header: textproto.MIMEHeader{"A": {"b"}}}, nil,
		},
		{
			"length",
			post("Content-Length: 3", "abcd"),
			&Request{
				Method: "POST",
				Target: "/",
				Header: textproto.MIMEHeader{"Content-Length": {"3"}},
				Body:   []byte("abc"),
			}, nil,
		},
		{
			"chunks and a trailer",
			postChunked("2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: u\r\n\r\n"),
			&Request{
				Method:  "POST",
				Target:  "/",
				Header:  chunkedHeader,
				Body:    []byte("abc"),
				Trailer: textproto.MIMEHeader{"T": {"u"}},
			}, nil,
		},
		{
			"chunks of one byte",
			postChunked(strings.Repeat("1\r\nx\r\n", 65536) + "0\r\n\r\n"),
			&Request{
				Method: "POST",
				Target: "/",
				Header: chunkedHeader,
				Body:   bytes.Repeat([]byte("x"), 65536),
			}, nil,
		},
		{
			"close",
			"GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n",
			&Request{
				Method: "GET",
				Target: "/",
				Header: textproto.MIMEHeader{"Connection": {"x, Close"}},
				Close:  true,
			}, nil,
		},
		{
			"1.0",
			"GET / HTTP/1.0\r\n\r\n",
			&Request{Method: "GET", Target: "/", Header: textproto.MIMEHeader{}, Close: true}, nil,
		},
		{
			"1.0 with keep-alive",
			"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
			&Request{Method: "GET", Target: "/", Header: textproto.MIMEHeader{"Connection": {"keep-alive"}}}, nil,
		},
		{"nothing", "", nil, io.EOF},
		{"ended in the head", "GET / HTTP/1.1\r\nA: b\r\n", nil, io.ErrUnexpectedEOF},
		{"ended in the body", post("Content-Length: 3", "ab"), nil, io.ErrUnexpectedEOF},
		{"ended in a chunk", postChunked("3\r\nab"), nil, io.ErrUnexpectedEOF},
		{"ended before the last chunk", postChunked("2\r\nab\r\n"), nil, io.ErrUnexpectedEOF},
		{"start line without target", "hello\r\n\r\n", nil, ErrStartLine},
		{"line end inside the target", "GET /a\rb HTTP/1.1\r\n\r\n", nil, ErrStartLine},
		{"empty lines", "\r\n\r\n\r\n\r\n", nil, ErrStartLine},
		{"no colon", "GET / HTTP/1.1\r\nabc\r\n\r\n", nil, ErrHeader},
		{"a control character in a value", "GET / HTTP/1.1\r\nA: b\x01c\r\n\r\n", nil, ErrHeader},
		{"two lengths", post("Content-Length: 3\r\nContent-Length: 3", "abc"), nil, ErrFraming},
		{"length and chunks", post("Content-Length: 3\r\nTransfer-Encoding: chunked", ""), nil, ErrFraming},
		{"signed length", post("Content-Length: +3", "abc"), nil, ErrFraming},
		{"huge length", post("Content-Length: 99999999999999999999", ""), nil, ErrFraming},
		{"length over the limit", post("Content-Length: 33554433", ""), nil, ErrBodyTooLarge},
		{
			"too much framing for little content",
			postChunked(strings.Repeat("1;"+strings.Repeat("y", 2000)+"\r\nx\r\n", 100)), nil, ErrBodyTooLarge,
		},
		{
			"chunks in 1.0",
			"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, ErrFraming,
		},
		{"chunk size", postChunked("-1\r\n"), nil, ErrFraming},
		{"chunk end", postChunked("1\r\nabc\r\n"), nil, ErrFraming},
		{"a trailer without a colon", postChunked("0\r\nno colon\r\n\r\n"), nil, ErrFraming},
		{"an endless trailer", postChunked("0\r\n" + strings.Repeat("A: b\r\n", DefaultMaxHead)), nil, ErrFraming},
		{"unsupported expectation", post("Expect: x\r\nContent-Length: 1", ""), nil, ErrExpect},
		{"endless line", "GET /" + strings.Repeat("a", DefaultMaxHead), nil, ErrHeadTooLarge},
		{"endless headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", DefaultMaxHead), nil, ErrHeadTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := readRequest(NewReader(strings.NewReader(tc.in)))
			if !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if tc.err != nil {
				return
			}
			if diff := cmp.Diff(tc.want, got, cmpopts.IgnoreFields(Request{}, "framing", "HTTP10")); diff != "" {
				t.Errorf("request (-want +got):\n%s", diff)
			}
		})
	}
}

// Each pipelined request ends where its framing says, and the bytes after it belong to the next request.
func TestPipelinedRequests(t *testing.T) {
	rd := NewReader(strings.NewReader("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" +
		"POST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb" + "GET /3 HTTP/1.1\r\n\r\n"))
	var got []string
	for rd.Wait() == nil {
		r, err := readRequest(rd)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, r.Target+" "+string(r.Body))
	}
	if diff := cmp.Diff([]string{"/1 a", "/2 b", "/3 "}, got); diff != "" {
		t.Errorf("targets and bodies (-want +got):\n%s", diff)
	}
}

// Up to maxInterim interim answers are skipped. One more is an error, since a server could send them without end.
func TestInterimAnswersAreBounded(t *testing.T) {
	const interim, final = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"
	r, err := NewReader(strings.NewReader(strings.Repeat(interim, maxInterim) + final)).Response(false)
	if err != nil || r.Status != 200 {
		t.Errorf("after %d interim answers: got %+v with %v, want status 200", maxInterim, r, err)
	}
	r, err = NewReader(strings.NewReader(strings.Repeat(interim, maxInterim+1) + final)).Response(false)
	if !errors.Is(err, ErrStartLine) {
		t.Errorf("after one more interim answer: got %+v with %v, want %v", r, err, ErrStartLine)
	}
}

// Any input is either a message within the size limits or an error, and reading it does not panic.
func FuzzMessages(f *testing.F) {
	for _, seed := range []string{
		"GET /a?b HTTP/1.1\r\nx-tier: plus\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nT: u\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.0 200\r\n\r\nto the end", "HTTP/1.1 204 X\r\nConnection: close\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		if r, err := readRequest(NewReader(strings.NewReader(in))); err == nil {
			if len(r.Body) > MaxBufferedBody || !Visible(r.Target) || !Visible(r.Method) {
				t.Errorf("accepted %q %q with %d bytes", r.Method, r.Target, len(r.Body))
			}
		}
		rd := NewReader(strings.NewReader(in))
		if r, err := rd.Response(false); err == nil {
			if body, err := rd.Body(r); err == nil && len(body) > MaxBufferedBody || r.Status < 200 {
				t.Errorf("accepted status %d with %d bytes", r.Status, len(body))
			}
		}
	})
}
