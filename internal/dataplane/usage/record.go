package usage

import (
	"encoding/binary"
	"hash/crc32"
)

// Kind is the type of a record.
type Kind uint8

// The kinds. Their numbers are part of the format of records.
const (
	Sent      Kind = 'S' // the first attempt of a request is about to be sent
	Ended     Kind = 'E' // a request has ended; the record holds its Arrival
	Unmetered Kind = 'U' // requests that could not be recorded because the disk was full
)

// Record is one record of a segment.
type Record struct {
	Kind      Kind
	Seq       uint64  // numbers the requests of a writer, from 1
	Request   Request // for Sent
	Arrival   Arrival // for Ended
	Unmetered Sum     // for Unmetered
}

// AppendRecord appends a record's payload.
func AppendRecord(b []byte, r *Record) []byte {
	b = append(b, byte(r.Kind))
	switch r.Kind {
	case Sent:
		b = binary.AppendUvarint(b, r.Seq)
		b = appendRequest(b, &r.Request)
	case Ended:
		b = binary.AppendUvarint(b, r.Seq)
		b = append(b, byte(r.Arrival))
	case Unmetered:
		b = binary.AppendUvarint(b, uint64(r.Unmetered.Requests))
		b = binary.AppendUvarint(b, uint64(r.Unmetered.Units))
	}
	return b
}

func appendRequest(b []byte, r *Request) []byte {
	b = binary.AppendUvarint(b, uint64(r.Minute))
	b = binary.AppendUvarint(b, r.Revision)
	b = binary.AppendUvarint(b, uint64(r.Units))
	overQuota := byte(0)
	if r.OverQuota {
		overQuota = 1
	}
	b = append(b, overQuota)
	for _, text := range [...]string{r.Tenant, r.Member, r.Plan, r.Class} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	return b
}

// Frame returns the eight bytes before a payload, as a little-endian number: the length of the payload, which is never
// 0, and its checksum.
func Frame(payload []byte) uint64 {
	return uint64(len(payload)) | uint64(crc32.Checksum(payload, castagnoli))<<32
}

// ParseRecord parses a payload. Its error is ErrPayload.
func ParseRecord(b []byte) (r Record, err error) {
	if len(b) == 0 {
		return r, ErrPayload
	}
	p := parser{rest: b[1:]}
	r.Kind = Kind(b[0])
	switch r.Kind {
	case Sent:
		r.Seq = p.number()
		r.Request = p.request()
	case Ended:
		r.Seq = p.number()
		r.Arrival = Arrival(p.byte())
		p.failed = p.failed || r.Arrival > Arrived
	case Unmetered:
		r.Unmetered.Requests = int64(p.number())
		r.Unmetered.Units = int64(p.number())
	default:
		p.failed = true
	}
	if p.failed || len(p.rest) != 0 {
		return Record{}, ErrPayload
	}
	if r.Request.Units < 0 || r.Unmetered.Units < 0 || r.Unmetered.Requests < 0 {
		return Record{}, ErrPayload
	}
	return r, nil
}

// parser parses the fields of a payload in order. After a failure its methods return zero values.
type parser struct {
	rest   []byte // not parsed yet
	failed bool
}

func (p *parser) request() (r Request) {
	r.Minute = int64(p.number())
	r.Revision = p.number()
	r.Units = int64(p.number())
	r.OverQuota = p.byte() == 1
	r.Tenant = p.text()
	r.Member = p.text()
	r.Plan = p.text()
	r.Class = p.text()
	return r
}

func (p *parser) number() uint64 {
	v, n := binary.Uvarint(p.rest)
	if n <= 0 {
		p.failed = true
		return 0
	}
	p.rest = p.rest[n:]
	return v
}

func (p *parser) byte() byte {
	if len(p.rest) == 0 {
		p.failed = true
		return 0
	}
	v := p.rest[0]
	p.rest = p.rest[1:]
	return v
}

func (p *parser) text() string {
	n := p.number()
	if n > uint64(len(p.rest)) {
		p.failed = true
		return ""
	}
	text := string(p.rest[:n])
	p.rest = p.rest[n:]
	return text
}
