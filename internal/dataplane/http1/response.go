package http1

import (
	"fmt"
	"math"
	"net/textproto"
	"strconv"
	"strings"
)

// maxInterim bounds the interim answers (1xx) before a final one: a server could else send them without end.
const maxInterim = 8

// Response is the head of an answer.
type Response struct {
	Status     int
	Header     textproto.MIMEHeader
	HeadLength int64 // of an answer to HEAD: the length that it states of a body that is not sent
	Close      bool  // the connection ends with this answer

	framing
}

// Large reports whether an answer's body may be longer than MaxBufferedBody: it is to be streamed.
func (r *Response) Large() bool { return r.chunked || r.untilClose || r.length > MaxBufferedBody }

// Response reads the head of the next final answer. Bodiless: it is one to HEAD, without the body whose length it
// states.
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
		if r.framing, err = framingOf(r.Header, math.MaxInt64); err != nil {
			return nil, err
		}
		if bodiless {
			r.HeadLength, r.framing = r.length, framing{}
			return r, nil
		}
		r.Close = r.Close || r.untilClose
		return r, nil
	}
	return nil, fmt.Errorf("%w: interim answers without end", ErrStartLine)
}

// responseHead reads the status line and the header of an answer.
func (rd *Reader) responseHead() (r *Response, proto string, err error) {
	rd.limitHead()
	line, err := rd.startLine()
	if err != nil {
		return nil, "", err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || !isProtocol(proto) {
		return nil, "", fmt.Errorf("%w: %.80q", ErrStartLine, line)
	}
	r = &Response{Status: status}
	r.Header, err = rd.header()
	return r, proto, err
}

// Body reads the body of an answer, of MaxBufferedBody bytes at most.
func (rd *Reader) Body(r *Response) ([]byte, error) { return rd.readBuffered(r.framing) }

// Stream returns an answer's body, to be read as it arrives. Its length has no limit.
func (rd *Reader) Stream(r *Response) *Body {
	rd.unlimit()
	switch {
	case r.chunked:
		return &Body{Length: -1, rest: &chunkedReader{reader: rd}, remaining: math.MaxInt64}
	case r.untilClose:
		return &Body{Length: -1, rest: rd.buf, remaining: math.MaxInt64}
	}
	return newBodyOfLength(rd, r.length)
}
