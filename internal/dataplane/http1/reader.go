// Package http1 reads and writes HTTP/1.1 messages over plain connections, for the clients', the
// quote servers' and discovery's side alike. It bounds what a peer can make it hold.
package http1

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	// MaxHead bounds a start line with its headers: a peer could else send one without end.
	MaxHead = 16 << 10
	// MaxBody is the most of a body that is read whole. A longer one is passed on as it comes.
	MaxBufferedBody = 64 << 10
	// MostBody is the most that a request may carry, where the reader is not told another.
	DefaultMaxRequestBody = 32 << 20

	maxInterim         = 8        // 1xx answers before one: a server could else send them without end
	maxChunkFraming    = 64 << 10 // bytes that the framing of a chunked body may take, and chunkPart times its content:
	chunkFramingFactor = 16       // one byte a chunk is legal, lines without end for nothing are not
)

// What can be wrong with a message. Any of them leaves the connection without a known place to go on.
var (
	ErrStartLine    = errors.New("broken start line")
	ErrHeader       = errors.New("broken header")
	ErrHeadTooLarge = errors.New("start line and headers too large")
	ErrFraming      = errors.New("broken length or transfer coding")
	ErrBodyTooLarge = errors.New("body too large")
	ErrExpect       = errors.New("an expectation that cannot be met")
)

// Reader reads the messages of one connection.
type Reader struct {
	MaxRequestBody int64 // bytes of a request's body; 0: MostBody
	limit          io.LimitedReader
	buf            *bufio.Reader
	text           textproto.Reader
}

// NewReader returns a reader of the messages that come from r.
func NewReader(r io.Reader) *Reader {
	m := &Reader{limit: io.LimitedReader{R: r, N: math.MaxInt64}}
	m.buf = bufio.NewReader(&m.limit)
	m.text.R = m.buf
	return m
}

// Wait returns once a byte of the next message is there, or with the error that ended the connection.
func (rd *Reader) Wait() error {
	rd.limit.N = math.MaxInt64
	_, err := rd.buf.Peek(1)
	return err
}

// Buffered tells how many bytes have been read from the connection ahead of the messages.
func (rd *Reader) Buffered() int { return rd.buf.Buffered() }

// Request is one request: its head and, once ReadBody has been called, its body.
type Request struct {
	Method, Target string
	Header         textproto.MIMEHeader
	Body           []byte
	Trailer        textproto.MIMEHeader // behind a Body that came in chunks
	Streamed       *Body                // a body over MaxBody: it is still on the connection, to be read as it comes; Body is then nil
	Close          bool                 // the connection ends with the answer
	HTTP10         bool                 // HTTP/1.0: it knows no chunks
	Expect         bool                 // the client waits for 100 Continue before it sends the body
	framing
}

// FitsNot tells whether the head tells that the body is longer than MaxBody.
func (r *Request) TooLongToBuffer() bool { return r.length > MaxBufferedBody }

// HasBody tells whether a body follows the head.
func (r *Request) HasBody() bool { return r.chunked || r.length > 0 }

// Body is a body that is read as it comes.
type Body struct {
	Length int64 // as the head tells it; -1: chunked

	buffered  []byte // of a chunked one: what was read before it proved to be long
	rest      io.Reader
	remaining int64 // that may still come
	ended     bool  // all of it has been read
}

