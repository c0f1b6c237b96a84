package storage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/race"
)

// powerLossRun is the state of a walk with one seed, which writes to a store through several restarts after power
// losses.
type powerLossRun struct {
	rnd          *rand.Rand
	is           *is.I
	checkFailure string // failure that is has recorded

	batches  []Batch // all batches that were put
	opened   int     // number of folders opened
	rejected int     // number of them that Open rejected
}

// powerLossWalk writes batches, and simulates a power loss after each change and sync of the folder, with several
// possible losses of names each. Afterwards all acknowledged batches must be there, or Open must reject the folder.
// powerLossWalk returns the first failure (empty: none), and how many folders were opened and rejected.
func powerLossWalk(seed uint64) (failure string, opened, rejected int) {
	// After a restart, at most maxStartupLosses losses are tested at each point before the first acknowledged batch.
	const restarts, maxStartupLosses = 3, 6
	run := &powerLossRun{rnd: rand.New(rand.NewPCG(seed, 5)), batches: []Batch{}}
	run.is = newFailureRecorder(&run.checkFailure)
	files := map[string][]byte{}
	for restart := range restarts {
		start := len(run.batches)
		points, failure := run.write(files)
		if failure != "" {
			return fmt.Sprintf("restart %d: %s", restart, failure), run.opened, run.rejected
		}
		for _, point := range points {
			losses := point.losses(run.rnd)
			if point.acknowledged == start && restart > 0 && len(losses) > maxStartupLosses {
				run.rnd.Shuffle(len(losses), func(a, b int) { losses[a], losses[b] = losses[b], losses[a] })
				losses = losses[:maxStartupLosses]
			}
			if failure := run.checkLosses(point, losses); failure != "" {
				return fmt.Sprintf("restart %d: %s", restart, failure), run.opened, run.rejected
			}
		}
		files = points[len(points)-1].filesAfter(func(int) bool { return run.rnd.IntN(2) == 0 }, false)
	}
	return "", run.opened, run.rejected
}

// write opens a folder, writes batches to it and closes it. It returns the points at which power may be lost.
func (r *powerLossRun) write(files map[string][]byte) (points []crashPoint, failure string) {
	fs := newPowerLossFS(files)
	acknowledged := len(r.batches)
	var mu sync.Mutex // guards points and acknowledged
	fs.onStep = func() {
		mu.Lock()
		defer mu.Unlock()
		points = append(points, fs.crashPoint(acknowledged))
	}
	acknowledge := func() {
		mu.Lock()
		defer mu.Unlock()
		acknowledged = len(r.batches)
	}
	store, state, err := Open(fs, "d", logtest.Discard())
	if err != nil {
		return nil, fmt.Sprintf("%v: %v", err, fileSizes(files))
	}
	if n := countBatches(r.is, state, r.batches); n != len(r.batches) || r.checkFailure != "" {
		return nil, fmt.Sprintf("got %d batches of %d; %s", n, len(r.batches), r.checkFailure)
	}
	for range 25 + r.rnd.IntN(60) {
		b := randomBatch(r.rnd, len(r.batches)+1)
		r.batches = append(r.batches, b)
		if future := store.Put(b); !b.NoSync {
			if err := future.Wait(context.Background()); err != nil {
				return nil, err.Error()
			}
			acknowledge()
		}
	}
	if err := store.Save(context.Background(), Batch{IngressCount: 1}); err != nil {
		return nil, err.Error()
	}
	acknowledge()
	if err := store.Close(); err != nil {
		return nil, err.Error()
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return append(points, fs.crashPoint(len(r.batches))), ""
}

// checkLosses opens the folder that each power loss at one point leaves, alternately without and with unsynced bytes.
func (r *powerLossRun) checkLosses(point crashPoint, losses []nameLoss) (failure string) {
	for k, survives := range losses {
		r.opened++
		folder := point.filesAfter(survives, k%2 == 1)
		names := slices.Sorted(maps.Keys(folder))
		n, err := reopen(r.is, folder, r.batches)
		switch {
		case isPanic(err):
			r.rejected++
			return err.Error()
		case err != nil:
			r.rejected++
			r.checkFailure = ""
		case r.checkFailure != "":
			return fmt.Sprintf("%s: %v", r.checkFailure, names)
		case n < point.acknowledged:
			return fmt.Sprintf("got %d batches of %d that were acknowledged; folder %v, unsynced %v",
				n, point.acknowledged, names, point.unsynced)
		}
	}
	return ""
}

func fileSizes(files map[string][]byte) (sizes []string) {
	for _, name := range slices.Sorted(maps.Keys(files)) {
		sizes = append(sizes, fmt.Sprintf("%s %d", name, len(files[name])))
	}
	return sizes
}

// reopen opens a folder and returns the number of batches in it.
func reopen(is *is.I, files map[string][]byte, want []Batch) (n int, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = panicError{fmt.Sprint(r)}
		}
	}()
	store, state, err := Open(newMemoryFolder(files), "d", logtest.Discard())
	if err != nil {
		return 0, err
	}
	defer store.Close()
	return countBatches(is, state, want), nil
}

