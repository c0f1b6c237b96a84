package http1

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"net/textproto"
	"strings"
)

const (
	// DefaultMaxHead is the limit in bytes of a start line with its header if Reader.MaxHead is 0. Without a limit, a
	// peer could make the reader buffer a head without end.
	DefaultMaxHead = 16 << 10
	// MaxBufferedBody is the size in bytes up to which a body is buffered in memory. A longer body is streamed.
	MaxBufferedBody = 64 << 10
	// DefaultMaxRequestBody is the limit in bytes of a request's body if Reader.MaxRequestBody is 0. A longer body is
	// rejected with ErrBodyTooLarge.
	DefaultMaxRequestBody = 32 << 20

	// maxEmptyLines is how many empty lines before a start line are skipped. More are an error, because a peer could
	// otherwise send them without end.
	maxEmptyLines = 2
)

// Reader reads the HTTP messages that arrive on one connection.
type Reader struct {
	MaxRequestBody int64 // limit of a request's body in bytes; 0: DefaultMaxRequestBody
	MaxHead        int64 // limit of a start line with its header in bytes; 0: DefaultMaxHead

	limit io.LimitedReader // limits the bytes of a head; unlimited while no head is read
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

// Wait blocks until a byte of the next message has arrived, or returns the error that ended the connection.
func (rd *Reader) Wait() error {
	rd.removeHeadLimit()
	_, err := rd.buf.Peek(1)
	return err
}

// Buffered returns how many bytes were read from the connection beyond the end of the last message.
func (rd *Reader) Buffered() int { return rd.buf.Buffered() }

// limitHead limits the next head, including the bytes that are buffered already.
func (rd *Reader) limitHead() {
	rd.limit.N = cmp.Or(rd.MaxHead, DefaultMaxHead) - int64(rd.buf.Buffered())
}

// removeHeadLimit removes the limit that limitHead set. Bodies have limits of their own.
func (rd *Reader) removeHeadLimit() { rd.limit.N = math.MaxInt64 }

// startLine reads a start line. It skips up to maxEmptyLines empty lines before it (RFC 9112, 2.2).
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

// header reads the fields of a head and the empty line after them.
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
	for key, values := range h { // textproto accepts names with spaces and values with control characters
		if strings.IndexByte(key, ' ') >= 0 || !validFieldValue(strings.Join(values, "")) {
			return nil, fmt.Errorf("%w: %.80q", ErrHeader, key)
		}
	}
	return h, nil
}

// headError returns ErrHeadTooLarge if the limit of the head caused an error of reading it, and else the error itself.
func (rd *Reader) headError(err error) error {
	if rd.limit.N <= 0 {
		return ErrHeadTooLarge
	}
	return err
}

// closesConnection reports whether a message's protocol version and Connection field say that the connection closes
// after it.
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

// supportedProtocol reports whether the reader accepts a start line's protocol version.
func supportedProtocol(s string) bool { return s == "HTTP/1.1" || s == "HTTP/1.0" }

// validMethod reports whether the reader accepts a request line's method: upper-case ASCII letters only.
func validMethod(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return c < 'A' || c > 'Z' }) < 0
}

// Visible reports whether s is not empty and has visible ASCII characters only. Without spaces and line ends it can be
// forwarded as one element of a start line or as one field value.
func Visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}
