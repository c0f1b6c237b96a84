package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// chunks reads a chunked body up to and with its trailer.
type chunkedReader struct {
	reader                     *Reader
	remaining                  uint64
	framingBytes, contentBytes int64 // bytes of framing and of content so far
	begun                      bool
	trailer                    textproto.MIMEHeader
	err                        error
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.err == nil && c.remaining == 0 {
		c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.reader.buf.Read(p[:min(uint64(len(p)), c.remaining)])
	c.remaining -= uint64(n)
	c.contentBytes += int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

func (c *chunkedReader) next() error {
	if c.begun {
		if line, err := c.line(); err != nil || len(line) > 0 {
			return cmp.Or(err, ErrFraming)
		}
	}
	c.begun = true
	line, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	if c.remaining, err = strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32); err != nil {
		return fmt.Errorf("%w: chunk size %.20q", ErrFraming, size)
	}
	if c.remaining > 0 {
		return nil
	}
	for room := MaxHead; ; { // the trailer is held: a peer could else send one without end
		line, err := c.line()
		if err != nil || len(line) == 0 {
			return cmp.Or(err, io.EOF)
		}
		name, value, ok := strings.Cut(string(line), ":")
		if room -= len(line); room < 0 || !ok || !validFieldName(name) || !validFieldValue(value) {
			return fmt.Errorf("%w: trailer %.40q", ErrFraming, line)
		}
		if c.trailer == nil {
			c.trailer = textproto.MIMEHeader{}
		}
		c.trailer.Add(name, strings.TrimSpace(value))
	}
}

// line reads a line of the framing. One longer than the buffer is no framing.
func (c *chunkedReader) line() ([]byte, error) {
	line, err := c.reader.buf.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, ErrFraming
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	if c.framingBytes += int64(len(line)); c.framingBytes > maxChunkFraming+chunkFramingFactor*c.contentBytes {
		return nil, ErrBodyTooLarge
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return nil, ErrFraming // RFC 9112, 7.1: where a reader takes less for a line's end, another sees another message
	}
	return line, nil
}
