package usagesegment

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/logging/logtest"
)

// BenchmarkSent measures the time to record one request (Sent and Ended) with this package and with two alternatives.
func BenchmarkSent(b *testing.B) {
	logger := logtest.Discard()
	parallel := func(b *testing.B, f func()) {
		b.SetParallelism(1) // one goroutine for each processor (GOMAXPROCS)
		b.ReportAllocs()
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				f()
			}
		})
	}
	b.Run("mapped", func(b *testing.B) {
		w, err := Open(b.TempDir(), time.Minute, logger)
		if err != nil {
			b.Fatal(err)
		}
		defer w.Close()
		stop := make(chan struct{})
		var running sync.WaitGroup
		defer running.Wait()
		defer close(stop)
		running.Go(func() { // does the work of Run without its ticker
			for {
				select {
				case <-stop:
					return
				case <-w.wake:
					w.maintain(false)
				}
			}
		})
		t := newRequest(1)
		parallel(b, func() { w.Ended(w.Sent(t), usage.Arrived) })
	})
	b.Run("write", func(b *testing.B) { // an append-only file with one system call per record
		f, err := os.Create(filepath.Join(b.TempDir(), "log"))
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		var mu sync.Mutex
		var buf []byte
		t := newRequest(1)
		parallel(b, func() {
			mu.Lock()
			defer mu.Unlock()
			for _, r := range []usage.Record{
				{Kind: usage.Sent, Seq: 1, Request: t},
				{Kind: usage.Ended, Seq: 1, Arrival: usage.Arrived},
			} {
				buf = usage.AppendRecord(append(buf[:0], make([]byte, frameSize)...), &r)
				f.Write(buf)
			}
		})
	})
	b.Run("bbolt", func(b *testing.B) { // batched transactions without a sync, which survive a kill of the process
		db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o644, &bbolt.Options{NoSync: true})
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("u")); return err })
		t := newRequest(1)
		put := func(r *usage.Record) {
			db.Batch(func(tx *bbolt.Tx) error {
				u := tx.Bucket([]byte("u"))
				n, _ := u.NextSequence()
				return u.Put([]byte(fmt.Sprintf("%016x", n)), usage.AppendRecord(nil, r))
			})
		}
		parallel(b, func() {
			put(&usage.Record{Kind: usage.Sent, Seq: 1, Request: t})
			put(&usage.Record{Kind: usage.Ended, Seq: 1, Arrival: usage.Arrived})
		})
	})
}
