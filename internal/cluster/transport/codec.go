package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Bounds of a frame in bytes, without the four of its length.
const (
	MaxFrame        = 1 << 20  // of all that goes to and from the edge
	MaxControlFrame = 32 << 20 // of what control nodes say to one another: a first configuration comes in one call
)

// ErrFrame marks bytes that are no frame: too long, empty, or not to be decoded. The connection they came on is of no
// more use.
var ErrFrame = errors.New("not a frame")

// Arrays are bounded so that a small frame cannot claim much memory: an element is some hundred bytes here and may be
// one there.
var (
	edgeDecoding    = must(bounded(1 << 16).DecMode())
	controlDecoding = must(bounded(1 << 21).DecMode()) // for frames over MaxFrame
	encoding        = must(cbor.EncOptions{}.UserBufferEncMode())
)

func bounded(elements int) cbor.DecOptions {
	return cbor.DecOptions{
		MaxNestedLevels:  12,
		MaxArrayElements: elements,
		MaxMapPairs:      64,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
}

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Append appends a frame with its length, four bytes, highest first. It errs where the frame is longer than MaxWhole;
// what is returned then is as long as b was.
func Append(b []byte, f *Frame) ([]byte, error) {
	at := len(b)
	buf := bytes.NewBuffer(append(b, 0, 0, 0, 0))
	if err := encoding.MarshalToBuffer(f, buf); err != nil {
		return b[:at], errors.Wrap(err, "encode a frame")
	}
	b = buf.Bytes()
	n := len(b) - at - 4
	if n > MaxControlFrame {
		return b[:at], errors.Wrapf(ErrFrame, "%d bytes", n)
	}
	binary.BigEndian.PutUint32(b[at:], uint32(n))
	return b, nil
}

// Read reads the next frame, of at most that many bytes. Its error is that of the reader or wraps ErrFrame.
func Read(r *bufio.Reader, most int) (*Frame, error) {
	f, _, err := read(r, most, nil)
	return f, err
}

// read is Read with a buffer for the bytes, which it returns for the next frame. Nothing of the frame lies in that
// buffer. Memory is taken as bytes come, not as the length claims.
func read(r *bufio.Reader, most int, buf []byte) (*Frame, []byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, buf, err
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n == 0 || n > int64(most) {
		return nil, buf, errors.Wrapf(ErrFrame, "%d bytes where at most %d may come", n, most)
	}
	buf = buf[:0]
	for left := int(n); left > 0; {
		step := min(left, 64<<10)
		at := len(buf)
		if cap(buf) < at+step {
			buf = append(make([]byte, 0, max(2*at, at+step)), buf...)
		}
		buf = buf[:at+step]
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			return nil, buf, err
		}
		left -= step
	}
	f, mode := new(Frame), edgeDecoding
	if len(buf) > MaxFrame {
		mode = controlDecoding
	}
	if err := mode.Unmarshal(buf, f); err != nil {
		return nil, buf, errors.Wrapf(ErrFrame, "%v", err)
	}
	return f, buf, nil
}

// IsReply tells whether a frame answers a call: it bears a number and asks nothing. An empty frame with a number is
// an answer too.
func (f *Frame) IsReply() bool {
	return f.Call != 0 && f.Hello == nil && f.Update == nil && f.Renewal == nil && f.CounterAdd == nil &&
		f.Prepare == nil && f.Accept == nil && f.Chosen == nil && f.CatchUpRequest == nil && f.PersistRequest == nil && f.Ping == nil
}

// mayBlock tells whether what answers this call may wait for a disk, or comes where both ends write at once: two
// readers that write answers wait for one another where nothing lies between them.
func (f *Frame) mayBlock() bool {
	return f.Call != 0 && (f.Ping != nil || f.Prepare != nil || f.Accept != nil || f.Chosen != nil || f.CatchUpRequest != nil || f.PersistRequest != nil)
}
