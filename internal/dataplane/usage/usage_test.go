package usage

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
)

func try(member string, minute int64) Try {
	return Try{Member: member, Plan: "basic", Class: "read", Revision: 3, Units: 2 * Micro, Minute: minute}
}

// segmentOf writes records as a writer does.
func segmentOf(h Header, records ...Record) []byte {
	b := AppendHeader(nil, h)
	for i := range records {
		payload := Append(nil, &records[i])
		b = binary.LittleEndian.AppendUint64(b, Frame(payload))
		b = append(b, payload...)
	}
	return b
}

func TestArrivalOf(t *testing.T) {
	for _, tc := range []struct {
		outcome  decision.Outcome
		answered bool
		want     Arrival
	}{
		{decision.Succeeded, true, Whole}, {decision.Rejected, true, Whole}, {decision.Failed, true, Whole}, // a 500
		{decision.Failed, false, Unknown}, // what came was no answer
		{decision.TimedOut, false, Unknown}, {decision.ConnectionReset, false, Unknown}, {decision.Cancelled, false, Unknown},
		{decision.ConnectionRefused, false, Never}, {decision.NotSent, false, Never},
	} {
		if got := ArrivalOf(tc.outcome, tc.answered); got != tc.want {
			t.Errorf("outcome %v, answered %v: %v, want %v", tc.outcome, tc.answered, got, tc.want)
		}
	}
}

func TestRecordsReadAsWritten(t *testing.T) {
	want := []Record{
		{Kind: Sent, Seq: 1, Try: Try{"t", "m", "p", "c", 7, 1_500_000, true, 29_000_000}},
		{Kind: Sent, Seq: 1 << 40, Try: Try{Member: "m"}},
		{Kind: Ended, Seq: 1, Arrival: Unknown},
		{Kind: Unmetered, Missed: Sum{5, 9}},
	}
	var got []Record
	header := Header{Number: 4, Writer: 9, Begun: 1000, Sealed: 2000}
	data := segmentOf(header, want...)
	report, err := Scan(data, func(r Record) { got = append(got, r) })
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	if diff := cmp.Diff(Report{Records: 4, End: len(data), Missed: Sum{5, 9}}, report); diff != "" {
		t.Error(diff)
	}
	if h, err := ParseHeader(data); err != nil || h != header {
		t.Errorf("header %v %v", h, err)
	}
}

// A segment cut at every byte of its last record: all before it is read, and nothing of it.
func TestSegmentCutAnywhereInItsLastRecord(t *testing.T) {
	first := segmentOf(Header{Number: 1}, Record{Kind: Sent, Seq: 1, Try: try("a", 5)}, Record{Kind: Ended, Seq: 1, Arrival: Whole})
	whole := segmentOf(Header{Number: 1}, Record{Kind: Sent, Seq: 1, Try: try("a", 5)}, Record{Kind: Ended, Seq: 1, Arrival: Whole},
		Record{Kind: Sent, Seq: 2, Try: try("b", 5)})
	for cut := len(first); cut < len(whole); cut++ {
		for _, zeros := range []int{0, 100} { // a file cut short, and one that was allocated whole
			data := append(append([]byte{}, whole[:cut]...), make([]byte, zeros)...)
			n := 0
			report, err := Scan(data, func(Record) { n++ })
			if err != nil || n != 2 || report.End != len(first) || report.Damaged != 0 {
				t.Fatalf("cut at %d, %d zeros: %d records, %+v, %v", cut, zeros, n, report, err)
			}
			// The last bytes of a record may be zeros themselves: no more than that is not told as lost.
			if cut-len(first) > 8 && report.Lost == 0 {
				t.Fatalf("cut at %d, %d zeros: nothing told as lost", cut, zeros)
			}
		}
	}
}

// A flipped bit costs its record and no other, unless it is in a length; it is always told.
func TestFlippedBits(t *testing.T) {
	records := []Record{{Kind: Sent, Seq: 1, Try: try("a", 5)}, {Kind: Sent, Seq: 2, Try: try("b", 5)}, {Kind: Sent, Seq: 3, Try: try("c", 5)}}
	data := segmentOf(Header{Number: 1}, records...)
	one := (len(data) - Size) / 3
	for bit := Size * 8; bit < len(data)*8; bit++ {
		bad := append([]byte{}, data...)
		bad[bit/8] ^= 1 << (bit % 8)
		seen := 0
		report, err := Scan(bad, func(r Record) {
			if r.Try != records[r.Seq-1].Try {
				t.Fatalf("bit %d: %+v read", bit, r)
			}
			seen++
		})
		if err != nil || seen == 3 || report.Damaged+report.Lost == 0 {
			t.Fatalf("bit %d: %d records, %+v, %v", bit, seen, report, err)
		}
		if inFrame := (bit/8 - Size) % one; inFrame >= 4 && bit/8 < Size+2*one && seen != 2 {
			t.Fatalf("bit %d, of a checksum or a payload: %d records read", bit, seen)
		}
	}
	for bit := range 48 * 8 {
		bad := append([]byte{}, data...)
		bad[bit/8] ^= 1 << (bit % 8)
		if _, err := Scan(bad, func(Record) {}); (err == nil) != (bit/8 >= 40) { // when it was closed may be set later
			t.Fatalf("header with bit %d flipped: %v", bit, err)
		}
	}
}

