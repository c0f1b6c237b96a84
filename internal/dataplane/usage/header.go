package usage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A segment is a header and records, one after another, and zeros up to its end if it was never closed.
//
//	header  magic (8 bytes), version, segment number, writer, started and sealed in Unix ms (8 bytes each, little
//	        endian; sealed is 0 while it is written), CRC-32C of all that but sealed (4), zeros up to 64 bytes
//	record  length of the payload (4), CRC-32C of the payload (4), the payload
//
// The eight bytes before a payload are written after it, at once: a writer that is killed leaves a complete record
// or none. A power loss may leave anything: the checksum tells.
const (
	magic   = "MRUSAGE\x01"
	version = 1

	// HeaderSize is the size of a header in bytes: the position of the first record.
	HeaderSize = 64
	// MaxPayload bounds the payload of a record, in bytes. No field of a request that is admitted comes near it.
	MaxPayload = 4096

	frameSize = 8 // bytes before a payload

	// Positions in a header.
	versionAt     = 8
	numberAt      = 16
	writerAt      = 24
	startedAt     = 32
	sealedAt      = 40
	checksumAt    = 48
	checksummedTo = 40 // the checksum is of the bytes before this position
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header begins a segment.
type Header struct {
	Number    uint64 // of the segment, from 1
	Writer    uint64 // one run of one ingress
	StartedAt int64  // Unix ms
	SealedAt  int64  // Unix ms; 0: it was not closed
}

// AppendHeader appends a header.
func AppendHeader(b []byte, h Header) []byte {
	begin := len(b)
	b = append(b, magic...)
	for _, v := range []uint64{version, h.Number, h.Writer, uint64(h.StartedAt), uint64(h.SealedAt)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[begin:begin+checksummedTo], castagnoli))
	return append(b, make([]byte, HeaderSize-(len(b)-begin))...)
}

// ParseHeader parses a segment's header.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < HeaderSize || string(b[:len(magic)]) != magic {
		return Header{}, ErrHeader
	}
	if binary.LittleEndian.Uint32(b[checksumAt:]) != crc32.Checksum(b[:checksummedTo], castagnoli) {
		return Header{}, ErrHeader
	}
	field := func(at int) uint64 { return binary.LittleEndian.Uint64(b[at:]) }
	if got := field(versionAt); got != version {
		return Header{}, fmt.Errorf("%w: %d", ErrVersion, got)
	}
	return Header{
		Number:    field(numberAt),
		Writer:    field(writerAt),
		StartedAt: int64(field(startedAt)),
		SealedAt:  int64(field(sealedAt)),
	}, nil
}
