package usageexport

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usagesegment"
)

// maxBatchRows is the number of rows from which on no further segment is added to a batch. It bounds the batch's size.
const maxBatchRows = 20_000

// pendingBody returns the body of the batch to send, which is the stored one if there is one. Otherwise it makes the
// next batch and stores it first. It returns nil if there is nothing to send.
func (e *Exporter) pendingBody() (body []byte, err error) {
	body, c, err := e.loadState()
	if err != nil || body != nil {
		return body, err
	}
	b, next, err := e.makeBatch(c)
	if err != nil || b == nil {
		return nil, err
	}
	if body, err = json.Marshal(b); err != nil {
		return nil, fmt.Errorf("usage: encode a batch: %w", err)
	}
	if err := e.storeBatch(body, next); err != nil {
		return nil, err
	}
	return body, nil
}

// makeBatch makes a batch of the closed segments after the cursor, and returns it with the cursor after it. The batch
// is nil if there is no such segment.
func (e *Exporter) makeBatch(c cursor) (*usage.Batch, cursor, error) {
	segments, err := usagesegment.List(e.Dir)
	if err != nil {
		return nil, c, fmt.Errorf("usage: list segments: %w", err)
	}
	b := &usage.Batch{Source: e.source, Number: c.Batch + 1}
	replayer := &usage.Replayer{Writer: c.Writer, Pending: c.Pending}
	tally := usage.Tally{}
	for _, s := range segments {
		if s.Number <= c.Segment {
			continue
		}
		if s.Open || len(tally) >= maxBatchRows {
			break
		}
		if err := e.addSegment(b, replayer, tally, s); err != nil {
			return nil, c, err
		}
	}
	if b.First == 0 {
		return nil, c, nil
	}
	b.Rows = tally.Rows()
	return b, cursor{Batch: b.Number, Segment: b.Last, Writer: replayer.Writer, Pending: replayer.Pending}, nil
}

// addSegment adds the records of a segment to a batch.
func (e *Exporter) addSegment(b *usage.Batch, replayer *usage.Replayer, tally usage.Tally, s usagesegment.Info) error {
	header, data, err := usagesegment.Read(s.Path)
	if err != nil {
		return fmt.Errorf("usage: read a segment: %w", err)
	}
	rows, report, err := replayer.Replay(header, data)
	if err != nil {
		return fmt.Errorf("usage: %s: %w", s.Path, err)
	}
	if report.Damaged+report.Lost > 0 {
		level.Error(e.Log).Log("msg", "usage records are damaged; the batch reports their number",
			"code", "usage-damaged", "file", s.Path, "records", report.Damaged, "bytes", report.Lost,
		)
		// Lost bytes count as one record, because the number of records in them is unknown.
		b.Damaged += report.Damaged + min(report.Lost, 1)
	}
	tally.Merge(rows)
	b.Unmetered = b.Unmetered.Add(report.Unmetered)
	if b.First == 0 {
		b.First = s.Number
	}
	b.Last = s.Number
	return nil
}

// Digest returns the SHA-256 of a batch's body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
