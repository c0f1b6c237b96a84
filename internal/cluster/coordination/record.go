package coordination

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
)

// First bytes of the keys of records.
const (
	prefixLock   = 'l' // followed by the name
	prefixNumber = 'n' // followed by the name
	prefixCell   = 'c' // followed by the name
	prefixGroup  = 'g' // followed by the group
	prefixEvent  = 'e' // followed by the group, a zero byte and the revision in sixteen hexadecimal digits
)

// recordVersion is the first byte of each record, the version of its format.
const recordVersion = 1

// revisionDigits is the number of hexadecimal digits of a revision in a key. Keys are text on the wire, and a frame
// with text that is not UTF-8 is rejected. A binary revision would therefore stop replication at the first byte above
// 127.
const revisionDigits = 16

// ErrRecord means that a record is damaged, or has a format that this version doesn't read.
var ErrRecord = errors.New("a record of a shard can't be read")

func recordKey(prefix byte, name string) string { return string(prefix) + name }

func eventKey(group string, revision uint64) string {
	return fmt.Sprintf("%c%s\x00%0*x", prefixEvent, group, revisionDigits, revision)
}

// splitEventKey returns the group and the revision in an event's key.
func splitEventKey(key string) (group string, revision uint64, err error) {
	end := len(key) - revisionDigits
	if end < 2 || key[end-1] != 0 {
		return "", 0, ErrRecord
	}
	revision, err = strconv.ParseUint(key[end:], 16, 64)
	if err != nil {
		return "", 0, ErrRecord
	}
	return key[1 : end-1], revision, nil
}

// recordWriter encodes a record: the version, then numbers as varints and texts prefixed with their lengths.
type recordWriter []byte

func newRecord() recordWriter { return recordWriter{recordVersion} }

func (w recordWriter) number(n uint64) recordWriter { return binary.AppendUvarint(w, n) }

func (w recordWriter) text(s string) recordWriter {
	return append(binary.AppendUvarint(w, uint64(len(s))), s...)
}

// recordReader decodes a record. After an error it returns only zero values.
type recordReader struct {
	left []byte // bytes not decoded yet
	err  error
}

func readRecord(b []byte) *recordReader {
	if len(b) == 0 || b[0] != recordVersion {
		return &recordReader{err: ErrRecord}
	}
	return &recordReader{left: b[1:]}
}

func (r *recordReader) number() uint64 {
	n, size := binary.Uvarint(r.left)
	if size <= 0 {
		r.left, r.err = nil, ErrRecord
		return 0
	}
	r.left = r.left[size:]
	return n
}

func (r *recordReader) text() string {
	length := r.number()
	if r.err != nil || length > uint64(len(r.left)) {
		r.left, r.err = nil, ErrRecord
		return ""
	}
	s := string(r.left[:length])
	r.left = r.left[length:]
	return s
}
