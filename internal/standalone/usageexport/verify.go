package usageexport

import (
	"fmt"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usagesegment"
)

// maxRequestSegments is the greatest number of segments between the one with the start of a request and the one that
// adds the request to the bill. A request without an end is billed, with unknown arrival, about ten minutes after its
// start, and segments are closed about once a minute with the default rotation.
const maxRequestSegments = 12

// Verification is the outcome of Verify.
type Verification struct {
	Segments    int
	Records     int
	Batches     uint64    // number of the last batch
	Known       usage.Sum // sum over all batches of the requests that arrived
	Unknown     usage.Sum // sum over all batches of the requests whose arrival is unknown
	Unmetered   usage.Sum // sum over all batches of the requests that were not recorded
	NotExported usage.Sum // sum of the records that are in no batch yet
	InFlight    int       // requests of the last run without a recorded end, which are not billed yet
	Problems    []string  // empty if none were found
}

// verifier compares the segments and batches of a folder.
type verifier struct {
	Verification
	source      string
	rows        map[uint64]usage.Tally // by segment number
	lastSegment uint64                 // number of the last segment in a batch
}

// Verify reads all segments and batches that are kept, and compares them. It checks that their numbers have no gaps,
// and that each batch whose segments are all kept has the same rows as those segments.
func (e *Exporter) Verify() (*Verification, error) {
	v := &verifier{source: e.source, rows: map[uint64]usage.Tally{}}
	segments, err := usagesegment.List(e.Dir)
	if err != nil {
		return nil, fmt.Errorf("usage: list segments: %w", err)
	}
	v.readSegments(segments)
	err = e.EachBatch(func(b usage.Batch, _ string, _ bool) error {
		v.checkBatch(b)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("usage: read %s: %w", storeFile, err)
	}
	for number, tally := range v.rows {
		if number > v.lastSegment {
			known, unknown := tally.Total()
			v.NotExported = v.NotExported.Add(known).Add(unknown)
		}
	}
	return &v.Verification, nil
}

func (v *verifier) addProblem(format string, args ...any) {
	v.Problems = append(v.Problems, fmt.Sprintf(format, args...))
}

func (v *verifier) readSegments(segments []usagesegment.Info) {
	replayer, last := &usage.Replayer{}, uint64(0)
	for _, s := range segments {
		header, data, err := usagesegment.Read(s.Path)
		if err != nil {
			v.addProblem("%v", err)
			continue
		}
		if header.Number != s.Number {
			v.addProblem("%s says that it is segment %d", s.Path, header.Number)
		}
		if last != 0 && s.Number != last+1 {
			v.addProblem("segments %d to %d are missing", last+1, s.Number-1)
		}
		last = s.Number
		tally, report, err := replayer.Replay(header, data)
		if err != nil {
			v.addProblem("%s: %v", s.Path, err)
			continue
		}
		if report.Damaged > 0 || report.Lost > 0 {
			v.addProblem("%s: %d records damaged, %d bytes after the last valid one",
				s.Path, report.Damaged, report.Lost)
		}
		v.Segments++
		v.Records += report.Records
		v.rows[s.Number] = tally
	}
	v.InFlight = len(replayer.Pending)
}

// checkBatch compares a batch with the one before it and with its segments.
func (v *verifier) checkBatch(b usage.Batch) {
	if b.Source != v.source {
		v.addProblem("batch %d is from %s", b.Number, b.Source)
	}
	if v.Batches != 0 && b.Number != v.Batches+1 {
		v.addProblem("batches %d to %d are missing", v.Batches+1, b.Number-1)
	}
	if v.lastSegment != 0 && b.First != v.lastSegment+1 {
		v.addProblem("batch %d begins with segment %d, the one before ended with %d", b.Number, b.First, v.lastSegment)
	}
	v.Batches = b.Number
	v.lastSegment = b.Last
	batched := usage.Tally{}
	for _, r := range b.Rows {
		batched[r.Key] = r.Sum
	}
	recorded, complete := v.recorded(b)
	if complete && fmt.Sprint(batched.Rows()) != fmt.Sprint(recorded.Rows()) {
		v.addProblem("batch %d does not match its segments %d to %d", b.Number, b.First, b.Last)
	}
	known, unknown := batched.Total()
	v.Known = v.Known.Add(known)
	v.Unknown = v.Unknown.Add(unknown)
	v.Unmetered = v.Unmetered.Add(b.Unmetered)
}

// recorded returns the tally of a batch's segments. It is complete if all of these are kept, and also the earlier
// segments in which the batch's requests may have started.
func (v *verifier) recorded(b usage.Batch) (tally usage.Tally, complete bool) {
	tally = usage.Tally{}
	complete = true
	for number := b.First - min(b.First-1, maxRequestSegments); number <= b.Last; number++ {
		complete = complete && v.rows[number] != nil
		if number >= b.First {
			tally.Merge(v.rows[number])
		}
	}
	return tally, complete
}