// Read reads what has come. io.EOF: it has all come. ErrBodyTooLarge: it is longer than MostBody.
func (b *Body) Read(p []byte) (n int, err error) {
	if len(b.buffered) > 0 {
		n = copy(p, b.buffered)
		b.buffered = b.buffered[n:]
	} else if n, err = b.rest.Read(p); errors.Is(err, io.EOF) && b.Length >= 0 && int64(n) < b.remaining {
		err = io.ErrUnexpectedEOF
	}
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	if err == nil && b.Length >= 0 && b.remaining == 0 {
		err = io.EOF // with the last byte: nobody is to wait for one more
	}
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// Rest is how much of it is still to come, in bytes; of a chunked one, how much may be.
func (b *Body) Remaining() int64 { return b.remaining }

// Ended tells whether all of it has been read.
func (b *Body) Ended() bool { return b.ended }

// Head reads the head of the next request. Its body is ReadBody's to read.
func (rd *Reader) Head() (*Request, error) {
	rd.limit.N = MaxHead - int64(rd.buf.Buffered())
	line, err := rd.startLine()
	if err != nil {
		return nil, err
	}
	method, rest, ok := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isMethod(method) || !visible(target) || target[0] != '/' && target != "*" ||
		proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, fmt.Errorf("%w: %.80q", ErrStartLine, line)
	}
	r := &Request{Method: method, Target: target}
	if r.Header, err = rd.header(); err != nil {
		return nil, err
	}
	r.HTTP10 = proto == "HTTP/1.0"
	r.Close = closesConnection(r.Header, proto)
	if r.framing, err = framingOf(r.Header, cmp.Or(rd.MaxRequestBody, DefaultMaxRequestBody)); err != nil {
		return nil, err
	}
	if r.chunked && r.HTTP10 {
		return nil, fmt.Errorf("%w: a transfer coding in HTTP/1.0", ErrFraming) // RFC 9112, 6.1: its framing is faulty
	}
	if expect := r.Header["Expect"]; len(expect) > 0 && !r.HTTP10 { // RFC 9110, 10.1.1: of 1.0 it is to be ignored
		if len(expect) > 1 || !strings.EqualFold(expect[0], "100-continue") {
			return nil, fmt.Errorf("%w: %.40q", ErrExpect, expect)
		}
		r.Expect = true
	}
	if r.untilClose {
		r.framing = framing{} // a request without a length has no body
	}
	return r, nil
}

// ReadBody reads the body that follows a head: the whole of it, or, where it is longer than MaxBody, r.Long is set.
func (rd *Reader) ReadBody(r *Request) (err error) {
	if !r.chunked && r.length <= MaxBufferedBody {
		r.Body, err = rd.body(r.framing)
		return err
	}
	rd.limit.N = math.MaxInt64
	if !r.chunked {
		r.Streamed = &Body{Length: r.length, rest: io.LimitReader(rd.buf, r.length), remaining: r.length}
		return nil
	}
	rest := &chunkedReader{reader: rd}
	begin, err := io.ReadAll(io.LimitReader(rest, MaxBufferedBody+1))
	if err != nil {
		return err
	}
	if len(begin) <= MaxBufferedBody {
		r.Body, r.Trailer = begin, rest.trailer
		return nil
	}
	r.Streamed = &Body{Length: -1, buffered: begin, rest: rest, remaining: cmp.Or(rd.MaxRequestBody, DefaultMaxRequestBody)}
	return nil
}

// Response is the head of an answer.
type Response struct {
	Status     int
	Header     textproto.MIMEHeader
	HeadLength int64 // of an answer to HEAD: the length that it tells of a body that does not come
	Close      bool  // the connection ends with this answer
	framing
}

// Response reads the head of the next final answer. Bodiless: it is one to HEAD, whose length is that of another's body.
func (rd *Reader) Response(bodiless bool) (*Response, error) {
	for range maxInterim + 1 {
		rd.limit.N = MaxHead - int64(rd.buf.Buffered())
		line, err := rd.startLine()
		if err != nil {
			return nil, err
		}
		proto, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || status < 100 || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
			return nil, fmt.Errorf("%w: %.80q", ErrStartLine, line)
		}
		a := &Response{Status: status}
		if a.Header, err = rd.header(); err != nil {
			return nil, err
		}
		if status < 200 {
			continue // interim, 100 Continue and its like
		}
		a.Close = closesConnection(a.Header, proto)
		if status == 204 || status == 304 {
			return a, nil
		}
		if a.framing, err = framingOf(a.Header, math.MaxInt64); err != nil {
			return nil, err
		}
		if bodiless {
			a.HeadLength, a.framing = a.length, framing{}
			return a, nil
		}
		a.Close = a.Close || a.untilClose
		return a, nil
	}
	return nil, fmt.Errorf("%w: interim answers without end", ErrStartLine)
}

// Large tells whether an answer's body may be longer than MaxBody: it is to be streamed, not read whole.
func (r *Response) Large() bool { return r.chunked || r.untilClose || r.length > MaxBufferedBody }

// Unbounded tells whether an answer's body ends with the connection: one that was cut short cannot be told from a whole one.
func (r *Response) EndsWithConnection() bool { return r.untilClose }

// Body reads the whole body of an answer, of at most MaxBody.
func (rd *Reader) Body(a *Response) ([]byte, error) { return rd.body(a.framing) }

