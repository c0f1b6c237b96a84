package usage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
)

// A segment is a header and records, one behind another, and zeros up to its end if it was never closed.
//
//	header  magic (8 bytes), version, segment number, writer, begun and sealed in Unix ms (8 bytes each, little
//	        endian; sealed is 0 while it is written), CRC-32C of all that but sealed (4), zeros up to 64 bytes
//	record  length of the payload (4), CRC-32C of the payload (4), the payload
//
// The eight bytes before a payload are written after it, at once: a writer that is killed leaves a whole record
// or none. A power loss may leave anything: the checksum tells.
const (
	magic      = "MRUSAGE\x01"
	version    = 1
	headerSize = 64
	frameSize  = 8
	// MostPayload bounds a record. No field of a request that is let in comes near it.
	MostPayload = 4096
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header begins a segment.
type Header struct {
	Number uint64 // of the segment, from 1
	Writer uint64 // one run of one ingress
	Begun  int64  // Unix ms
	Sealed int64  // Unix ms; 0: it was not closed
}

// Size is how many bytes a header takes, and where the first record begins.
const Size = headerSize

// AppendHeader writes a header.
func AppendHeader(b []byte, h Header) []byte {
	at := len(b)
	b = append(b, magic...)
	for _, v := range []uint64{version, h.Number, h.Writer, uint64(h.Begun), uint64(h.Sealed)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:at+40], castagnoli))
	return append(b, make([]byte, headerSize-(len(b)-at))...)
}

// Errors of reading segments.
var (
	ErrHeader  = errors.New("not a segment of use")
	ErrVersion = errors.New("a segment of use of another version")
	errPayload = errors.New("a record that is none")
)

// ParseHeader reads a segment's header.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < headerSize || string(b[:8]) != magic || binary.LittleEndian.Uint32(b[48:]) != crc32.Checksum(b[:40], castagnoli) {
		return Header{}, ErrHeader
	}
	at := func(i int) uint64 { return binary.LittleEndian.Uint64(b[i:]) }
	if at(8) != version {
		return Header{}, fmt.Errorf("%w: %d", ErrVersion, at(8))
	}
	return Header{Number: at(16), Writer: at(24), Begun: int64(at(32)), Sealed: int64(at(40))}, nil
}

// Kind is what a record tells.
type Kind uint8

// The kinds.
const (
	Sent      Kind = 'S' // a try's first attempt is about to go out
	Ended     Kind = 'E' // a try is over, and what is known of its arrival
	Unmetered Kind = 'U' // tries that could not be recorded, for the disk was full
)

// Record is one record of a segment.
type Record struct {
	Kind    Kind
	Seq     uint64 // numbers the tries of a writer, from 1
	Try     Try
	Arrival Arrival
	Missed  Sum
}

// Append writes a record's payload.
func Append(b []byte, r *Record) []byte {
	b = append(b, byte(r.Kind))
	switch r.Kind {
	case Sent:
		b = binary.AppendUvarint(b, r.Seq)
		b = binary.AppendUvarint(b, uint64(r.Try.Minute))
		b = binary.AppendUvarint(b, r.Try.Revision)
		b = binary.AppendUvarint(b, uint64(r.Try.Units))
		beyond := byte(0)
		if r.Try.Beyond {
			beyond = 1
		}
		b = append(b, beyond)
		for _, s := range [...]string{r.Try.Tenant, r.Try.Member, r.Try.Plan, r.Try.Class} {
			b = binary.AppendUvarint(b, uint64(len(s)))
			b = append(b, s...)
		}
	case Ended:
		b = binary.AppendUvarint(b, r.Seq)
		b = append(b, byte(r.Arrival))
	case Unmetered:
		b = binary.AppendUvarint(b, uint64(r.Missed.Tries))
		b = binary.AppendUvarint(b, uint64(r.Missed.Units))
	}
	return b
}

