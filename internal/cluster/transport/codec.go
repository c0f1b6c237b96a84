package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Bounds of a frame in bytes, without its length prefix.
const (
	// MaxFrame bounds frames to and from an ingress. A source of an earlier version, which sends no parts of items, may
	// send an item whose body has configuration.MaxBodyBytes together with its name, its history and the source's
	// status.
	MaxFrame = MaxFrameWithoutParts + 64<<10
	// MaxFrameWithoutParts bounds frames to an ingress of an earlier version. Its Hello does not set AcceptsParts.
	MaxFrameWithoutParts = 1 << 20

	MaxControlFrame = 32 << 20 // frames between control nodes, because a first configuration is sent in one call
)

const (
	prefixBytes = 4        // size of the length prefix of a frame, big endian
	readBytes   = 64 << 10 // most bytes that are read at a time, so that memory is allocated only as a frame arrives
)

// Bounds of a decoded frame. Arrays are bounded so that a small frame can't allocate much memory, because an element
// needs as little as one byte on the wire, but may need some hundred bytes in memory.
const (
	maxNesting              = 12      // levels of arrays and maps
	maxMapPairs             = 64      // pairs in a map
	maxArrayElements        = 1 << 17 // elements of an array; the events of a watch have 11 bytes or more
	maxControlArrayElements = 1 << 21 // elements of an array in a frame longer than MaxFrame
)

var (
	frameDecoding        = must(decOptions(maxArrayElements).DecMode())
	controlFrameDecoding = must(decOptions(maxControlArrayElements).DecMode()) // for frames longer than MaxFrame
	encoding             = must(cbor.EncOptions{}.UserBufferEncMode())
)

func decOptions(arrayElements int) cbor.DecOptions {
	return cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: arrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
}

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // can't happen, because the options are constant
	}
	return mode
}

// Append appends a frame with its length prefix. The error wraps ErrFrame if the frame is longer than MaxControlFrame.
// After an error, the result has the length of b.
func Append(b []byte, f *Frame) ([]byte, error) {
	start := len(b)
	buf := bytes.NewBuffer(append(b, make([]byte, prefixBytes)...))
	if err := encoding.MarshalToBuffer(f, buf); err != nil {
		return b[:start], errors.Wrap(err, "encode a frame")
	}
	b = buf.Bytes()
	length := len(b) - start - prefixBytes
	if length > MaxControlFrame {
		return b[:start], errors.Wrapf(ErrFrame, "%d bytes", length)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(length))
	return b, nil
}

// Read reads the next frame, of at most maxBytes. The error is that of the reader, or wraps ErrFrame.
func Read(r *bufio.Reader, maxBytes int) (*Frame, error) {
	f, _, err := readFrame(r, maxBytes, nil)
	return f, err
}

// readFrame is Read with a buffer for the bytes, which it returns for the next frame. The frame doesn't refer to the
// buffer.
func readFrame(r *bufio.Reader, maxBytes int, buf []byte) (*Frame, []byte, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, buf, err
	}
	length := int64(binary.BigEndian.Uint32(prefix[:]))
	if length == 0 || length > int64(maxBytes) {
		return nil, buf, errors.Wrapf(ErrFrame, "%d bytes where at most %d may come", length, maxBytes)
	}
	buf, err := readFull(r, buf[:0], int(length))
	if err != nil {
		return nil, buf, err
	}
	mode := frameDecoding
	if len(buf) > MaxFrame {
		mode = controlFrameDecoding
	}
	f := new(Frame)
	if err := mode.Unmarshal(buf, f); err != nil {
		return nil, buf, errors.Wrapf(ErrFrame, "%v", err)
	}
	return f, buf, nil
}

// readFull reads n bytes. The buffer grows as bytes arrive, because n comes from the peer and may be wrong.
func readFull(r io.Reader, buf []byte, n int) ([]byte, error) {
	for left := n; left > 0; {
		step := min(left, readBytes)
		start := len(buf)
		if cap(buf) < start+step {
			buf = append(make([]byte, 0, max(2*start, start+step)), buf...)
		}
		buf = buf[:start+step]
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return buf, err
		}
		left -= step
	}
	return buf, nil
}
