package usage

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Report is the result of reading a segment.
type Report struct {
	Records   int // records read
	End       int // offset of the end of the last valid record, bytes
	Damaged   int // records that were skipped because the checksum does not match or the payload is malformed
	Lost      int // bytes from End to the last non-zero byte: a truncated record, or unreadable data
	Unmetered Sum // requests that were not recorded
}

// Scan reads the records of a segment. The data begins with the segment's header. A damaged record is skipped if the
// next record is valid. Data after the last valid record is reported as lost.
func Scan(data []byte, each func(Record)) (report Report, err error) {
	if _, err := ParseHeader(data); err != nil {
		return report, err
	}
	report.End = HeaderSize
	for at := HeaderSize; ; {
		r, next, ok := readRecord(data, at)
		if ok {
			report.Records++
			if r.Kind == Unmetered {
				report.Unmetered = report.Unmetered.Add(r.Unmetered)
			}
			each(r)
			at, report.End = next, next
			continue
		}
		// The length may be intact although the payload is damaged. In this case, the next record is valid.
		if next == 0 {
			break
		}
		if _, _, valid := readRecord(data, next); !valid {
			break
		}
		report.Damaged++
		at = next
	}
	report.Lost = lostBytes(data[report.End:])
	return report, nil
}

// lostBytes returns the number of bytes up to and including the last non-zero byte.
func lostBytes(b []byte) int {
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] != 0 {
			return i + 1
		}
	}
	return 0
}

// readRecord reads the record at an offset. It returns the offset of the next record; 0: unknown.
func readRecord(data []byte, at int) (r Record, next int, ok bool) {
	if at+frameSize > len(data) {
		return r, 0, false
	}
	frame := binary.LittleEndian.Uint64(data[at:])
	size := int(frame & math.MaxUint32)
	if size == 0 || size > MaxPayload || at+frameSize+size > len(data) {
		return r, 0, false
	}
	next = at + frameSize + size
	payload := data[at+frameSize : next]
	if crc32.Checksum(payload, castagnoli) != uint32(frame>>32) {
		return r, next, false
	}
	r, err := ParseRecord(payload)
	return r, next, err == nil
}
