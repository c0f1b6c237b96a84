package replica

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/replica/replicatest"
	"mulleinrouter/internal/control/storage"
	"mulleinrouter/internal/logging/logtest"
)

const (
	losslessStep   = 150  // last step of a walk at which chunks or power may be lost
	maxSteps       = 1000 // steps after which the walk fails if the newest snapshot has not arrived
	maxLateAnswers = 5    // answers that are kept for repeated delivery
)

// openReplica opens a replica, which is a voter, with the state of a disk.
func openReplica(is *is.I, fs vfs.FS, incarnation uint64) *Replica {
	is.Helper()
	disk, state, err := storage.Open(fs, "d", logtest.Discard())
	is.NoErr(err)
	r := New(Options{Self: "x", Store: replication.NewStore(incarnation)})
	r.Load(disk, state, []string{"x", "y", "z"})
	return r
}

func noInstances(string, int) ([]registry.Instance, bool) { return nil, false }

// failureRecorder is used instead of a *testing.T in package is. It records a failure instead of ending the test.
type failureRecorder struct{ failure *string }

func (f failureRecorder) Fail()    { f.FailNow() }
func (f failureRecorder) FailNow() { *f.failure = "an assertion failed" }
func (f failureRecorder) Log(args ...any) {
	fmt.Fprintln(os.Stderr, args...)
}

// lateAnswer is a request with its answer, which may be delivered late or repeatedly.
type lateAnswer struct {
	request transport.CatchUpRequest
	chunk   transport.CatchUpChunk
}

// transferWalk is a random walk in which a replica catches up with three sources.
type transferWalk struct {
	*is.I
	random  *rand.Rand
	history *replicatest.History

	disk         *vfs.MemFS
	incarnations uint64
	replica      *Replica
	sources      []*Replica
	lateAnswers  []lateAnswer

	epoch    uint64                  // epoch of the replica at the last check
	snapshot *configuration.Snapshot // its snapshot at the last check
	chunks   int
	failure  string
}

// walkTransfer runs a random walk with a seed. Sources apply changes, answers come from any source and are lost, late
// or repeated, and the replica loses power. Each snapshot of the replica must be that of its epoch, and it must reach
// the newest one. walkTransfer returns the first failure (empty: none) and the number of chunks.
func walkTransfer(seed uint64) (failure string, chunks int) {
	random := rand.New(rand.NewPCG(seed, 7))
	w := &transferWalk{
		random:       random,
		disk:         vfs.NewCrashableMem(),
		incarnations: 1,
		snapshot:     new(configuration.Snapshot),
	}
	w.I = is.New(failureRecorder{&w.failure})
	w.history = &replicatest.History{
		Random:   random,
		Names:    40,
		BodySize: 1 + random.IntN(200),
		MaxItems: 1 + random.IntN(6),
	}
	w.replica = openReplica(w.I, w.disk, w.incarnations)
	for range 3 {
		w.incarnations++
		w.sources = append(w.sources, openReplica(w.I, vfs.NewMem(), w.incarnations))
	}
	defer func() {
		for _, r := range append(w.sources, w.replica) {
			r.disk.Close()
		}
	}()
	w.history.Grow(1 + random.IntN(40))
	for step := 0; ; step++ {
		lossless := step > losslessStep
		w.step(lossless)
		w.check()
		if w.failure != "" {
			return w.failure, w.chunks
		}
		if !lossless {
			continue
		}
		for _, source := range w.sources {
			w.history.Apply(source, w.history.Newest())
		}
		if w.replica.Epoch() == w.history.Newest() {
			return "", w.chunks
		}
		if step > maxSteps {
			return "the replica does not reach the newest snapshot", w.chunks
		}
	}
}

// step performs one random action.
func (w *transferWalk) step(lossless bool) {
	source := w.sources[w.random.IntN(3)]
	switch action := w.random.IntN(12); {
	case !lossless && action == 0:
		w.history.Grow(1 + w.random.IntN(10))
	case action == 1:
		at := source.Epoch()
		w.history.Apply(source, at+uint64(w.random.IntN(len(w.history.Changes)-int(at)+1)))
	case !lossless && action == 2: // the replica learns the next change directly
		if at := w.replica.Epoch(); at < w.history.Newest() {
			w.replica.Choose(w.history.Changes[at])
		}
	case !lossless && action == 3:
		w.losePower()
	case !lossless && action == 4 && len(w.lateAnswers) > 0:
		answer := w.lateAnswers[w.random.IntN(len(w.lateAnswers))]
		w.replica.StageChunk(&answer.request, &answer.chunk)
	default:
		w.requestChunk(source, lossless)
	}
}

