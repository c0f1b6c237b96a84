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

// powerLossRun is the walk of one seed: a store that is written to through several restarts, each after a loss of
// power.
type powerLossRun struct {
	rnd     *rand.Rand
	is      *is.I
	failure string // of is

	want     []Batch // all that was put
	opened   int     // folders
	rejected int     // of them, by Open
}

// powerLossWalk writes batches and loses power at each step of the folder, with each loss of names that may be. What
// was acknowledged is there, or Open rejects the folder. It returns how many folders were opened, and how many were
// rejected.
func powerLossWalk(seed uint64) (wrong string, opened, rejected int) {
	const restarts, endLosses = 3, 6
	run := &powerLossRun{rnd: rand.New(rand.NewPCG(seed, 5)), want: []Batch{}}
	run.is = newFailureRecorder(&run.failure)
	files := map[string][]byte{}
	for restart := range restarts {
		start := len(run.want)
		points, wrong := run.write(files)
		if wrong != "" {
			return fmt.Sprintf("restart %d: %s", restart, wrong), run.opened, run.rejected
		}
		for _, point := range points {
			losses := point.losses(run.rnd)
			if point.acknowledged == start && restart > 0 && len(losses) > endLosses {
				run.rnd.Shuffle(len(losses), func(a, b int) { losses[a], losses[b] = losses[b], losses[a] })
				losses = losses[:endLosses]
			}
			if wrong := run.lose(point, losses); wrong != "" {
				return fmt.Sprintf("restart %d: %s", restart, wrong), run.opened, run.rejected
			}
		}
		files = points[len(points)-1].filesAfter(func(int) bool { return run.rnd.IntN(2) == 0 }, false)
	}
	return "", run.opened, run.rejected
}

// write opens a folder, writes batches to it and closes it, and returns the points at which the power may fail.
func (r *powerLossRun) write(files map[string][]byte) (points []crashPoint, wrong string) {
	fs := newPowerLossFS(files)
	acknowledged := len(r.want)
	var mu sync.Mutex // guards points and acknowledged
	fs.onStep = func() {
		mu.Lock()
		defer mu.Unlock()
		points = append(points, fs.crashPoint(acknowledged))
	}
	acknowledge := func() {
		mu.Lock()
		defer mu.Unlock()
		acknowledged = len(r.want)
	}
	store, state, err := Open(fs, "d", logtest.Discard())
	if err != nil {
		return nil, fmt.Sprintf("%v: %v", err, fileSizes(files))
	}
	if n := countBatches(r.is, state, r.want); n != len(r.want) || r.failure != "" {
		return nil, fmt.Sprintf("%d batches of %d; %s", n, len(r.want), r.failure)
	}
	for range 25 + r.rnd.IntN(60) {
		b := randomBatch(r.rnd, len(r.want)+1)
		r.want = append(r.want, b)
		if future := store.Put(b); !b.NoSync {
			if err := future.Wait(context.Background()); err != nil {
				return nil, err.Error()
			}
			acknowledge()
		}
	}
	if err := store.Save(context.Background(), Batch{Members: 1}); err != nil {
		return nil, err.Error()
	}
	acknowledge()
	if err := store.Close(); err != nil {
		return nil, err.Error()
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return append(points, fs.crashPoint(len(r.want))), ""
}

// lose opens what each loss of power at one point leaves, with and without unsynced bytes in turn.
func (r *powerLossRun) lose(point crashPoint, losses []nameLoss) (wrong string) {
	for k, survives := range losses {
		r.opened++
		folder := point.filesAfter(survives, k%2 == 1)
		names := slices.Sorted(maps.Keys(folder))
		n, err := reopen(r.is, folder, r.want)
		switch {
		case isPanic(err):
			r.rejected++
			return err.Error()
		case err != nil:
			r.rejected++
			r.failure = ""
		case r.failure != "":
			return fmt.Sprintf("%s: %v", r.failure, names)
		case n < point.acknowledged:
			return fmt.Sprintf("%d batches of %d that were acknowledged; folder %v, unsynced %v",
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

// reopen opens a folder and tells how many batches are there.
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

// firstFailure is a test that records that it failed, and goes on.
type firstFailure struct{ text *string }

func (f firstFailure) Fail()           { f.FailNow() }
func (f firstFailure) FailNow()        { *f.text = "the state is none that there was" }
func (f firstFailure) Log(args ...any) { _ = fmt.Sprint(args...) }

// A folder that has lost a name that was synced, which no loss of power takes, is rejected, or is as it was: each of
// its files is taken away, one at a time, after an orderly end. Without its newest log it is as it was a while
// before: nothing shows that there was one.
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
		var wrong string
		n, err := reopen(newFailureRecorder(&wrong), without, want)
		switch {
		case err != nil && !isPanic(err):
			rejected = append(rejected, name)
		case err != nil, wrong != "", n < len(want) && path.Ext(name) != ".log":
			t.Errorf("without %s: %d of %d batches; %s; %v", name, n, len(want), wrong, err)
		}
	}
	t.Logf("%d files; rejected without %v", len(files), rejected)
}

// newFailureRecorder records a failed check in place of failing a test.
func newFailureRecorder(text *string) *is.I { return is.New(firstFailure{text}) }

func TestPowerLossLosesNames(t *testing.T) {
	walks := 2
	if race.Enabled {
		walks = 1
	}
	opened, rejected := 0, 0
	for seed := range uint64(walks) {
		wrong, o, r := powerLossWalk(seed)
		opened, rejected = opened+o, rejected+r
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
	t.Logf("%d folders opened, %d of them rejected", opened, rejected)
	if rejected > 0 {
		t.Error("a folder is rejected that lost no name that was synced")
	}
}
