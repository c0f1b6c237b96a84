package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/emulator/histories"
	"mulleinrouter/internal/race"
)

// applications are clients that call random nodes in simulated time. Meanwhile, nodes crash, lose power together, are
// paused, lose their disks or restart several times, disks stall, and links fail in one or both directions.
type applications struct {
	*testCluster
	workload *histories.Workload

	// acceptAfterPause makes a paused node accept the connections of calls after the pause, as if they waited in the
	// backlog of its listener. Otherwise they were accepted before.
	acceptAfterPause bool

	mu      sync.Mutex // guards the fields below
	rnd     *rand.Rand
	crashed map[*testNode]bool   // nodes whose further answers are discarded
	pausing map[string]time.Time // end of the last pause, by node
}

const (
	appCount     = 6
	watcherCount = 8 // further applications that only watch
	faultKinds   = 8
)

func newApplications(t *testing.T, seed uint64) *applications {
	a := &applications{
		rnd:     rand.New(rand.NewPCG(seed, 3)),
		crashed: map[*testNode]bool{},
		pausing: map[string]time.Time{},
	}
	a.workload = histories.NewWorkload(seed, a.send)
	links := &partitionableLinks{pauses: new(processPauses)}
	a.testCluster = newCoordinationClusterOver(t, links)
	links.pauses.set(a.pausedFor)
	return a
}

func (a *applications) pausedFor(process string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Until(a.pausing[process])
}

// random draws a number below n. It is safe for concurrent use by the applications.
func (a *applications) random(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rnd.IntN(n)
}

// send sends a call to a random node and returns its answer. The status is 0 if no answer arrived within the timeout.
func (a *applications) send(method, path, body string, timeout time.Duration) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return followRedirects(a.seeds[a.random(len(a.seeds))], path, func(addr, path string) (int, string, string) {
		return a.sendTo(ctx, addr, method, path, body)
	})
}

// sendTo sends a call to a node and returns its answer, with the address of a redirect. The node reads the call after
// its current pause, even if the call has timed out by then.
func (a *applications) sendTo(ctx context.Context, addr, method, path, body string) (
	status int, text, location string,
) {
	a.testCluster.mu.Lock()
	node := a.nodes[addr]
	a.testCluster.mu.Unlock()
	answered := make(chan *httptest.ResponseRecorder, 1)
	server := node.api.HTTPServer()
	accept := func() context.Context { return server.ConnContext(context.WithoutCancel(ctx), nil) }
	conn := accept()
	go func() {
		a.links.pauses.await(node.addr)
		if a.acceptAfterPause {
			conn = accept()
		}
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(conn, method, path, strings.NewReader(body))
		server.Handler.ServeHTTP(w, r)
		a.links.pauses.await(node.addr)
		answered <- w
	}()
	select {
	case w := <-answered:
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.crashed[node] {
			return w.Code, w.Body.String(), w.Header().Get("Location")
		}
	case <-ctx.Done():
	}
	return 0, "", ""
}

// injectFault causes a fault of the given kind, and waits until it is over.
func (a *applications) injectFault(fault int) {
	addr := a.seeds[a.random(len(a.seeds))]
	switch fault {
	case 0: // a process is paused
		span := []time.Duration{1, 2, 5}[a.random(3)] * time.Second
		a.mu.Lock()
		a.pausing[addr] = time.Now().Add(span)
		a.mu.Unlock()
		advance(span)
	case 1: // a node loses power
		a.start(addr, a.crashNode(addr), false)
	case 2: // all nodes lose power
		disks := map[string]*vfs.MemFS{}
		for _, seed := range a.seeds {
			disks[seed] = a.crashNode(seed)
		}
		advance(time.Duration(a.random(1000)) * time.Millisecond)
		for _, seed := range a.seeds {
			a.start(seed, disks[seed], false)
		}
	case 3, 4: // links fail in one or both directions
		other := a.seeds[a.random(len(a.seeds))]
		a.links.setSevered(func(from, to string) bool {
			return from == addr && (fault == 3 || to == other) || fault == 3 && to == addr && a.random(2) == 0
		}, a.seeds)
		advance(time.Duration(1+a.random(4)) * time.Second)
		a.links.setSevered(func(string, string) bool { return false }, a.seeds)
	case 5: // a disk is lost; 6 s later the node has recovered, so that another disk may be lost
		a.crashNode(addr)
		a.start(addr, newDisk(), false)
		advance(6 * time.Second)
	case 6: // a disk stalls
		a.nodes[addr].stallingDisk.setStalled(true)
		advance(time.Duration(1+a.random(3)) * time.Second)
		a.nodes[addr].stallingDisk.setStalled(false)
	case 7: // a node restarts several times, while calls of its former processes are still pending at other nodes
		for range 3 {
			a.start(addr, a.crashNode(addr), false)
			advance(time.Duration(300+a.random(1200)) * time.Millisecond)
		}
	}
	advance(time.Duration(500+a.random(2500)) * time.Millisecond)
}