// Frame is what stands before a payload: its length, never 0, and its checksum.
func Frame(payload []byte) uint64 {
	return uint64(len(payload)) | uint64(crc32.Checksum(payload, castagnoli))<<32
}

// Parse reads a payload.
func Parse(b []byte) (r Record, err error) {
	if len(b) == 0 {
		return r, errPayload
	}
	p := parser{b: b[1:]}
	switch r.Kind = Kind(b[0]); r.Kind {
	case Sent:
		r.Seq = p.number()
		r.Try.Minute, r.Try.Revision, r.Try.Units = int64(p.number()), p.number(), int64(p.number())
		r.Try.Beyond = p.byte() == 1
		r.Try.Tenant, r.Try.Member, r.Try.Plan, r.Try.Class = p.text(), p.text(), p.text(), p.text()
	case Ended:
		r.Seq, r.Arrival = p.number(), Arrival(p.byte())
		p.bad = p.bad || r.Arrival > Whole
	case Unmetered:
		r.Missed = Sum{int64(p.number()), int64(p.number())}
	default:
		p.bad = true
	}
	if p.bad || len(p.b) != 0 || r.Try.Units < 0 || r.Missed.Units < 0 || r.Missed.Tries < 0 {
		return Record{}, errPayload
	}
	return r, nil
}

type parser struct {
	b   []byte
	bad bool
}

func (p *parser) number() uint64 {
	v, n := binary.Uvarint(p.b)
	if n <= 0 {
		p.bad = true
		return 0
	}
	p.b = p.b[n:]
	return v
}

func (p *parser) byte() byte {
	if len(p.b) == 0 {
		p.bad = true
		return 0
	}
	v := p.b[0]
	p.b = p.b[1:]
	return v
}

func (p *parser) text() string {
	n := p.number()
	if n > uint64(len(p.b)) {
		p.bad = true
		return ""
	}
	s := string(p.b[:n])
	p.b = p.b[n:]
	return s
}

// Report tells how a segment read.
type Report struct {
	Records int
	End     int // where the last sound record ends: bytes from the segment's beginning
	Damaged int // records that were passed over, for their checksum does not match
	Lost    int // bytes after End that are not zeros: a record cut short, or what cannot be read on from
	Missed  Sum // tries that were not recorded
}

// Scan reads the records of a segment, its header included in the data. A damaged record in the middle is passed
// over if the one behind it is sound; what comes after the last sound record is told as lost.
func Scan(data []byte, each func(Record)) (report Report, err error) {
	if _, err := ParseHeader(data); err != nil {
		return report, err
	}
	report.End = headerSize
	for at := headerSize; ; {
		r, next, ok := read(data, at)
		if !ok {
			// Its length may be sound though its payload is not: then the next record tells.
			if next > 0 {
				if _, _, sound := read(data, next); sound {
					report.Damaged++
					at = next
					continue
				}
			}
			break
		}
		report.Records++
		if r.Kind == Unmetered {
			report.Missed = report.Missed.Plus(r.Missed)
		}
		each(r)
		at, report.End = next, next
	}
	for i := len(data) - 1; i >= report.End; i-- {
		if data[i] != 0 {
			report.Lost = i + 1 - report.End
			break
		}
	}
	return report, nil
}

// read reads the record at a place, and tells where the next one would be; 0: that cannot be told.
func read(data []byte, at int) (r Record, next int, ok bool) {
	if at+frameSize > len(data) {
		return r, 0, false
	}
	frame := binary.LittleEndian.Uint64(data[at:])
	size := int(frame & math.MaxUint32)
	if size == 0 || size > MostPayload || at+frameSize+size > len(data) {
		return r, 0, false
	}
	payload := data[at+frameSize : at+frameSize+size]
	next = at + frameSize + size
	if crc32.Checksum(payload, castagnoli) != uint32(frame>>32) {
		return r, next, false
	}
	r, err := Parse(payload)
	return r, next, err == nil
}
