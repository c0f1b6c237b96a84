package usage

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Each segment bills the requests that have ended since the previous one, exactly once. Requests without an end are
// billed with unknown arrival after maxMinutesInFlight, or as soon as another run writes.
func TestReplayer(t *testing.T) {
	const minute = 60_000 // ms
	type row struct {
		Member   string
		Unknown  bool
		Requests int64
	}
	var r Replayer
	for _, tc := range []struct {
		name    string
		header  Header
		records []Record
		want    []row
		pending int
	}{
		{
			"four requests: one arrived, one not arrived with a second end, two pending; an end of an unknown request",
			Header{Number: 1, Writer: 7, SealedAt: 100 * minute},
			[]Record{
				sent(1, "a", 100), sent(2, "a", 100), sent(3, "b", 100), sent(4, "c", 100),
				ended(1, Arrived), ended(2, NotArrived), ended(2, Arrived), ended(99, Arrived),
			},
			[]row{{"a", false, 1}}, 2,
		},
		{
			"an end of a request from the previous segment",
			Header{Number: 2, Writer: 7, SealedAt: 101 * minute},
			[]Record{ended(3, ArrivalUnknown), sent(5, "d", 101)},
			[]row{{"b", true, 1}}, 2,
		},
		{
			"an end that has been missing for long, for example because the disk was full",
			Header{Number: 3, Writer: 7, SealedAt: 111 * minute},
			[]Record{ended(5, Arrived)},
			[]row{{"c", true, 1}, {"d", false, 1}}, 0,
		},
		{
			"one in flight",
			Header{Number: 4, Writer: 7, SealedAt: 112 * minute},
			[]Record{sent(6, "e", 112)},
			nil, 1,
		},
		{
			"another run: the end of the request in flight will never be recorded",
			Header{Number: 5, Writer: 8, SealedAt: 113 * minute},
			[]Record{sent(6, "f", 113), ended(6, Arrived)},
			[]row{{"e", true, 1}, {"f", false, 1}}, 0,
		},
	} {
		tally, _, err := r.Replay(tc.header, segmentOf(tc.header, tc.records...))
		var got []row
		for _, billed := range tally.Rows() {
			got = append(got, row{billed.Member, billed.Unknown, billed.Requests})
			if want := billed.Requests * 2 * MicroPerUnit; billed.Units != want {
				t.Errorf("%s: %d micro-units of %s, want %d", tc.name, billed.Units, billed.Member, want)
			}
		}
		if diff := cmp.Diff(tc.want, got); diff != "" || err != nil {
			t.Errorf("%s: error %v, rows (-want +got):\n%s", tc.name, err, diff)
		}
		if len(r.Pending) != tc.pending {
			t.Errorf("%s: %d pending, want %d", tc.name, len(r.Pending), tc.pending)
		}
	}
}

// usageModel writes random segments, and counts what must be billed.
type usageModel struct {
	rng                    *rand.Rand
	writer, seq            uint64
	inFlight               []uint64
	wantKnown, wantUnknown int64
}

// restart simulates that the run is killed and another one starts: the arrival of the requests in flight stays unknown.
func (m *usageModel) restart() {
	m.wantUnknown += int64(len(m.inFlight))
	m.inFlight, m.seq = nil, 0
	m.writer++
}

// record returns the next record.
func (m *usageModel) record() Record {
	if len(m.inFlight) == 0 || m.rng.IntN(2) != 0 {
		m.seq++
		m.inFlight = append(m.inFlight, m.seq)
		return sent(m.seq, "m", 100)
	}
	i := m.rng.IntN(len(m.inFlight))
	r := ended(m.inFlight[i], Arrival(m.rng.IntN(3)))
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	switch r.Arrival {
	case Arrived:
		m.wantKnown++
	case ArrivalUnknown:
		m.wantUnknown++
	}
	return r
}

// Each request is counted exactly once, however the requests are distributed over segments, and the segments over
// batches.
func TestEachRequestIsCountedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for range 300 {
		var r Replayer
		total := Tally{}
		m := &usageModel{rng: rng, writer: 1}
		for n := range uint64(20) {
			if rng.IntN(6) == 0 {
				m.restart()
			}
			var records []Record
			for range rng.IntN(20) {
				records = append(records, m.record())
			}
			h := Header{Number: n + 1, Writer: m.writer, SealedAt: 100 * 60_000}
			tally, _, err := r.Replay(h, segmentOf(h, records...))
			if err != nil {
				t.Fatal(err)
			}
			total.Merge(tally)
		}
		known, unknown := total.Total()
		if known.Requests != m.wantKnown || unknown.Requests != m.wantUnknown || len(r.Pending) != len(m.inFlight) {
			t.Fatalf("%d known, %d unknown, %d pending; want %d, %d and %d", known.Requests, unknown.Requests,
				len(r.Pending), m.wantKnown, m.wantUnknown, len(m.inFlight))
		}
	}
}
