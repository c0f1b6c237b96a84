package http1

import (
	"cmp"
	"fmt"
	"io"
	"net/textproto"
	"strings"
)

// Request is one request: the head, and after a call of ReadBody also the body.
type Request struct {
	Method, Target string
	Header         textproto.MIMEHeader
	Body           []byte
	Trailer        textproto.MIMEHeader // trailer fields, if Body was chunked
	Streamed       *Body                // body of more than MaxBufferedBody bytes, read as it arrives; Body is then nil
	Close          bool                 // whether the connection closes after the answer
	HTTP10         bool                 // whether the client uses HTTP/1.0, which has no chunked transfer coding
	Expect         bool                 // whether the client waits for 100 Continue before it sends the body

	framing
}

// TooLongToBuffer reports whether the head states a body of more than MaxBufferedBody bytes.
func (r *Request) TooLongToBuffer() bool { return r.length > MaxBufferedBody }

// HasBody reports whether a body follows the head.
func (r *Request) HasBody() bool { return r.chunked || r.length > 0 }

// Head reads the head of the next request. The caller reads its body with ReadBody.
func (rd *Reader) Head() (*Request, error) {
	rd.limitHead()
	line, err := rd.startLine()
	if err != nil {
		return nil, err
	}
	method, rest, hasTarget := strings.Cut(line, " ")
	target, proto, hasProto := strings.Cut(rest, " ")
	if !hasTarget || !hasProto || !validMethod(method) || !validTarget(target) || !supportedProtocol(proto) {
		return nil, fmt.Errorf("%w: %.80q", ErrStartLine, line)
	}
	r := &Request{Method: method, Target: target, HTTP10: proto == "HTTP/1.0"}
	if r.Header, err = rd.header(); err != nil {
		return nil, err
	}
	r.Close = closesConnection(r.Header, proto)
	if r.framing, err = parseFraming(r.Header, rd.maxRequestBody()); err != nil {
		return nil, err
	}
	if r.chunked && r.HTTP10 {
		return nil, fmt.Errorf("%w: a transfer coding in HTTP/1.0", ErrFraming) // RFC 9112, 6.1
	}
	if r.Expect, err = expectsContinue(r); err != nil {
		return nil, err
	}
	if r.untilClose {
		r.framing = framing{} // a request without a length has no body
	}
	return r, nil
}

// validTarget reports whether the reader accepts a request line's target: a path, or the * of an OPTIONS request.
func validTarget(s string) bool { return Visible(s) && (s[0] == '/' || s == "*") }

// expectsContinue reports whether the client waits for 100 Continue before it sends the body. In an HTTP/1.0 request
// the Expect field is ignored (RFC 9110, 10.1.1).
func expectsContinue(r *Request) (bool, error) {
	expect := r.Header["Expect"]
	if len(expect) == 0 || r.HTTP10 {
		return false, nil
	}
	if len(expect) > 1 || !strings.EqualFold(expect[0], "100-continue") {
		return false, fmt.Errorf("%w: %.40q", ErrExpect, expect)
	}
	return true, nil
}

// ReadBody reads the body that follows a head into r.Body. For a body of more than MaxBufferedBody bytes it sets
// r.Streamed instead.
func (rd *Reader) ReadBody(r *Request) (err error) {
	if !r.chunked && r.length <= MaxBufferedBody {
		r.Body, err = rd.readBuffered(r.framing)
		return err
	}
	rd.removeHeadLimit()
	if !r.chunked {
		r.Streamed = newBodyOfLength(rd, r.length)
		return nil
	}
	chunks := &chunkedReader{reader: rd}
	prefix, err := io.ReadAll(io.LimitReader(chunks, MaxBufferedBody+1))
	if err != nil {
		return err
	}
	if len(prefix) <= MaxBufferedBody {
		r.Body, r.Trailer = prefix, chunks.trailer
		return nil
	}
	r.Streamed = &Body{Length: -1, buffered: prefix, rest: chunks, remaining: rd.maxRequestBody()}
	return nil
}

// maxRequestBody returns the limit in bytes of a request's body.
func (rd *Reader) maxRequestBody() int64 { return cmp.Or(rd.MaxRequestBody, DefaultMaxRequestBody) }
