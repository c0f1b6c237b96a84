package faulttest

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/fakes"
)

// Options are the settings of a run.
type Options struct {
	Program  string    // path of the built program
	Dir      string    // folder for files and logs; if it is empty, a temporary folder is used and removed
	Progress io.Writer // lines of text; nil: none
	Events   io.Writer // lines of JSON about actions and their results; nil: none
	Slack    float64   // factor on the time limits of expectations, for slow machines; 0: 1
}

const (
	maxJoinTime      = 60 * time.Second      // for all ingresses to receive the complete membership after the start
	joinPollInterval = 50 * time.Millisecond // between two checks whether they have received it

	pollInterval    = 200 * time.Millisecond // between two polls of a member
	pollPerNode     = 10 * time.Millisecond  // minimum poll interval for each member in the fleet; limits the load
	idlePoll        = 5 * time.Second        // poll interval of an idle scenario
	observeInterval = pollInterval / 2       // shorter than pollInterval, so that each polled view is observed
)

// player runs a scenario.
type player struct {
	options   Options
	env       *environment
	log       *eventLog
	startedAt time.Time // when all ingresses had received the complete membership
	undoing   sync.WaitGroup
	requests  *requestCounts

	// Set by finishBilling: the batches that billing accepted under fencing tokens, and how many it rejected.
	acceptedBatches []fakes.AcceptedBatch
	rejectedBatches int

	mu             sync.Mutex // guards the fields below while background goroutines run
	report         *Report
	observations   []observation
	tenures        []tenure
	revision       uint64 // number of the newest catalogue revision that was written
	catalogueViews []catalogueView
	warnings       []warning
}

// Play runs a scenario. All that it starts has ended when it returns, also if the context ends first. The report states
// whether the expectations were satisfied; an error means that the scenario could not be run to its end.
func Play(ctx context.Context, scenario *Scenario, options Options) (*Report, error) {
	options.Slack = cmp.Or(options.Slack, 1)
	dir, remove, err := makeDir(options.Dir)
	defer remove()
	if err != nil {
		return nil, err
	}
	options.Dir = dir
	env, err := newEnvironment(scenario, options.Program, dir)
	defer env.close()
	if err != nil {
		return nil, err
	}
	p := &player{
		options:  options,
		env:      env,
		log:      &eventLog{progress: options.Progress, events: options.Events},
		requests: &requestCounts{},
		report:   &Report{Scenario: scenario},
		revision: firstRevision,
	}
	return p.report, p.run(ctx)
}

// makeDir makes the folder for files and logs and returns its absolute path. An empty name means a temporary
// folder, which remove deletes.
func makeDir(name string) (dir string, remove func(), err error) {
	remove = func() {}
	if name == "" {
		if name, err = os.MkdirTemp("", "faulttest-"); err != nil {
			return "", remove, wrapSetup(err)
		}
		remove = func() { os.RemoveAll(name) }
	} else if err = os.MkdirAll(name, 0o755); err != nil {
		return "", remove, wrapSetup(err)
	}
	dir, err = filepath.Abs(name)
	return dir, remove, wrapSetup(err)
}

// run starts the ingresses, carries out the steps and evaluates the expectations.
func (p *player) run(ctx context.Context) error {
	if err := p.startIngresses(); err != nil {
		return err
	}
	p.log.add(eventStarted, fmt.Sprintf("%d ingresses run", len(p.env.nodes)))
	if err := p.runSteps(ctx); err != nil {
		return err
	}
	p.report.Sent, p.report.Served = p.requests.sent, p.requests.served
	if p.env.scenario.Voters > 0 {
		p.reportProblem(p.finishBilling(ctx))
	}
	for _, expectation := range p.env.scenario.Expectations {
		finding := p.evaluate(expectation)
		p.report.Findings = append(p.report.Findings, finding)
		what := fmt.Sprintf("%s %s: %s", expectation.Kind, expectation.Value, finding.Text)
		p.log.add(eventExpected, what, expectation.Members...)
	}
	return nil
}

// startIngresses starts all processes concurrently, and returns the first error in the order of the members.
func (p *player) startIngresses() error {
	var starting sync.WaitGroup
	errs := make([]error, len(p.env.nodes))
	for i, n := range p.env.nodes {
		starting.Go(func() {
			process, err := p.env.launch(i, false)
			if err != nil {
				errs[i] = err
				return
			}
			n.setProcess(process)
		})
	}
	starting.Wait()
	return cmp.Or(errs...)
}

// runSteps awaits the complete membership and carries out the steps, while members are polled and clients send
// requests. The goroutines that poll and send have ended when it returns.
func (p *player) runSteps(ctx context.Context) error {
	background, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	p.startPolling(background, &running)
	if err := p.awaitComplete(ctx); err != nil {
		return err
	}
	p.startObserving(background, &running)
	if !p.env.scenario.Idle {
		p.requests = p.env.startClients(background, &running)
		p.env.startCustomers(background, &running)
	}
	before := p.sampleUsage()
	err := p.carryOutSteps(ctx)
	p.computeCost(before)
	for _, n := range p.env.nodes {
		n.poll()
	}
	return err
}

