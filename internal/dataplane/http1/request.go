package http1

import (
	"cmp"
	"fmt"
	"io"
	"net/textproto"
	"strings"
)

// Request is one request: its head and, once ReadBody has been called, its body.
type Request struct {
	Method, Target string
	Header         textproto.MIMEHeader
	Body           []byte
	Trailer        textproto.MIMEHeader // after a Body that was chunked
	Streamed       *Body                // a body over MaxBufferedBody, to be read as it arrives; Body is then nil
	Close          bool                 // the connection ends with the answer
	HTTP10         bool                 // the client speaks HTTP/1.0, which has no chunks
	Expect         bool                 // the client waits for 100 Continue before it sends the body

	framing
}

// TooLongToBuffer reports whether the head states a body longer than MaxBufferedBody.
func (r *Request) TooLongToBuffer() bool { return r.length > MaxBufferedBody }

// HasBody reports whether a body follows the head.
func (r *Request) HasBody() bool { return r.chunked || r.length > 0 }

// Head reads the head of the next request. ReadBody reads its body.
func (rd *Reader) Head() (*Request, error) {
	rd.limitHead()
	line, err := rd.startLine()
	if err != nil {
		return nil, err
	}
	method, rest, hasTarget := strings.Cut(line, " ")
	target, proto, hasProto := strings.Cut(rest, " ")
	if !hasTarget || !hasProto || !isMethod(method) || !isTarget(target) || !isProtocol(proto) {
		return nil, fmt.Errorf("%w: %.80q", ErrStartLine, line)
	}
	r := &Request{Method: method, Target: target, HTTP10: proto == "HTTP/1.0"}
	if r.Header, err = rd.header(); err != nil {
		return nil, err
	}
	r.Close = closesConnection(r.Header, proto)
	if r.framing, err = framingOf(r.Header, rd.maxRequestBody()); err != nil {
		return nil, err
	}
	if r.chunked && r.HTTP10 {
		return nil, fmt.Errorf("%w: a transfer coding in HTTP/1.0", ErrFraming) // RFC 9112, 6.1
	}
	if r.Expect, err = expects(r); err != nil {
		return nil, err
	}
	if r.untilClose {
		r.framing = framing{} // a request without a length has no body
	}
	return r, nil
}

// isTarget reports whether a request line's target is one that is read: a path, or * of OPTIONS.
func isTarget(s string) bool { return Visible(s) && (s[0] == '/' || s == "*") }

// expects reports whether a client waits for 100 Continue. In HTTP/1.0 the field is ignored (RFC 9110, 10.1.1).
func expects(r *Request) (bool, error) {
	expect := r.Header["Expect"]
	if len(expect) == 0 || r.HTTP10 {
		return false, nil
	}
	if len(expect) > 1 || !strings.EqualFold(expect[0], "100-continue") {
		return false, fmt.Errorf("%w: %.40q", ErrExpect, expect)
	}
	return true, nil
}

// ReadBody reads the body that follows a head into r.Body, or sets r.Streamed if it is longer than MaxBufferedBody.
func (rd *Reader) ReadBody(r *Request) (err error) {
	if !r.chunked && r.length <= MaxBufferedBody {
		r.Body, err = rd.readBuffered(r.framing)
		return err
	}
	rd.unlimit()
	if !r.chunked {
		r.Streamed = newBodyOfLength(rd, r.length)
		return nil
	}
	chunks := &chunkedReader{reader: rd}
	begin, err := io.ReadAll(io.LimitReader(chunks, MaxBufferedBody+1))
	if err != nil {
		return err
	}
	if len(begin) <= MaxBufferedBody {
		r.Body, r.Trailer = begin, chunks.trailer
		return nil
	}
	r.Streamed = &Body{Length: -1, buffered: begin, rest: chunks, remaining: rd.maxRequestBody()}
	return nil
}

// maxRequestBody returns the limit of a request's body in bytes.
func (rd *Reader) maxRequestBody() int64 { return cmp.Or(rd.MaxRequestBody, DefaultMaxRequestBody) }
