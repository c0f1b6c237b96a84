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

// The framing of a chunked body may take so many bytes, and a multiple of its content: a chunk a byte is legal, lines
// without end for no content are not.
const (
	maxChunkFraming    = 64 << 10
	chunkFramingFactor = 16
)

// chunkedReader reads a chunked body up to its trailer, and that.
type chunkedReader struct {
	reader       *Reader
	remaining    uint64 // bytes of the current chunk
	framingBytes int64  // read so far
	contentBytes int64  // read so far
	begun        bool   // the first chunk has begun
	trailer      textproto.MIMEHeader
	err          error // that ended the body; io.EOF at its end
}

// Read reads content.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.err == nil && c.remaining == 0 {
		c.err = c.nextChunk()
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

// nextChunk reads up to the content of the next chunk. io.EOF: there is none, and the trailer was read.
func (c *chunkedReader) nextChunk() error {
	if c.begun {
		line, err := c.readLine()
		if err != nil || len(line) > 0 {
			return cmp.Or(err, ErrFraming)
		}
	}
	c.begun = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	c.remaining, err = strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
	if err != nil {
		return fmt.Errorf("%w: chunk size %.20q", ErrFraming, size)
	}
	if c.remaining > 0 {
		return nil
	}
	return c.readTrailer()
}

// readTrailer reads the fields after the last chunk, and returns io.EOF. They are buffered, so that they are bounded: a
// peer could else send them without end.
func (c *chunkedReader) readTrailer() error {
	for remaining := MaxHead; ; {
		line, err := c.readLine()
		if err != nil || len(line) == 0 {
			return cmp.Or(err, io.EOF)
		}
		remaining -= len(line)
		name, value, ok := strings.Cut(string(line), ":")
		if remaining < 0 || !ok || !validFieldName(name) || !validFieldValue(value) {
			return fmt.Errorf("%w: trailer %.40q", ErrFraming, line)
		}
		if c.trailer == nil {
			c.trailer = textproto.MIMEHeader{}
		}
		c.trailer.Add(name, strings.TrimSpace(value))
	}
}

// readLine reads a line of the framing. One longer than the buffer is no framing.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.reader.buf.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, ErrFraming
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	c.framingBytes += int64(len(line))
	if c.framingBytes > maxChunkFraming+chunkFramingFactor*c.contentBytes {
		return nil, ErrBodyTooLarge
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		// RFC 9112, 7.1: a reader that accepts another end of a line sees another message than one that does not.
		return nil, ErrFraming
	}
	return line, nil
}