// losePower restarts the replica with the data that its disk kept.
func (w *transferWalk) losePower() {
	if w.random.IntN(2) == 0 { // sync all; otherwise the writing goroutine of the disk may not have written it yet
		w.NoErr(w.replica.disk.Save(context.Background(), storage.Batch{}))
	}
	crash := w.disk.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 50, RNG: w.random})
	w.replica.disk.Close()
	w.disk = crash
	w.incarnations++
	w.replica = openReplica(w.I, w.disk, w.incarnations)
	w.epoch = 0
	w.lateAnswers = nil
}

// requestChunk requests the next chunk from a source; its answer may be lost.
func (w *transferWalk) requestChunk(source *Replica, lossless bool) {
	request := w.replica.NextCatchUpRequest()
	request.MaxBytes = 1 + w.random.IntN(1500)
	chunk := source.Chunk(request, noInstances)
	w.chunks++
	size := 0
	for _, item := range chunk.Items {
		size += FrameBytes(item)
	}
	if size > request.MaxBytes && len(chunk.Items) > 1 {
		w.failure = fmt.Sprintf("got a chunk of %d bytes, requested %d", size, request.MaxBytes)
		return
	}
	if w.lateAnswers = append(w.lateAnswers, lateAnswer{*request, *chunk}); len(w.lateAnswers) > maxLateAnswers {
		w.lateAnswers = w.lateAnswers[1:]
	}
	if lossless || w.random.IntN(4) > 0 {
		w.replica.StageChunk(request, chunk)
	}
}

// check checks the snapshot against the model, and that the replica accepts no proposal upon a snapshot that it does
// not have.
func (w *transferWalk) check() {
	epoch, snapshot := w.replica.Snapshot()
	if w.failure == "" && (snapshot != w.snapshot || epoch != w.epoch) {
		w.snapshot = snapshot
		w.failure = w.history.Check(w.replica)
	}
	if w.failure == "" && epoch < w.epoch {
		w.failure = fmt.Sprintf("epoch %d after %d", epoch, w.epoch)
	}
	w.epoch = epoch
	proposal := consensus.Proposal{
		Ballot: consensus.Ballot{Round: 1, Node: "y"},
		Epoch:  epoch + 2 + uint64(w.random.IntN(3)),
	}
	if accepted := w.replica.Accept(proposal, nil); w.failure == "" && accepted != nil && accepted.OK {
		w.failure = "the replica accepts a proposal upon a snapshot that it lacks"
	}
}

func TestTransferWalks(t *testing.T) {
	chunks := 0
	for seed := range uint64(transferWalks) {
		failure, n := walkTransfer(seed)
		if failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
		chunks += n
	}
	t.Logf("%d walks, %d chunks", transferWalks, chunks)
}

// checkNewerItems applies a number of changes to a replica. For each epoch, it compares the items that are newer with a
// plain list, from the first position and from a random one. It returns the first difference, if any.
func checkNewerItems(changes int) string {
	var failure string
	is := is.New(failureRecorder{&failure})
	random := rand.New(rand.NewPCG(uint64(changes), 3))
	h := &replicatest.History{Random: random, Names: 5000, BodySize: 1, MaxItems: 3}
	r := openReplica(is, vfs.NewMem(), 1)
	defer r.disk.Close()
	h.Grow(changes)
	h.Apply(r, uint64(changes))
	_, snapshot := r.Snapshot()
	items := h.ItemsAt(uint64(changes))
	for epoch := range uint64(changes) {
		for _, from := range []uint64{0, random.Uint64()} {
			got, want := map[configuration.Key]uint64{}, map[configuration.Key]uint64{}
			last := from
			for position, item := range itemsNewerThan(snapshot, r.recent, epoch, from) {
				if position < last {
					return fmt.Sprintf("position %x after %x", position, last)
				}
				last = position
				got[item.Key] = item.Epoch
			}
			for _, item := range items {
				if item.Epoch > epoch && item.Key.Position() >= from {
					want[item.Key] = item.Epoch
				}
			}
			if !maps.Equal(got, want) {
				return fmt.Sprintf("%d changes, newer than %d: got %d items, want %d", changes, epoch, len(got),
					len(want))
			}
		}
	}
	return failure
}

// changeCounts are numbers of changes around those at which the recent changes just include all after an epoch, and
// some others.
var changeCounts = []int{
	1, 2,
	MaxRecentChanges/2 - 1, MaxRecentChanges / 2, MaxRecentChanges/2 + 1,
	MaxRecentChanges - 1, MaxRecentChanges, MaxRecentChanges + 1, MaxRecentChanges + 2,
	3 * MaxRecentChanges / 2, 3*MaxRecentChanges/2 + 1,
	600,
}

// Guards against the use of the recent changes for an epoch whose next change they no longer contain, because a node
// that catches up would then miss that change.
func TestItemsNewerThan(t *testing.T) {
	for _, changes := range changeCounts {
		t.Run(fmt.Sprint(changes, " changes"), func(t *testing.T) {
			if difference := checkNewerItems(changes); difference != "" {
				t.Error(difference)
			}
		})
	}
}
