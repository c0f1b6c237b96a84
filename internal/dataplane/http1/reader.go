package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/textproto"
	"strings"
)

const (
	// MaxHead bounds a start line with its header, in bytes: a peer could else send one without end.
	MaxHead = 16 << 10
	// MaxBufferedBody is the size in bytes up to which a body is buffered. A longer one is streamed.
	MaxBufferedBody = 64 << 10
	// DefaultMaxRequestBody is the limit of a request's body in bytes, where Reader.MaxRequestBody is 0.
	DefaultMaxRequestBody = 32 << 20

	maxEmptyLines = 2 // before a start line
)

// Reader reads the messages of one connection.
type Reader struct {
	MaxRequestBody int64 // bytes; 0: DefaultMaxRequestBody

	limit io.LimitedReader // bounds a head; between heads it is unlimited
	buf   *bufio.Reader
	text  textproto.Reader
}

// NewReader returns a reader of the messages that arrive from r.
func NewReader(r io.Reader) *Reader {
	rd := &Reader{limit: io.LimitedReader{R: r, N: math.MaxInt64}}
	rd.buf = bufio.NewReader(&rd.limit)
	rd.text.R = rd.buf
	return rd
}

// Wait returns once a byte of the next message has arrived, or with the error that ended the connection.
func (rd *Reader) Wait() error {
	rd.unlimit()
	_, err := rd.buf.Peek(1)
	return err
}

// Buffered returns how many bytes have been read from the connection beyond the messages.
func (rd *Reader) Buffered() int { return rd.buf.Buffered() }

// limitHead bounds what is read from now on to a head.
func (rd *Reader) limitHead() { rd.limit.N = MaxHead - int64(rd.buf.Buffered()) }

// unlimit ends the bound of a head.
func (rd *Reader) unlimit() { rd.limit.N = math.MaxInt64 }

// startLine reads a start line. Empty lines before it are skipped (RFC 9112, 2.2).
func (rd *Reader) startLine() (string, error) {
	for range maxEmptyLines + 1 {
		line, err := rd.text.ReadLine()
		if err != nil {
			return "", rd.headError(err)
		}
		if line != "" {
			return line, nil
		}
	}
	return "", fmt.Errorf("%w: empty", ErrStartLine)
}

// header reads the fields of a head, up to the empty line after them.
func (rd *Reader) header() (textproto.MIMEHeader, error) {
	h, err := rd.text.ReadMIMEHeader()
	var broken textproto.ProtocolError
	switch {
	case errors.As(err, &broken):
		return nil, fmt.Errorf("%w: %.80s", ErrHeader, broken.Error())
	case errors.Is(err, io.EOF):
		return nil, rd.headError(io.ErrUnexpectedEOF)
	case err != nil:
		return nil, rd.headError(err)
	}
	for key, values := range h { // textproto accepts a name with spaces, and control characters in a value
		if strings.IndexByte(key, ' ') >= 0 || !validFieldValue(strings.Join(values, "")) {
			return nil, fmt.Errorf("%w: %.80q", ErrHeader, key)
		}
	}
	return h, nil
}

// headError returns the error of reading a head: ErrHeadTooLarge where the limit was the cause.
func (rd *Reader) headError(err error) error {
	if rd.limit.N <= 0 {
		return ErrHeadTooLarge
	}
	return err
}

// closesConnection reports whether the connection ends with a message, by its protocol version and Connection field.
func closesConnection(h textproto.MIMEHeader, proto string) bool {
	for _, value := range h["Connection"] {
		for _, option := range strings.Split(value, ",") {
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

// isProtocol reports whether a start line's protocol version is one that is read.
func isProtocol(s string) bool { return s == "HTTP/1.1" || s == "HTTP/1.0" }

// isMethod reports whether a request line's method is one that is read.
func isMethod(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return c < 'A' || c > 'Z' }) < 0
}

// Visible reports whether a text is not empty and has visible ASCII characters only: no space and no line end, so it
// can be forwarded as one element of a start line or as one field value.
func Visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}