// panicError is a panic of Open.
type panicError struct{ text string }

func (p panicError) Error() string { return "panic: " + p.text }

func isPanic(err error) bool {
	var panicked panicError
	return errors.As(err, &panicked)
}

// firstFailure is used instead of a *testing.T in package is. It records a failure and lets the test continue.
type firstFailure struct{ text *string }

func (f firstFailure) Fail()           { f.FailNow() }
func (f firstFailure) FailNow()        { *f.text = "the state is not that after any of the batches" }
func (f firstFailure) Log(args ...any) { _ = fmt.Sprint(args...) }

// A folder that has lost a synced name, which no power loss can cause, is either rejected or complete. The test removes
// each file of a folder in turn after the store was closed. Without its newest log, the folder has an earlier state,
// because nothing shows that the log existed.
func TestMissingFile(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(2, 5))
	fs := newPowerLossFS(nil)
	store, _, err := Open(fs, "d", logtest.Discard())
	is.NoErr(err)
	var want []Batch
	for range 120 {
		want = append(want, randomBatch(rnd, len(want)+1))
		is.NoErr(store.Save(t.Context(), want[len(want)-1]))
	}
	is.NoErr(store.Close())
	files := fs.crashPoint(0).filesAfter(func(int) bool { return true }, true)
	var rejected []string
	for _, name := range slices.Sorted(maps.Keys(files)) {
		without := maps.Clone(files)
		delete(without, name)
		var failure string
		n, err := reopen(newFailureRecorder(&failure), without, want)
		switch {
		case err != nil && !isPanic(err):
			rejected = append(rejected, name)
		case err != nil, failure != "", n < len(want) && path.Ext(name) != ".log":
			t.Errorf("without %s: %d of %d batches; %s; %v", name, n, len(want), failure, err)
		}
	}
	t.Logf("%d files; rejected without %v", len(files), rejected)
}

// newFailureRecorder returns assertions that record a failure instead of failing the test.
func newFailureRecorder(text *string) *is.I { return is.New(firstFailure{text}) }

// Guards against a folder that loses an acknowledged batch, or that Open rejects, because a power loss has undone
// changes of names that were not synced.
func TestPowerLossLosesNames(t *testing.T) {
	walks := 2
	if race.Enabled {
		walks = 1
	}
	opened, rejected := 0, 0
	for seed := range uint64(walks) {
		failure, o, r := powerLossWalk(seed)
		opened, rejected = opened+o, rejected+r
		if failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
	t.Logf("%d folders opened, %d of them rejected", opened, rejected)
	if rejected > 0 {
		t.Error("Open rejects folders that have lost no synced names")
	}
}