// Stream returns an answer's body, to be read as it comes. Whoever reads it is to bound what is kept.
func (rd *Reader) Stream(a *Response) *Body {
	rd.limit.N = math.MaxInt64
	switch {
	case a.chunked:
		return &Body{Length: -1, rest: &chunkedReader{reader: rd}, remaining: math.MaxInt64}
	case a.untilClose:
		return &Body{Length: -1, rest: rd.buf, remaining: math.MaxInt64}
	}
	return &Body{Length: a.length, rest: io.LimitReader(rd.buf, a.length), remaining: a.length}
}

// Trailer are the fields behind a chunked body, once it has been read to its end; nil: there are none.
func (b *Body) Trailer() textproto.MIMEHeader {
	if c, ok := b.rest.(*chunkedReader); ok {
		return c.trailer
	}
	return nil
}

// startLine reads a start line. Empty lines before it are passed over, as RFC 9112 asks.
func (rd *Reader) startLine() (string, error) {
	for range 3 {
		line, err := rd.text.ReadLine()
		if err != nil {
			return "", rd.tooLarge(err)
		}
		if line != "" {
			return line, nil
		}
	}
	return "", fmt.Errorf("%w: empty", ErrStartLine)
}

func (rd *Reader) header() (textproto.MIMEHeader, error) {
	h, err := rd.text.ReadMIMEHeader()
	var broken textproto.ProtocolError
	switch {
	case errors.As(err, &broken):
		return nil, fmt.Errorf("%w: %.80s", ErrHeader, broken)
	case errors.Is(err, io.EOF):
		return nil, rd.tooLarge(io.ErrUnexpectedEOF)
	case err != nil:
		return nil, rd.tooLarge(err)
	}
	for key, values := range h { // textproto lets a name of several words pass, and controls in a value
		if strings.IndexByte(key, ' ') >= 0 || !validFieldValue(strings.Join(values, "")) {
			return nil, fmt.Errorf("%w: %.80q", ErrHeader, key)
		}
	}
	return h, nil
}

// tooLarge tells an end that the limit made from one that the peer made.
func (rd *Reader) tooLarge(err error) error {
	if rd.limit.N <= 0 {
		return ErrHeadTooLarge
	}
	return err
}

// framing tells how the end of a body is known.
type framing struct {
	length              int64
	chunked, untilClose bool
}

// framingOf refuses whatever two readers could take for two different lengths.
func framingOf(h textproto.MIMEHeader, most int64) (f framing, err error) {
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case len(codings) > 0:
		if len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return f, fmt.Errorf("%w: transfer coding %.40q", ErrFraming, codings)
		}
		f.chunked = true
	case len(lengths) == 0:
		f.untilClose = true
	default:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil || len(lengths) > 1 {
			return f, fmt.Errorf("%w: content length %.40q", ErrFraming, lengths)
		}
		if f.length = int64(n); f.length > most {
			return f, ErrBodyTooLarge
		}
	}
	return f, nil
}

func (rd *Reader) body(f framing) ([]byte, error) {
	switch {
	case f.chunked:
		rd.limit.N = math.MaxInt64
		return rd.bounded(&chunkedReader{reader: rd})
	case f.untilClose:
		rd.limit.N = math.MaxInt64
		return rd.bounded(rd.buf)
	case f.length == 0:
		return nil, nil
	case f.length > MaxBufferedBody:
		return nil, ErrBodyTooLarge
	}
	rd.limit.N = math.MaxInt64
	body := make([]byte, f.length)
	_, err := io.ReadFull(rd.buf, body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

func (rd *Reader) bounded(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBufferedBody+1))
	if len(body) > MaxBufferedBody {
		return nil, ErrBodyTooLarge
	}
	return body, err
}

func closesConnection(h textproto.MIMEHeader, proto string) bool {
	for _, v := range h["Connection"] {
		for _, option := range strings.Split(v, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				return true
			case "keep-alive":
				return false
			}
		}
	}
	return proto == "HTTP/1.0"
}

func isMethod(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return c < 'A' || c > 'Z' }) < 0
}

// visible guards against bytes that would end a line, or a word of it, where the text is passed on.
func visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

// Visible tells whether a header's value is one word that can be passed on as it is.
func Visible(s string) bool { return visible(s) }
