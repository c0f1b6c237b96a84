package http1

import (
	"fmt"
	"math"
	"net/textproto"
	"strconv"
	"strings"
)

// maxInterim is how many interim answers (1xx) before a final one are skipped. More are an error, because a server
// could otherwise send them without end.
const maxInterim = 8

// Response is the head of an answer.
type Response struct {
	Status     int
	Header     textproto.MIMEHeader
	HeadLength int64 // Content-Length in bytes of an answer to HEAD, whose body is not sent
	Close      bool  // whether the connection closes after this answer

	framing
}

// Large reports whether the body may be longer than MaxBufferedBody bytes and must therefore be streamed.
func (r *Response) Large() bool { return r.chunked || r.untilClose || r.length > MaxBufferedBody }

// Response reads the head of the next final answer. If bodiless is true, the answer is one to a HEAD request: no body
// follows, although the head may state a length.
func (rd *Reader) Response(bodiless bool) (*Response, error) {
	for range maxInterim + 1 {
		r, proto, err := rd.responseHead()
		if err != nil {
			return nil, err
		}
		if r.Status < 200 {
			continue
		}
		r.Close = closesConnection(r.Header, proto)
		if r.Status == 204 || r.Status == 304 {
			return r, nil
		}
		if r.framing, err = parseFraming(r.Header, math.MaxInt64); err != nil {
			return nil, err
		}
		if bodiless {
			r.HeadLength, r.framing = r.length, framing{}
			return r, nil
		}
		r.Close = r.Close || r.untilClose
		return r, nil
	}
	return nil, fmt.Errorf("%w: too many interim answers", ErrStartLine)
}

// responseHead reads the status line and the header of the next answer, which may be an interim one.
func (rd *Reader) responseHead() (r *Response, proto string, err error) {
	rd.limitHead()
	line, err := rd.startLine()
	if err != nil {
		return nil, "", err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || !supportedProtocol(proto) {
		return nil, "", fmt.Errorf("%w: %.80q", ErrStartLine, line)
	}
	r = &Response{Status: status}
	r.Header, err = rd.header()
	return r, proto, err
}

// Body reads the body of an answer into memory. A body of more than MaxBufferedBody bytes is an error.
func (rd *Reader) Body(r *Response) ([]byte, error) { return rd.readBuffered(r.framing) }

// Stream returns the body of an answer, which the caller reads as it arrives. Its length has no limit.
func (rd *Reader) Stream(r *Response) *Body {
	rd.removeHeadLimit()
	switch {
	case r.chunked:
		return &Body{Length: -1, rest: &chunkedReader{reader: rd}, remaining: math.MaxInt64}
	case r.untilClose:
		return &Body{Length: -1, rest: rd.buf, remaining: math.MaxInt64}
	}
	return newBodyOfLength(rd, r.length)
}