func TestLedger(t *testing.T) {
	sent := func(seq uint64, m string, minute int64) Record {
		return Record{Kind: Sent, Seq: seq, Try: try(m, minute)}
	}
	ended := func(seq uint64, a Arrival) Record { return Record{Kind: Ended, Seq: seq, Arrival: a} }
	type line struct {
		member  string
		unknown bool
		tries   int64
	}
	var l Ledger
	for i, tc := range []struct {
		header  Header
		records []Record
		want    []line
		pending int
	}{
		{Header{Number: 1, Writer: 7, Sealed: 100 * 60_000}, []Record{sent(1, "a", 100), sent(2, "a", 100), sent(3, "b", 100), sent(4, "c", 100),
			ended(1, Whole), ended(2, Never), ended(2, Whole), ended(99, Whole)}, []line{{"a", false, 1}}, 2},
		{Header{Number: 2, Writer: 7, Sealed: 101 * 60_000}, []Record{ended(3, Unknown), sent(5, "d", 101)}, []line{{"b", true, 1}}, 2},
		// Its end never came, and it is long overdue: as when the disk was full.
		{Header{Number: 3, Writer: 7, Sealed: 111 * 60_000}, []Record{ended(5, Whole)}, []line{{"c", true, 1}, {"d", false, 1}}, 0},
		{Header{Number: 4, Writer: 7, Sealed: 112 * 60_000}, []Record{sent(6, "e", 112)}, nil, 1},
		// Another run: what the one before had out will never be known.
		{Header{Number: 5, Writer: 8, Sealed: 113 * 60_000}, []Record{sent(6, "f", 113), ended(6, Whole)}, []line{{"e", true, 1}, {"f", false, 1}}, 0},
	} {
		tally, _, err := l.Segment(tc.header, segmentOf(tc.header, tc.records...))
		var got []line
		for _, r := range tally.Rows() {
			got = append(got, line{r.Member, r.Unknown, r.Tries})
			if r.Units != r.Tries*2*Micro {
				t.Errorf("segment %d: %+v", i+1, r)
			}
		}
		if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(line{})); diff != "" || err != nil || len(l.Pending) != tc.pending {
			t.Errorf("segment %d: %v, %d out, want %d\n%s", i+1, err, len(l.Pending), tc.pending, diff)
		}
	}
}

// However tries fall on segments, and these on batches, each is counted once.
func TestEachTryIsCountedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for range 300 {
		var l Ledger
		total := Tally{}
		var out []uint64
		seq, whole, unknown := uint64(0), int64(0), int64(0)
		writer := uint64(1)
		for n := range uint64(20) {
			if rng.IntN(6) == 0 { // killed: what is out stays unknown
				unknown += int64(len(out))
				out, seq, writer = nil, 0, writer+1
			}
			var records []Record
			for range rng.IntN(20) {
				if len(out) > 0 && rng.IntN(2) == 0 {
					i := rng.IntN(len(out))
					a := Arrival(rng.IntN(3))
					records = append(records, Record{Kind: Ended, Seq: out[i], Arrival: a})
					out = append(out[:i], out[i+1:]...)
					switch a {
					case Whole:
						whole++
					case Unknown:
						unknown++
					}
					continue
				}
				seq++
				out = append(out, seq)
				records = append(records, Record{Kind: Sent, Seq: seq, Try: try("m", 100)})
			}
			h := Header{Number: n + 1, Writer: writer, Sealed: 100 * 60_000}
			tally, _, err := l.Segment(h, segmentOf(h, records...))
			if err != nil {
				t.Fatal(err)
			}
			total.Merge(tally)
		}
		k, u := total.Total()
		if k.Tries != whole || u.Tries != unknown || len(l.Pending) != len(out) {
			t.Fatalf("%d known of %d, %d unknown of %d, %d out of %d", k.Tries, whole, u.Tries, unknown, len(l.Pending), len(out))
		}
	}
}

func TestJudgeAndWait(t *testing.T) {
	for _, tc := range []struct {
		status int
		echoed bool
		want   Answer
	}{
		{200, true, Acknowledged}, {201, true, Acknowledged}, {200, false, Again}, {0, false, Again}, {500, false, Again}, {500, true, Again},
		{429, false, Again}, {409, false, Conflicting}, {409, true, Conflicting}, {400, false, Unacceptable}, {413, false, Unacceptable}, {404, false, Again},
	} {
		if got := Judge(tc.status, tc.echoed); got != tc.want {
			t.Errorf("%d, echoed %v: %v, want %v", tc.status, tc.echoed, got, tc.want)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, tc := range []struct {
		tries       int
		answer      Answer
		advice      float64
		least, most float64
	}{
		{1, Again, 0, 0.5, 1}, {4, Again, 0, 4, 8}, {1, Again, 30, 30, 30}, {1, Again, 1e9, 300, 300}, {90, Again, 0, 150, 300},
		{1, Conflicting, 0, 150, 300}, {1, Unacceptable, 0, 150, 300},
	} {
		for range 100 {
			if w := Wait(tc.tries, tc.answer, tc.advice, rng); w < tc.least || w > tc.most {
				t.Errorf("%+v: %v s", tc, w)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Append(nil, &Record{Kind: Sent, Seq: 1, Try: try("a", 5)}))
	f.Add(Append(nil, &Record{Kind: Ended, Seq: 1, Arrival: Whole}))
	f.Add([]byte{'U', 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Parse(b)
		if err != nil {
			return
		}
		again, err := Parse(Append(nil, &r))
		if err != nil || again != r {
			t.Errorf("%+v reads as %+v, %v", r, again, err)
		}
	})
}
