package coordinationsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/histories"
)

const (
	startTime    = 4 * time.Second        // time from the start of the processes to the first fault
	recoveryTime = 15 * time.Second       // time after the last fault within which every node must answer again
	pollInterval = 200 * time.Millisecond // time between two calls to a node that does not answer yet
	appCount     = 8                      // number of applications
	watcherCount = 8                      // number of further applications that only watch
)

// Options configures a soak.
type Options struct {
	Program string        // path of the control program
	Dir     string        // parent of the processes' directories
	Seed    uint64        // seed of the faults and of the calls
	Nodes   int           // number of control nodes, at least 3
	Network int           // third byte of the loopback addresses; no other soak may use it at the same time
	Span    time.Duration // duration of the faults
	// LossesInTurn replaces the overlapping faults by losses of one node at a time, at the shortest times that the
	// operators' tolerance of one lost machine allows.
	LossesInTurn bool
}

// Report is the result of a soak.
type Report struct {
	Problems []string       // descriptions of all failed checks; empty if the soak succeeded
	Outcomes map[string]int // number of calls by kind and status
	Hangups  int            // number of incarnations that SIGHUP ended during their startup
	Logs     string         // logs of the processes, if there are problems
}

// soak is the state of one run.
type soak struct {
	options  Options
	seeds    []string // control addresses of the first three nodes, which all nodes contact to join
	workload *histories.Workload
	client   *http.Client
	faults   context.Context // done when the fault phase ends

	crashingAll   sync.Mutex // serializes crashAll
	configVersion int        // version of the item that changeConfiguration changes

	mu         sync.Mutex // guards the fields below
	nodes      []*node    // that are in the operators' list; copied on changes
	ended      []*node    // that ended for good
	rnd        *rand.Rand
	problems   []string
	diskLostAt time.Time
}

// Run runs one soak. It returns an error if the processes cannot be started.
func Run(o Options) (*Report, error) {
	s := &soak{
		options: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), diskLostAt: time.Now(),
		// Idle connections are kept open until the process at the other end has ended.
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: appCount, DisableCompression: true}},
	}
	defer s.client.CloseIdleConnections()
	s.workload = histories.NewWorkload(o.Seed, s.send)
	if err := s.startNodes(); err != nil {
		return nil, err
	}
	defer s.killAll()
	faults, end := context.WithTimeout(context.Background(), startTime+o.Span)
	defer end()
	s.faults = faults
	var running, series sync.WaitGroup
	stop := make(chan struct{})
	time.Sleep(startTime)
	for app := range appCount {
		running.Go(func() { s.workload.Run(app, stop) })
	}
	for range watcherCount {
		running.Go(func() { s.workload.RunWatcher(stop) })
	}
	if o.LossesInTurn {
		series.Go(s.injectLossesInTurn)
	} else {
		series.Go(s.injectProcessFaults)
		series.Go(s.injectProcessFaults)
		series.Go(s.injectLinkFaults)
	}
	series.Wait()
	s.requireAnswers()
	close(stop)
	running.Wait()
	s.workload.Resume()
	return s.result(), nil
}

// startNodes starts all processes on empty disks.
func (s *soak) startNodes() error {
	for i := range s.options.Nodes {
		n := s.newNode(i + 1)
		s.nodes = append(s.nodes, n)
		if i < 3 {
			s.seeds = append(s.seeds, n.controlAddr())
		}
	}
	for _, n := range s.nodes {
		if err := s.prepare(n, s.seeds, true); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			s.killAll()
			return err
		}
	}
	return nil
}

// newNode returns a node with the given last byte of its address. It has no directory yet.
func (s *soak) newNode(number int) *node {
	return &node{
		ip:      fmt.Sprintf("127.77.%d.%d", s.options.Network, number),
		dir:     filepath.Join(s.options.Dir, fmt.Sprint("node-", number)),
		program: s.options.Program,
	}
}

// prepare makes the directory and the files of a node.
func (s *soak) prepare(n *node, seeds []string, bootstrap bool) error {
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return err
	}
	s.setLinks(n)
	return n.writeSettings(seeds, bootstrap)
}

// allNodes returns the nodes that are in the operators' list. The caller must not change the slice.
func (s *soak) allNodes() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes
}

// anyNode returns a random node of those in the operators' list.
func (s *soak) anyNode() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[s.rnd.IntN(len(s.nodes))]
}

func (s *soak) killAll() {
	for _, n := range s.allNodes() {
		if n.done == nil {
			continue
		}
		n.lifecycle.Lock()
		n.kill()
		n.lifecycle.Unlock()
	}
}

// send sends a call to a random node. The status is 0 if there was no answer.
func (s *soak) send(method, path, body string, timeout time.Duration) (status int, text string) {
	return s.sendTo(s.anyNode(), method, path, body, timeout)
}

func (s *soak) sendTo(n *node, method, path, body string, timeout time.Duration) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	url := "http://" + n.controlAddr() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		s.report(err.Error())
		return 0, ""
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

// requireAnswers waits until each node answers calls for several shards, for at most recoveryTime in all. A node that
// does not is reported.
func (s *soak) requireAnswers() {
	deadline := time.Now().Add(recoveryTime)
	for _, n := range s.allNodes() {
		for number := range 6 {
			path := fmt.Sprint("/numbers/end-", number)
			status, text := 0, ""
			for status != http.StatusOK && time.Now().Before(deadline) {
				if status, text = s.sendTo(n, http.MethodPost, path, "{}", time.Second); status != http.StatusOK {
					time.Sleep(pollInterval)
				}
			}
			if status != http.StatusOK {
				s.report(fmt.Sprintf("at the end, %s at %s: %d %s", path, n.ip, status, text))
			}
		}
	}
}

// result checks the exits, the answers and the logs of the processes, and returns the report.
func (s *soak) result() *Report {
	all := slices.Concat(s.allNodes(), s.ended)
	for _, n := range all {
		for _, err := range n.unexpectedExitErrors() {
			s.report(err.Error())
		}
	}
	report := &Report{Problems: append(s.problems, s.workload.Check()...), Outcomes: s.workload.Outcomes()}
	for _, n := range all {
		report.Hangups += n.hangupCount()
		text := n.logText()
		for _, marker := range []string{"DATA RACE", "panic:"} {
			if at := strings.Index(text, marker); at >= 0 {
				report.Problems = append(report.Problems, n.ip+": "+text[at:min(len(text), at+3000)])
			}
		}
		if len(report.Problems) > 0 {
			report.Logs += "--- " + n.ip + "\n" + text
		}
	}
	return report
}

func (s *soak) running() bool { return s.faults.Err() == nil }

// sleep waits for a time, or until the fault phase ends.
func (s *soak) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.faults.Done():
	}
}

func (s *soak) random(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

func (s *soak) report(problem string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, problem)
}