// crashNode crashes a node. Answers that it still gives are discarded. It returns the node's disk.
func (a *applications) crashNode(addr string) *vfs.MemFS {
	a.mu.Lock()
	a.crashed[a.nodes[addr]] = true
	a.mu.Unlock()
	return a.crash(addr)
}

// shardStates describes the state of the shards and the electorate at each node, for failure messages.
func (a *applications) shardStates() (states []string) {
	for _, addr := range a.seeds {
		for _, status := range a.nodes[addr].shards.Status() {
			states = append(states, fmt.Sprintf("%s %+v", addr, status))
		}
		voter, electorate := a.nodes[addr].replica.AsVoter(), a.nodes[addr].electorateVoters()
		states = append(states, fmt.Sprint(addr, " ", voter, electorate))
	}
	return states
}

// electorateVoters returns the voters of the electorate in the node's configuration.
func (n *testNode) electorateVoters() []consensus.Voter {
	base, _ := n.replica.Base()
	return base.Electorate.Voters
}

// finalAnswers checks that each node answers once all faults are over, and returns the failures.
func (a *applications) finalAnswers() (wrong []string) {
	for _, addr := range a.seeds {
		for _, path := range []string{"/numbers/n0", "/numbers/n1", "/numbers/n2"} {
			if status, text := a.call(addr, "POST", path, "{}"); status != 200 {
				wrong = append(wrong, fmt.Sprint("at the end, ", path, " at ", addr, ": ", status, " ", text))
			}
		}
	}
	if len(wrong) > 0 {
		wrong = append(wrong, a.shardStates()...)
	}
	return wrong
}

// runApplications runs the workload of a seed with a number of faults. It returns the failures, and the number of
// answers of each outcome.
func runApplications(t *testing.T, seed uint64, faults int) (wrong []string, counts map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		a := newApplications(t, seed)
		advance(3 * time.Second)
		var running sync.WaitGroup
		stop := make(chan struct{})
		for app := range appCount {
			running.Go(func() { a.workload.Run(app, stop) })
		}
		for range watcherCount {
			running.Go(func() { a.workload.RunWatcher(stop) })
		}
		for range faults {
			a.injectFault(a.random(faultKinds))
		}
		advance(6 * time.Second)
		close(stop)
		running.Wait()
		wrong = a.finalAnswers()
		a.workload.Resume()
		wrong = append(wrong, a.workload.Check()...)
		counts = a.workload.Outcomes()
		a.stopAll()
	})
	return wrong, counts
}

// coordinationSeeds returns the number of seeds that TestCoordinationHistories runs; fewer under the race detector.
func coordinationSeeds() uint64 {
	if race.Enabled {
		return 2
	}
	return 8
}

// Checks the applications' histories under random faults: a lock has one holder at a time; fences, numbers and
// revisions increase; cells are linearizable; and watches skip no event.
func TestCoordinationHistories(t *testing.T) {
	// With the first of these seeds, a shard once stopped committing at revision 128 of a group. The workload has
	// changed since then, and TestRevisionsBeyondOneByte reproduces that failure by itself.
	seeds := []uint64{1053, 1055, 1056, 1058, 1060}
	for seed := range coordinationSeeds() {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			wrong, counts := runApplications(t, seed, 12)
			for _, w := range wrong {
				t.Error(w)
			}
			t.Log(counts)
		})
	}
}
