package usage

import (
	"encoding/binary"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// newRequest returns a request of two units.
func newRequest(member string, minute int64) Request {
	return Request{Member: member, Plan: "basic", Class: "read", Revision: 3, Units: 2 * MicroPerUnit, Minute: minute}
}

// sent returns the record of a request that was sent.
func sent(seq uint64, member string, minute int64) Record {
	return Record{Kind: Sent, Seq: seq, Request: newRequest(member, minute)}
}

// ended returns the record of a request that has ended.
func ended(seq uint64, a Arrival) Record { return Record{Kind: Ended, Seq: seq, Arrival: a} }

// segmentOf returns a segment with the given header and records.
func segmentOf(h Header, records ...Record) []byte {
	b := AppendHeader(nil, h)
	for i := range records {
		payload := AppendRecord(nil, &records[i])
		b = binary.LittleEndian.AppendUint64(b, Frame(payload))
		b = append(b, payload...)
	}
	return b
}

// flipBit returns a copy of data with one bit flipped.
func flipBit(data []byte, bit int) []byte {
	flipped := slices.Clone(data)
	flipped[bit/8] ^= 1 << (bit % 8)
	return flipped
}

func TestRecordsReadAsWritten(t *testing.T) {
	want := []Record{
		{Kind: Sent, Seq: 1, Request: Request{"t", "m", "p", "c", 7, 1_500_000, true, 29_000_000}},
		{Kind: Sent, Seq: 1 << 40, Request: Request{Member: "m"}},
		{Kind: Ended, Seq: 1, Arrival: ArrivalUnknown},
		{Kind: Unmetered, Unmetered: Sum{5, 9}},
	}
	var got []Record
	header := Header{Number: 4, Writer: 9, StartedAt: 1000, SealedAt: 2000}
	data := segmentOf(header, want...)
	report, err := Scan(data, func(r Record) { got = append(got, r) })
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("error %v, records (-want +got):\n%s", err, diff)
	}
	wantReport := Report{Records: 4, End: len(data), Unmetered: Sum{5, 9}}
	if diff := cmp.Diff(wantReport, report); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
	if h, err := ParseHeader(data); err != nil || h != header {
		t.Errorf("header %+v with %v, want %+v", h, err, header)
	}
}

// If a segment is cut off at any byte of its last record, all records before it are read, and nothing of the last one.
func TestSegmentCutAnywhereInItsLastRecord(t *testing.T) {
	before := []Record{sent(1, "a", 5), ended(1, Arrived)}
	beginning := segmentOf(Header{Number: 1}, before...)
	complete := segmentOf(Header{Number: 1}, append(before, sent(2, "b", 5))...)
	for cut := len(beginning); cut < len(complete); cut++ {
		for _, zeros := range []int{0, 100} { // a truncated file, and a preallocated one
			data := append(slices.Clone(complete[:cut]), make([]byte, zeros)...)
			n := 0
			report, err := Scan(data, func(Record) { n++ })
			if err != nil || n != len(before) || report.End != len(beginning) || report.Damaged != 0 {
				t.Fatalf("cut at %d, %d zeros: %d records, %+v, error %v; want %d records up to %d",
					cut, zeros, n, report, err, len(before), len(beginning))
			}
			// Only the last bytes that are left of the record may go unreported, if they are zeros.
			if cut-len(beginning) > 8 && report.Lost == 0 {
				t.Fatalf("cut at %d, %d zeros: nothing reported as lost", cut, zeros)
			}
		}
	}
}

// A flipped bit causes the loss of only the record that contains it, unless the bit is in a length. The loss is always
// reported.
func TestFlippedBits(t *testing.T) {
	records := []Record{sent(1, "a", 5), sent(2, "b", 5), sent(3, "c", 5)}
	data := segmentOf(Header{Number: 1}, records...)
	recordSize := (len(data) - HeaderSize) / len(records)
	for bit := HeaderSize * 8; bit < len(data)*8; bit++ {
		n := 0
		report, err := Scan(flipBit(data, bit), func(r Record) {
			if want := records[r.Seq-1].Request; r.Request != want {
				t.Fatalf("bit %d: read %+v, want %+v", bit, r.Request, want)
			}
			n++
		})
		if err != nil || n == len(records) || report.Damaged+report.Lost == 0 {
			t.Fatalf("bit %d: %d records, %+v, error %v; want it reported", bit, n, report, err)
		}
		position := (bit/8 - HeaderSize) % recordSize
		last := bit/8 >= HeaderSize+2*recordSize
		if position >= 4 && !last && n != 2 {
			t.Fatalf("bit %d, of a checksum or a payload: %d records read, want 2", bit, n)
		}
	}
}

// A flipped bit in the header, except in the closing time, makes the segment unreadable. Otherwise its requests could
// be billed under a wrong number or writer.
func TestFlippedBitsOfHeader(t *testing.T) {
	data := segmentOf(Header{Number: 1}, sent(1, "a", 5), sent(2, "b", 5), sent(3, "c", 5))
	for bit := range checksumOffset * 8 {
		_, err := Scan(flipBit(data, bit), func(Record) {})
		readable := bit/8 >= sealedOffset // the closing time is written later and is not covered by the checksum
		if (err == nil) != readable {
			t.Fatalf("bit %d: error %v, want it readable: %v", bit, err, readable)
		}
	}
}

// Any payload is rejected, or parsed as a record that is unchanged after it was written and parsed again.
func FuzzParse(f *testing.F) {
	for _, r := range []Record{sent(1, "a", 5), ended(1, Arrived)} {
		f.Add(AppendRecord(nil, &r))
	}
	f.Add([]byte{'U', 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ParseRecord(b)
		if err != nil {
			return
		}
		again, err := ParseRecord(AppendRecord(nil, &r))
		if err != nil || again != r {
			t.Errorf("%+v reads as %+v, error %v", r, again, err)
		}
	})
}
