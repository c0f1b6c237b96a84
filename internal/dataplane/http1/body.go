package http1

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// Body is a body that is read as it arrives.
type Body struct {
	Length int64 // in bytes, as the head states it; -1: it does not

	buffered  []byte // of a chunked one: what was read before it proved to be too long to buffer
	rest      io.Reader
	remaining int64 // bytes that may still arrive
	ended     bool  // read to its end
}

// newBodyOfLength returns a body whose length the head states.
func newBodyOfLength(rd *Reader, length int64) *Body {
	return &Body{Length: length, rest: io.LimitReader(rd.buf, length), remaining: length}
}

// Read reads what has arrived. With io.EOF, the body is complete. ErrBodyTooLarge: it is longer than the limit.
func (b *Body) Read(p []byte) (n int, err error) {
	if len(b.buffered) > 0 {
		n = copy(p, b.buffered)
		b.buffered = b.buffered[n:]
	} else {
		n, err = b.rest.Read(p)
		if errors.Is(err, io.EOF) && b.Length >= 0 && int64(n) < b.remaining {
			err = io.ErrUnexpectedEOF
		}
	}
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	if err == nil && b.Length >= 0 && b.remaining == 0 {
		err = io.EOF // with the last byte: the reader is not to wait for another
	}
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// Remaining returns how many bytes are still to be read; of a chunked body, how many there may be.
func (b *Body) Remaining() int64 { return b.remaining }

// Ended reports whether the body was read to its end.
func (b *Body) Ended() bool { return b.ended }

// Trailer returns the fields after a chunked body that has been read to its end; nil: there are none.
func (b *Body) Trailer() textproto.MIMEHeader {
	if c, ok := b.rest.(*chunkedReader); ok {
		return c.trailer
	}
	return nil
}

// framing is how the end of a body is known.
type framing struct {
	length     int64 // in bytes, unless one of the others holds
	chunked    bool
	untilClose bool // the end of the connection is that of the body
}

// framingOf returns the framing that a header states, of a body with a limit in bytes. Whatever two readers could
// take for two different lengths is an error.
func framingOf(h textproto.MIMEHeader, maxLength int64) (f framing, err error) {
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
		f.length = int64(n)
		if f.length > maxLength {
			return f, ErrBodyTooLarge
		}
	}
	return f, nil
}

// readBuffered reads a body of MaxBufferedBody bytes at most.
func (rd *Reader) readBuffered(f framing) ([]byte, error) {
	switch {
	case f.chunked:
		rd.unlimit()
		return readBounded(&chunkedReader{reader: rd})
	case f.untilClose:
		rd.unlimit()
		return readBounded(rd.buf)
	case f.length == 0:
		return nil, nil
	case f.length > MaxBufferedBody:
		return nil, ErrBodyTooLarge
	}
	rd.unlimit()
	body := make([]byte, f.length)
	_, err := io.ReadFull(rd.buf, body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// readBounded reads all of r, of MaxBufferedBody bytes at most.
func readBounded(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBufferedBody+1))
	if len(body) > MaxBufferedBody {
		return nil, ErrBodyTooLarge
	}
	return body, err
}
