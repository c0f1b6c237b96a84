package usage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A segment consists of a header and records, followed by zeros up to its end if it was never closed.
//
//	header  magic (8 bytes), version, segment number, writer, started and sealed in Unix ms (8 bytes each, little
//	        endian; sealed is 0 while the segment is written), CRC-32C of all these fields except sealed (4 bytes),
//	        zeros up to 64 bytes
//	record  length of the payload (4 bytes), CRC-32C of the payload (4 bytes), payload
//
// The eight bytes before a payload are written together, after the payload, so that a writer that is killed leaves
// either a complete record or none. A power loss may leave arbitrary data, which the checksum detects.
const (
	magic   = "MRUSAGE\x01"
	version = 1 // of the format; segments of another version are not read

	// HeaderSize is the size of a header in bytes: the position of the first record.
	HeaderSize = 64
	// MaxPayload bounds the payload of a record, in bytes. The fields of an admitted request are much smaller.
	MaxPayload = 4096

	frameSize = 8 // bytes before a payload

	// Offsets in a header, in bytes.
	versionOffset   = 8
	numberOffset    = 16
	writerOffset    = 24
	startedOffset   = 32
	sealedOffset    = 40
	checksumOffset  = 48
	checksummedSize = 40 // bytes from the start of the header that the checksum covers
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header is the header of a segment.
type Header struct {
	Number    uint64 // segment number, from 1
	Writer    uint64 // identifies a run of an ingress
	StartedAt int64  // Unix ms
	SealedAt  int64  // Unix ms; 0: the segment was not closed
}

// AppendHeader appends a header.
func AppendHeader(b []byte, h Header) []byte {
	begin := len(b)
	b = append(b, magic...)
	for _, v := range []uint64{version, h.Number, h.Writer, uint64(h.StartedAt), uint64(h.SealedAt)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[begin:begin+checksummedSize], castagnoli))
	return append(b, make([]byte, HeaderSize-(len(b)-begin))...)
}

// ParseHeader parses a segment's header.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < HeaderSize || string(b[:len(magic)]) != magic {
		return Header{}, ErrHeader
	}
	if binary.LittleEndian.Uint32(b[checksumOffset:]) != crc32.Checksum(b[:checksummedSize], castagnoli) {
		return Header{}, ErrHeader
	}
	field := func(at int) uint64 { return binary.LittleEndian.Uint64(b[at:]) }
	if got := field(versionOffset); got != version {
		return Header{}, fmt.Errorf("%w: %d", ErrVersion, got)
	}
	return Header{
		Number:    field(numberOffset),
		Writer:    field(writerOffset),
		StartedAt: int64(field(startedOffset)),
		SealedAt:  int64(field(sealedOffset)),
	}, nil
}
