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

// The framing of a chunked body may take maxChunkFraming bytes, plus chunkFramingFactor bytes for each byte of content.
// The factor admits a body whose chunks have one byte each, which is legal. The bound stops a peer that sends chunk
// extensions without end and hardly any content.
const (
	maxChunkFraming    = 64 << 10
	chunkFramingFactor = 16
)

// chunkedReader reads the content of a chunked body, and then its trailer.
type chunkedReader struct {
	reader       *Reader
	remaining    uint64 // bytes of the current chunk that are still to be read
	framingBytes int64  // bytes of framing read so far
	contentBytes int64  // bytes of content read so far
	begun        bool   // whether the first chunk has begun
	trailer      textproto.MIMEHeader
	err          error // error that ended the body; io.EOF at its regular end
}

// Read reads the content of the body, without its framing.
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

// nextChunk reads the framing up to the content of the next chunk. It returns io.EOF once it has read the last chunk
// and the trailer.
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

// readTrailer reads the trailer fields after the last chunk, and returns io.EOF. The fields are buffered, and limited
// to DefaultMaxHead bytes, because a peer could otherwise send them without end.
func (c *chunkedReader) readTrailer() error {
	for remaining := DefaultMaxHead; ; {
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

// readLine reads one line of the framing. A line longer than the reader's buffer is an error.
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
		// RFC 9112, 7.1: a reader that accepts other line ends would parse a different message from one that does not.
		return nil, ErrFraming
	}
	return line, nil
}
