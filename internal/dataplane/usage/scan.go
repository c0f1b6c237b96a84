package usage

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Report is how reading a segment went.
type Report struct {
	Records   int
	End       int // bytes from the segment's beginning to the end of the last sound record
	Damaged   int // records that were skipped, for their checksum does not match
	Lost      int // bytes after End up to the last that is not zero: a record cut short, or what cannot be read
	Unmetered Sum // requests that were not recorded
}

// Scan reads the records of a segment, whose header the data begins with. A damaged record is skipped if the one
// after it is sound; what follows the last sound record is reported as lost.
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
		// Its length may be sound though its payload is not: then the next record is sound.
		if next == 0 {
			break
		}
		if _, _, sound := readRecord(data, next); !sound {
			break
		}
		report.Damaged++
		at = next
	}
	report.Lost = lostBytes(data[report.End:])
	return report, nil
}

// lostBytes returns how many bytes there are up to the last that is not zero.
func lostBytes(b []byte) int {
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] != 0 {
			return i + 1
		}
	}
	return 0
}

// readRecord reads the record at a position, and returns that of the next one; 0: it is not known.
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
