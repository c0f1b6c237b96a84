package usageexport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"mulleinrouter/internal/dataplane/usage"
)

const (
	storeFile   = "export.db"
	storePerm   = 0o644
	lockTimeout = time.Second // for another exporter that is ending to release the lock

	maxSentBatches = 10_000 // minimum number of acknowledged batches that are kept, for verification and operators
	pruneInterval  = 256    // batches between two removals of older ones
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Buckets and keys of the store.
var (
	bucketState = []byte("state")  // contains the three keys below
	keySource   = []byte("source") // name of the folder's records
	keyOutbox   = []byte("outbox") // body of the batch that is not yet acknowledged
	keyCursor   = []byte("cursor") // type cursor in JSON

	bucketSent = []byte("sent") // bodies of acknowledged batches by number
)

// cursor is the position in the segments up to which records are in batches.
type cursor struct {
	Batch   uint64                   `json:"batch"`   // number of the last batch
	Segment uint64                   `json:"segment"` // number of the last segment in the batch
	Writer  uint64                   `json:"writer"`  // number of the run that wrote the segment
	Pending map[uint64]usage.Request `json:"pending"` // requests in flight at the segment's end
}

// openStore opens and locks the store of a folder. The store must belong to the source of the folder's records.
func openStore(dir, source string) (*bbolt.DB, error) {
	db, err := bbolt.Open(filepath.Join(dir, storeFile), storePerm, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("usage: %s: %w", dir, ErrLocked)
	}
	if err != nil {
		return nil, fmt.Errorf("usage: open %s: %w", storeFile, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		state, err := tx.CreateBucketIfNotExists(bucketState)
		if err != nil {
			return err
		}
		if _, err = tx.CreateBucketIfNotExists(bucketSent); err != nil {
			return err
		}
		if stored := state.Get(keySource); stored != nil && string(stored) != source {
			return fmt.Errorf("%w: %s, not %s", ErrOtherSource, stored, source)
		}
		return state.Put(keySource, []byte(source))
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("usage: open %s: %w", storeFile, err)
	}
	return db, nil
}

// loadState returns the cursor and the body of the batch that is not yet acknowledged, or nil if there is none.
func (e *Exporter) loadState() (body []byte, c cursor, err error) {
	err = e.db.View(func(tx *bbolt.Tx) error {
		state := tx.Bucket(bucketState)
		if stored := state.Get(keyOutbox); stored != nil {
			body = bytes.Clone(stored)
		}
		if text := state.Get(keyCursor); text != nil {
			return json.Unmarshal(text, &c)
		}
		return nil
	})
	if err != nil {
		return nil, c, fmt.Errorf("usage: read %s: %w", storeFile, err)
	}
	return body, c, nil
}

// storeBatch stores a batch before it is sent, together with the cursor after it.
func (e *Exporter) storeBatch(body []byte, c cursor) error {
	err := e.db.Update(func(tx *bbolt.Tx) error {
		state := tx.Bucket(bucketState)
		text, err := json.Marshal(c)
		if err != nil {
			return err
		}
		if err := errors.Join(state.Put(keyOutbox, body), state.Put(keyCursor, text)); err != nil {
			return err
		}
		return e.callTestHook(whileStoringBatch)
	})
	if err != nil {
		return fmt.Errorf("usage: store a batch: %w", err)
	}
	return nil
}

// storeAcknowledgement moves the batch from the outbox to the acknowledged ones. Every pruneInterval batches it removes
// the oldest acknowledged ones, so that at least the last maxSentBatches stay.
func (e *Exporter) storeAcknowledgement(body []byte) error {
	var b usage.Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return fmt.Errorf("usage: the stored batch: %w", err)
	}
	err := e.db.Update(func(tx *bbolt.Tx) error {
		sent := tx.Bucket(bucketSent)
		err := errors.Join(
			sent.Put(batchKey(b.Number), body),
			tx.Bucket(bucketState).Delete(keyOutbox),
		)
		if err != nil {
			return err
		}
		if b.Number%pruneInterval == 0 && b.Number > maxSentBatches {
			if err := removeBefore(sent, b.Number-maxSentBatches); err != nil {
				return err
			}
		}
		return e.callTestHook(whileStoringAcknowledgement)
	})
	if err != nil {
		return fmt.Errorf("usage: store an acknowledgement: %w", err)
	}
	return nil
}

// removeBefore removes the batches below a number.
func removeBefore(sent *bbolt.Bucket, number uint64) error {
	c := sent.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) < number; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func batchKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

// EachBatch calls each for the acknowledged batches that are kept, in the order of their numbers, and then for the
// batch that is not yet acknowledged. The digest is that of the batch's body.
func (e *Exporter) EachBatch(each func(b usage.Batch, digest string, acknowledged bool) error) error {
	return e.db.View(func(tx *bbolt.Tx) error {
		call := func(body []byte, acknowledged bool) error {
			var b usage.Batch
			if err := json.Unmarshal(body, &b); err != nil {
				return err
			}
			return each(b, Digest(body), acknowledged)
		}
		err := tx.Bucket(bucketSent).ForEach(func(_, body []byte) error { return call(body, true) })
		if body := tx.Bucket(bucketState).Get(keyOutbox); err == nil && body != nil {
			err = call(body, false)
		}
		return err
	})
}
