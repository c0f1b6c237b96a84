// Package usageexport sends an ingress's use to a billing endpoint, each batch once and only once in effect: a batch is
// stored with its number before it is sent, is sent until it is acknowledged, and is the same to the letter each
// time, so that the endpoint recognises it.
//
// The store is bbolt, in the folder of the segments. A batch, the place up to which segments have been read and the
// tries that were out there are stored in one transaction; an acknowledgement in another. A process that is killed
// before, between or within them goes on from a state that was whole.
package usageexport

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usagesegment"
)

const (
	storeFile    = "export.db"
	maxBatchRows     = 20_000 // of a batch, by the segments that it ends with
	maxAnswerBytes   = 64 << 10
	answerTimeout   = 30 * time.Second // for the endpoint to answer
	lockTimeout     = time.Second      // for another exporter to go
	pollInterval    = 2 * time.Second  // for segments that have been closed
	maxSentBatches  = 10_000           // that were acknowledged, for verify and show
	pruneInterval = 256              // batches between looks at how many are kept
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

var (
	bucketState = []byte("state") // one key each below
	bucketSent  = []byte("sent")  // acknowledged batches by number: the body as it was sent
	keyOutbox   = []byte("outbox")
	keyCursor   = []byte("cursor") // JSON of cursor
)

// cursor is how far segments have been read into batches.
type cursor struct {
	Batch   uint64               `json:"batch"`   // the last one that was made
	Segment uint64               `json:"segment"` // the last one read
	Writer  uint64               `json:"writer"`
	Pending map[uint64]usage.Try `json:"pending"` // out when that segment ended
}

// Exporter sends the use of one folder.
type Exporter struct {
	Dir      string
	Endpoint string
	Retention     time.Duration // segments stay for this long after they were acknowledged
	Client   *http.Client  // nil: one with a time-out
	Log      *logrus.Logger

	db     *bbolt.DB
	source string
	rng    *rand.Rand
	testHook  func(name string) error // called at places where a test kills the exporter; nil: none
}

// Errors of exporting.
var (
	ErrLocked  = errors.New("another process exports this folder")
	ErrNotAcknowledged   = errors.New("the endpoint did not take the batch")
	errOtherSource = errors.New("the store is that of another folder's records")
)

// Open opens the store.
func (e *Exporter) Open() error {
	if _, err := os.Stat(e.Dir); err != nil {
		return fmt.Errorf("usage: %w", err)
	}
	var err error
	if e.source, err = usagesegment.Source(e.Dir); err != nil {
		return fmt.Errorf("usage: %w", err)
	}
	e.db, err = bbolt.Open(filepath.Join(e.Dir, storeFile), 0o644, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return fmt.Errorf("usage: %s: %w", e.Dir, ErrLocked)
	} else if err != nil {
		return fmt.Errorf("usage: %s: %w", storeFile, err)
	}
	err = e.db.Update(func(tx *bbolt.Tx) error {
		state, err := tx.CreateBucketIfNotExists(bucketState)
		if err != nil {
			return err
		}
		if _, err = tx.CreateBucketIfNotExists(bucketSent); err != nil {
			return err
		}
		if was := state.Get([]byte("source")); was != nil && string(was) != e.source {
			return fmt.Errorf("%w: %s, not %s", errOtherSource, was, e.source)
		}
		return state.Put([]byte("source"), []byte(e.source))
	})
	if err != nil {
		e.db.Close()
		return fmt.Errorf("usage: %s: %w", storeFile, err)
	}
	if e.Client == nil {
		e.Client = &http.Client{Timeout: answerTimeout}
	}
	e.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return nil
}

// Close closes the store.
func (e *Exporter) Close() error { return e.db.Close() }

// Run exports until the context ends.
func (e *Exporter) Run(ctx context.Context) {
	for tries, code := 0, ""; ctx.Err() == nil; {
		wait := pollInterval
		sent, answer, advice, err := e.Step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && sent:
			if tries > 0 {
				e.Log.WithFields(logrus.Fields{"code": "usage-export-resumed", "tries": tries}).Info("billing takes batches again")
			}
			tries, code, wait = 0, "", 0
		case err != nil:
			tries++
			wait = time.Duration(usage.Wait(tries, answer, advice, e.rng) * float64(time.Second))
			now := map[usage.Answer]string{usage.Conflicting: "usage-export-conflict", usage.Unacceptable: "usage-export-rejected"}[answer]
			if now == "" {
				now = "usage-export-failed"
			}
			if now != code { // once for each trouble
				e.Log.WithFields(logrus.Fields{"code": now, "wait": wait.String()}).WithError(err).Error("a batch of use was not taken; it is sent again")
			}
			code = now
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (e *Exporter) callTestHook(name string) error {
	if e.testHook == nil {
		return nil
	}
	return e.testHook(name)
}

// Step sends the batch that is stored, or makes the next one and sends it. It tells whether one was sent and
// acknowledged; false without an error means that there is nothing to send. Advice is in seconds, 0: none.
func (e *Exporter) Step(ctx context.Context) (sent bool, answer usage.Answer, advice float64, err error) {
	body, err := e.pendingBody()
	if err != nil || body == nil {
		return false, usage.Again, 0, err
	}
	if err := e.callTestHook("before sending"); err != nil {
		return false, usage.Again, 0, err
	}
	answer, advice, err = e.send(ctx, body)
	if err != nil {
		return false, answer, advice, err
	}
	if err := e.callTestHook("before storing the acknowledgement"); err != nil {
		return false, usage.Again, 0, err
	}
	if err := e.storeAcknowledgement(body); err != nil {
		return false, usage.Again, 0, err
	}
	e.removeExported()
	return true, usage.Acknowledged, 0, nil
}

// pendingBody is the batch to send: the one that is stored, or else the next one, stored first. Nil: there is none.
func (e *Exporter) pendingBody() (body []byte, err error) {
	c, err := e.loadState(&body)
	if err != nil || body != nil {
		return body, err
	}
	b, next, err := e.makeBatch(c)
	if err != nil || b == nil {
		return nil, err
	}
	if body, err = json.Marshal(b); err != nil {
		return nil, err
	}
	err = e.db.Update(func(tx *bbolt.Tx) error {
		state := tx.Bucket(bucketState)
		text, err := json.Marshal(next)
		if err != nil {
			return err
		}
		if err := errors.Join(state.Put(keyOutbox, body), state.Put(keyCursor, text)); err != nil {
			return err
		}
		return e.callTestHook("while storing the batch")
	})
	if err != nil {
		return nil, fmt.Errorf("usage: store a batch: %w", err)
	}
	return body, nil
}

func (e *Exporter) loadState(body *[]byte) (c cursor, err error) {
	err = e.db.View(func(tx *bbolt.Tx) error {
		state := tx.Bucket(bucketState)
		if b := state.Get(keyOutbox); b != nil {
			*body = bytes.Clone(b)
		}
		if text := state.Get(keyCursor); text != nil {
			return json.Unmarshal(text, &c)
		}
		return nil
	})
	if err != nil {
		err = fmt.Errorf("usage: %s: %w", storeFile, err)
	}
	return c, err
}

// makeBatch makes a batch of the closed segments after the cursor. Nil: none has anything to tell.
func (e *Exporter) makeBatch(c cursor) (*usage.Batch, cursor, error) {
	list, err := usagesegment.List(e.Dir)
	if err != nil {
		return nil, c, fmt.Errorf("usage: %w", err)
	}
	b := &usage.Batch{Source: e.source, Number: c.Batch + 1}
	ledger, tally := &usage.Ledger{Writer: c.Writer, Pending: c.Pending}, usage.Tally{}
	for _, s := range list {
		if s.Number <= c.Segment {
			continue
		}
		if s.Open || len(tally) >= maxBatchRows {
			break
		}
		header, data, err := usagesegment.Read(s.Path)
		if err != nil {
			return nil, c, fmt.Errorf("usage: %w", err)
		}
		rows, report, err := ledger.Segment(header, data)
		if err != nil {
			return nil, c, fmt.Errorf("usage: %s: %w", s.Path, err)
		}
		if report.Damaged+report.Lost > 0 {
			e.Log.WithFields(logrus.Fields{"code": "usage-damaged", "file": s.Path, "records": report.Damaged, "bytes": report.Lost}).Error("records of use cannot be read; the batch says how many")
			b.Damaged += report.Damaged + min(report.Lost, 1)
		}
		tally.Merge(rows)
		b.Unmetered = b.Unmetered.Plus(report.Missed)
		if b.First == 0 {
			b.First = s.Number
		}
		b.Last = s.Number
	}
	if b.First == 0 {
		return nil, c, nil
	}
	b.Rows = tally.Rows()
	return b, cursor{Batch: b.Number, Segment: b.Last, Writer: ledger.Writer, Pending: ledger.Pending}, nil
}

// Digest is a batch's content in a word: SHA-256 of its body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// send posts a batch. Its number and digest are in the headers, too: an Idempotency-Key, which names the batch
// wherever it goes, and the digest.
func (e *Exporter) send(ctx context.Context, body []byte) (usage.Answer, float64, error) {
	var b usage.Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return usage.Unacceptable, 0, fmt.Errorf("usage: the stored batch: %w", err)
	}
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	z.Write(body)
	z.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Endpoint, &packed)
	if err != nil {
		return usage.Unacceptable, 0, fmt.Errorf("usage: %w", err)
	}
	digest := Digest(body)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Content-Encoding", "gzip")
	request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", b.Source, b.Number))
	request.Header.Set("X-Content-SHA256", digest)
	response, err := e.Client.Do(request)
	if err != nil {
		return usage.Again, 0, fmt.Errorf("%w: batch %d: %w", ErrNotAcknowledged, b.Number, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return usage.Again, 0, fmt.Errorf("%w: batch %d: %w", ErrNotAcknowledged, b.Number, err)
	}
	if err := e.callTestHook("after sending"); err != nil {
		return usage.Again, 0, err
	}
	var ack usage.Ack
	echoed := json.Unmarshal(text, &ack) == nil && ack == usage.Ack{Source: b.Source, Number: b.Number, Digest: digest}
	answer := usage.Judge(response.StatusCode, echoed)
	if answer == usage.Acknowledged {
		return answer, 0, nil
	}
	advice, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer, max(0, advice), fmt.Errorf("%w: batch %d: status %d, acknowledged %v", ErrNotAcknowledged, b.Number, response.StatusCode, echoed)
}

// storeAcknowledgement moves the batch from the outbox to those that were sent.
func (e *Exporter) storeAcknowledgement(body []byte) error {
	var b usage.Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return err
	}
	err := e.db.Update(func(tx *bbolt.Tx) error {
		sent := tx.Bucket(bucketSent)
		if err := errors.Join(sent.Put(batchKey(b.Number), body), tx.Bucket(bucketState).Delete(keyOutbox)); err != nil {
			return err
		}
		if b.Number%pruneInterval == 0 && b.Number > maxSentBatches {
			c := sent.Cursor()
			for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) < b.Number-maxSentBatches; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		return e.callTestHook("while storing the acknowledgement")
	})
	if err != nil {
		return fmt.Errorf("usage: store an acknowledgement: %w", err)
	}
	return nil
}

func batchKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// removeExported removes segments that were acknowledged long enough ago.
func (e *Exporter) removeExported() {
	var body []byte
	c, err := e.loadState(&body)
	if err != nil || body != nil {
		return
	}
	list, err := usagesegment.List(e.Dir)
	if err != nil {
		return
	}
	for _, s := range list {
		info, err := os.Stat(s.Path)
		if err == nil && !s.Open && s.Number <= c.Segment && time.Since(info.ModTime()) > e.Retention {
			os.Remove(s.Path)
		}
	}
}

// EachBatch calls with each batch that was acknowledged, in order of their numbers, and with the one that waits.
func (e *Exporter) EachBatch(each func(b usage.Batch, digest string, acknowledged bool) error) error {
	return e.db.View(func(tx *bbolt.Tx) error {
		tell := func(body []byte, acknowledged bool) error {
			var b usage.Batch
			if err := json.Unmarshal(body, &b); err != nil {
				return err
			}
			return each(b, Digest(body), acknowledged)
		}
		err := tx.Bucket(bucketSent).ForEach(func(_, body []byte) error { return tell(body, true) })
		if body := tx.Bucket(bucketState).Get(keyOutbox); err == nil && body != nil {
			err = tell(body, false)
		}
		return err
	})
}
