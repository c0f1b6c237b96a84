package http1

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// Body is a message body that the caller reads as it arrives.
type Body struct {
	Length int64 // length in bytes as stated in the head; -1: not stated

	buffered  []byte    // start of a chunked body, which was read before the body proved too long to buffer
	rest      io.Reader // source of the bytes after buffered
	remaining int64     // bytes that may still arrive
	ended     bool      // whether the body was read to its end
}

// newBodyOfLength returns a body whose length in bytes is stated in the head.
func newBodyOfLength(rd *Reader, length int64) *Body {
	return &Body{Length: length, rest: io.LimitReader(rd.buf, length), remaining: length}
}

// Read reads the bytes that have arrived. It returns io.EOF when the body is complete, and ErrBodyTooLarge when the
// body exceeds its limit.
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
		err = io.EOF // returned with the last byte, so that the caller does not wait for another one
	}
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// Remaining returns how many bytes are still to be read. For a body of unknown length it returns how many bytes the
// limit still allows.
func (b *Body) Remaining() int64 { return b.remaining }

// Ended reports whether the body was read to its end.
func (b *Body) Ended() bool { return b.ended }

// Trailer returns the trailer fields of a chunked body that has been read to its end; nil if there are none.
func (b *Body) Trailer() textproto.MIMEHeader {
	if c, ok := b.rest.(*chunkedReader); ok {
		return c.trailer
	}
	return nil
}

// framing describes how the end of a body is found.
type framing struct {
	length     int64 // length in bytes; 0 if chunked or untilClose is set
	chunked    bool  // whether the body has the chunked transfer coding
	untilClose bool  // whether the body ends where the connection ends
}

// parseFraming returns the framing that a header states. It rejects a Content-Length over maxLength bytes, and any
// header that two readers could interpret as two different lengths.
func parseFraming(h textproto.MIMEHeader, maxLength int64) (f framing, err error) {
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

// readBuffered reads a body into memory. A body of more than MaxBufferedBody bytes is an error.
func (rd *Reader) readBuffered(f framing) ([]byte, error) {
	switch {
	case f.chunked:
		rd.removeHeadLimit()
		return readBounded(&chunkedReader{reader: rd})
	case f.untilClose:
		rd.removeHeadLimit()
		return readBounded(rd.buf)
	case f.length == 0:
		return nil, nil
	case f.length > MaxBufferedBody:
		return nil, ErrBodyTooLarge
	}
	rd.removeHeadLimit()
	body := make([]byte, f.length)
	_, err := io.ReadFull(rd.buf, body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// readBounded reads r to its end. More than MaxBufferedBody bytes are an error.
func readBounded(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBufferedBody+1))
	if len(body) > MaxBufferedBody {
		return nil, ErrBodyTooLarge
	}
	return body, err
}
