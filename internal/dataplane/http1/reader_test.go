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

// Request reads the next request, and its body as far as it is read whole.
func (rd *Reader) Request() (*Request, error) {
	r, err := rd.Head()
	if err == nil {
		err = rd.ReadBody(r)
	}
	return r, err
}

func TestRequest(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		want     *Request
		err      error
	}{
		{"plain", "GET /a?b HTTP/1.1\r\nx-tier: plus\r\n\r\n",
			&Request{Method: "GET", Target: "/a?b", Header: textproto.MIMEHeader{"X-Tier": {"plus"}}}, nil},
		{"bare line ends, empty line first", "\nGET / HTTP/1.1\nA: b\n\n",
			&Request{Method: "GET", Target: "/", Header: textproto.MIMEHeader{"A": {"b"}}}, nil},
		{"length", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcd",
			&Request{Method: "POST", Target: "/", Header: textproto.MIMEHeader{"Content-Length": {"3"}}, Body: []byte("abc")}, nil},
		{"chunks and a trailer", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: u\r\n\r\n",
			&Request{Method: "POST", Target: "/", Header: textproto.MIMEHeader{"Transfer-Encoding": {"chunked"}}, Body: []byte("abc"), Trailer: textproto.MIMEHeader{"T": {"u"}}}, nil},
		{"a trailer that is none", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nno colon\r\n\r\n", nil, ErrFraming},
		{"an endless trailer", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", MaxHead), nil, ErrFraming},
		{"a control in a value", "GET / HTTP/1.1\r\nA: b\x01c\r\n\r\n", nil, ErrHeader},
		{"close", "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n",
			&Request{Method: "GET", Target: "/", Header: textproto.MIMEHeader{"Connection": {"x, Close"}}, Close: true}, nil},
		{"1.0", "GET / HTTP/1.0\r\n\r\n", &Request{Method: "GET", Target: "/", Header: textproto.MIMEHeader{}, Close: true}, nil},
		{"1.0 kept", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
			&Request{Method: "GET", Target: "/", Header: textproto.MIMEHeader{"Connection": {"keep-alive"}}}, nil},
		{"nothing", "", nil, io.EOF},
		{"ended in the head", "GET / HTTP/1.1\r\nA: b\r\n", nil, io.ErrUnexpectedEOF},
		{"ended in the body", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", nil, io.ErrUnexpectedEOF},
		{"ended in a chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", nil, io.ErrUnexpectedEOF},
		{"ended before the last chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", nil, io.ErrUnexpectedEOF},
		{"no words", "hello\r\n\r\n", nil, ErrStartLine},
		{"line end inside", "GET /a\rb HTTP/1.1\r\n\r\n", nil, ErrStartLine},
		{"empty lines", "\r\n\r\n\r\n\r\n", nil, ErrStartLine},
		{"no colon", "GET / HTTP/1.1\r\nabc\r\n\r\n", nil, ErrHeader},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", nil, ErrFraming},
		{"length and chunks", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", nil, ErrFraming},
		{"signed length", "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", nil, ErrFraming},
		{"huge length", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", nil, ErrFraming},
		{"too large a length", "POST / HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n", nil, ErrBodyTooLarge},
		{"chunks of one", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 65536) + "0\r\n\r\n",
			&Request{Method: "POST", Target: "/", Header: textproto.MIMEHeader{"Transfer-Encoding": {"chunked"}}, Body: bytes.Repeat([]byte("x"), 65536)}, nil},
		{"framing for nothing", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("y", 2000)+"\r\nx\r\n", 100), nil, ErrBodyTooLarge},
		{"chunks in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, ErrFraming},
		{"another expectation", "POST / HTTP/1.1\r\nExpect: x\r\nContent-Length: 1\r\n\r\n", nil, ErrExpect},
		{"chunk size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", nil, ErrFraming},
		{"chunk end", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", nil, ErrFraming},
		{"endless line", "GET /" + strings.Repeat("a", MaxHead), nil, ErrHeadTooLarge},
		{"endless headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxHead), nil, ErrHeadTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := NewReader(strings.NewReader(tc.in)).Request()
			if !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if tc.err == nil {
				if diff := cmp.Diff(tc.want, got, cmpopts.IgnoreFields(Request{}, "framing", "HTTP10")); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// A message ends where it says: what follows it is the next one.
func TestMessagesInARow(t *testing.T) {
	r := NewReader(strings.NewReader("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" +
		"POST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb" + "GET /3 HTTP/1.1\r\n\r\n"))
	var got []string
	for {
		if err := r.Wait(); err != nil {
			break
		}
		m, err := r.Request()
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, m.Target+" "+string(m.Body))
	}
	if diff := cmp.Diff([]string{"/1 a", "/2 b", "/3 "}, got); diff != "" {
		t.Error(diff)
	}
}

// Interim answers are passed over, but not without end.
func TestInterimAnswersAreBounded(t *testing.T) {
	const interim, final = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"
	if a, err := NewReader(strings.NewReader(strings.Repeat(interim, maxInterim) + final)).Response(false); err != nil || a.Status != 200 {
		t.Errorf("after %d: %+v, %v", maxInterim, a, err)
	}
	if a, err := NewReader(strings.NewReader(strings.Repeat(interim, maxInterim+1) + final)).Response(false); !errors.Is(err, ErrStartLine) {
		t.Errorf("after one more: %+v, %v", a, err)
	}
}

// Whatever comes, a message is read whole within its bounds or is an error, and no reading of it panics.
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
		if r, err := NewReader(strings.NewReader(in)).Request(); err == nil {
			if len(r.Body) > MaxBufferedBody || !Visible(r.Target) || !Visible(r.Method) {
				t.Errorf("passed %q %q with %d bytes", r.Method, r.Target, len(r.Body))
			}
		}
		m := NewReader(strings.NewReader(in))
		if a, err := m.Response(false); err == nil {
			if body, err := m.Body(a); err == nil && len(body) > MaxBufferedBody || a.Status < 200 {
				t.Errorf("passed status %d with %d bytes", a.Status, len(body))
			}
		}
	})
}