// startPolling starts to poll each member's view. It polls until the context ends.
func (p *player) startPolling(ctx context.Context, running *sync.WaitGroup) {
	interval := max(pollInterval, time.Duration(len(p.env.nodes))*pollPerNode)
	if p.env.scenario.Idle {
		interval = idlePoll
	}
	for _, n := range p.env.nodes {
		running.Go(func() { every(ctx, interval, n.poll) })
	}
}

// startObserving starts to record what the members report about the features that the scenario uses. It records until
// the context ends.
func (p *player) startObserving(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { every(ctx, observeInterval, p.observe) })
	if p.env.scenario.Voters > 0 {
		running.Go(func() { every(ctx, observeInterval, p.observeTenure) })
	}
	if p.env.scenario.Catalogue {
		running.Go(func() { every(ctx, pollInterval, p.observeCatalogue) })
	}
	if p.env.scenario.ShareQuotas {
		running.Go(func() { every(ctx, pollInterval, p.observeWarnings) })
	}
}

// every calls a function repeatedly until the context ends, with an interval between the end of a call and the next.
func every(ctx context.Context, interval time.Duration, call func()) {
	for {
		call()
		if !sleep(ctx, interval) {
			return
		}
	}
}

// awaitComplete waits until all ingresses have received the complete membership. That moment is the scenario's start.
func (p *player) awaitComplete(ctx context.Context) error {
	launchedAt := time.Now()
	limit := p.withSlack(maxJoinTime)
	for !p.isComplete() {
		if time.Since(launchedAt) > limit {
			return fmt.Errorf("%w within %v: %s", ErrNotComplete, limit, p.describeMembership())
		}
		if !sleep(ctx, joinPollInterval) {
			return ctx.Err()
		}
	}
	p.report.JoinTime = time.Since(launchedAt)
	p.startedAt = time.Now()
	p.log.startedAt = p.startedAt
	seconds := p.report.JoinTime.Seconds()
	p.log.add(eventComplete, fmt.Sprintf("membership complete, %.1f s after the last start", seconds))
	return nil
}

// isComplete reports whether every ingress reports that all ingresses are members and can be reached.
func (p *player) isComplete() bool {
	for _, n := range p.env.nodes {
		report := n.report()
		if report == nil || report.Reachability != reachabilityComplete || report.Agreed != len(p.env.nodes) {
			return false
		}
	}
	return true
}

// describeMembership returns what each ingress last reported about the membership.
func (p *player) describeMembership() string {
	descriptions := make([]string, len(p.env.nodes))
	for i, n := range p.env.nodes {
		descriptions[i] = n.name + ": no report"
		if report := n.report(); report != nil {
			descriptions[i] = fmt.Sprintf("%s: %s, %d of %d members alive, %d pauses",
				n.name, report.Reachability, report.Alive, report.Agreed, report.Pauses)
		}
	}
	return strings.Join(descriptions, "; ")
}

// carryOutSteps carries out the steps at their times, and returns at the scenario's end, once all steps with a
// duration have been undone.
func (p *player) carryOutSteps(ctx context.Context) error {
	defer p.undoing.Wait()
	for _, step := range p.env.scenario.Steps {
		if err := p.sleepUntil(ctx, step.At); err != nil {
			return err
		}
		undo, err := p.carryOut(step)
		if err != nil {
			return err
		}
		if undo != nil && step.Duration != 0 {
			p.undoing.Go(func() { p.undoAfter(ctx, step, undo) })
		}
	}
	return p.sleepUntil(ctx, p.env.scenario.Duration)
}

func (p *player) undoAfter(ctx context.Context, step Step, undo func()) {
	if p.sleepUntil(ctx, step.At+step.Duration) != nil {
		return
	}
	p.log.add(eventUndone, string(step.Action)+" is undone", step.Members...)
	undo()
}

// sleepUntil waits for a time after the scenario's start. It returns the context's error if that ends first.
func (p *player) sleepUntil(ctx context.Context, at time.Duration) error {
	if !sleep(ctx, time.Until(p.startedAt.Add(at))) {
		return ctx.Err()
	}
	return nil
}

// withSlack returns a time limit multiplied by Options.Slack, for slow machines.
func (p *player) withSlack(limit time.Duration) time.Duration {
	return time.Duration(float64(limit) * p.options.Slack)
}

// reportProblem adds an error of the fault test itself to the report; nil is ignored.
func (p *player) reportProblem(err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Problems = append(p.report.Problems, err.Error())
}

// nodesOf returns the members with these names.
func (p *player) nodesOf(names []string) (nodes []*node) {
	for _, n := range p.env.nodes {
		if slices.Contains(names, n.name) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}
