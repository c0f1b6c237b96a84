package usageexport

import (
	"fmt"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usagesegment"
)

// maxAttemptSegments is how many segments earlier a try may have begun: none is open for longer than ten minutes, and
// segments are closed once a minute or so.
const maxAttemptSegments = 12

// Verification is what a look at a folder's records and batches found.
type Verification struct {
	Segments  int
	Records   int
	Batches   uint64
	Known     usage.Sum // of all batches
	Unknown   usage.Sum // listed apart: whether they arrived is not known
	Unmetered usage.Sum
	NotExported   usage.Sum // recorded, and in no batch yet
	InFlight       int       // tries that are out, or whose end is in a segment that is still open
	Problems  []string  // empty: all is in order
}

// Verify reads all segments that are there and all batches that are kept, and compares them: the numbers of the
// batches have no gaps, and each batch whose segments are all still there says what these say.
func (e *Exporter) Verify() (*Verification, error) {
	v := &Verification{}
	bad := func(format string, args ...any) { v.Problems = append(v.Problems, fmt.Sprintf(format, args...)) }
	list, err := usagesegment.List(e.Dir)
	if err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	rows := map[uint64]usage.Tally{} // by segment
	ledger, last := &usage.Ledger{}, uint64(0)
	for _, s := range list {
		header, data, err := usagesegment.Read(s.Path)
		if err != nil {
			bad("%v", err)
			continue
		}
		if header.Number != s.Number {
			bad("%s says that it is segment %d", s.Path, header.Number)
		}
		if last != 0 && s.Number != last+1 {
			bad("segments %d to %d are missing", last+1, s.Number-1)
		}
		last = s.Number
		t, report, err := ledger.Segment(header, data)
		if err != nil {
			bad("%s: %v", s.Path, err)
			continue
		}
		if report.Damaged > 0 || report.Lost > 0 {
			bad("%s: %d records damaged, %d bytes after the last sound one", s.Path, report.Damaged, report.Lost)
		}
		v.Segments++
		v.Records += report.Records
		rows[s.Number] = t
	}
	v.InFlight = len(ledger.Pending)
	batched := uint64(0)
	err = e.EachBatch(func(b usage.Batch, digest string, acknowledged bool) error {
		if b.Source != e.source {
			bad("batch %d is from %s", b.Number, b.Source)
		}
		if v.Batches != 0 && b.Number != v.Batches+1 {
			bad("batches %d to %d are missing", v.Batches+1, b.Number-1)
		}
		if batched != 0 && b.First != batched+1 {
			bad("batch %d begins with segment %d, the one before ended with %d", b.Number, b.First, batched)
		}
		v.Batches, batched = b.Number, b.Last
		said, read, whole := usage.Tally{}, usage.Tally{}, true
		for _, r := range b.Rows {
			said[r.Key] = r.Sum
		}
		// A try may have begun some segments earlier: where one of these is gone, the batch cannot be compared.
		for n := b.First - min(b.First-1, maxAttemptSegments); n <= b.Last; n++ {
			if whole = whole && rows[n] != nil; n >= b.First {
				read.Merge(rows[n])
			}
		}
		if whole && fmt.Sprint(said.Rows()) != fmt.Sprint(read.Rows()) {
			bad("batch %d says otherwise than its segments %d to %d", b.Number, b.First, b.Last)
		}
		known, unknown := said.Total()
		v.Known = v.Known.Plus(known)
		v.Unknown = v.Unknown.Plus(unknown)
		v.Unmetered = v.Unmetered.Plus(b.Unmetered)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("usage: %s: %w", storeFile, err)
	}
	for n, t := range rows {
		if n > batched {
			known, unknown := t.Total()
			v.NotExported = v.NotExported.Plus(known).Plus(unknown)
		}
	}
	return v, nil
}
