package faulttest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/emulator/testcluster"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/jsontext"
)

// Options say how to play.
type Options struct {
	Program  string
	Dir      string    // for files and logs; empty: a temporary one that is removed
	Progress io.Writer // nil: none
	Events   io.Writer // JSON lines of what was done and what was seen; nil: none
	Slack    float64   // times the limits of what is expected, for slow machines; 0: 1
}

const (
	maxJoinTime  = 60 * time.Second // for all ingresses to hear the whole fleet at first
	pollInterval = 200 * time.Millisecond

	idleInterval = 5 * time.Second
)

// player is a rehearsal as it plays.
type player struct {
	Options
	env             *environment
	startedAt       time.Time
	mu              sync.Mutex
	report          *Report
	undoing         sync.WaitGroup
	requests        *requestCounts
	observationsMu  sync.Mutex // guards marks while the scenario is played
	observations    []observation
	tenures         []tenure
	revision        uint64 // of the newest revision that was written
	catalogueViews  []catalogueView
	warnings        []warning
	takenBatches    []fakes.AcceptedBatch
	rejectedBatches int
}

type event struct {
	At   float64  `json:"at"` // s
	Kind string   `json:"kind"`
	What string   `json:"what"`
	Of   []string `json:"of,omitempty"`
}

func (p *player) logEvent(kind, what string, of ...string) {
	at := 0.0
	if !p.startedAt.IsZero() {
		at = time.Since(p.startedAt).Seconds()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Progress != nil {
		fmt.Fprintf(p.Progress, "%6.1f s  %s %s\n", at, what, formatMembers(of))
	}
	if p.Events != nil {
		jsontext.NewEncoder(p.Events).Encode(event{at, kind, what, of})
	}
}

func formatMembers(of []string) string {
	if len(of) > 6 {
		return fmt.Sprintf("%s ... %s (%d)", of[0], of[len(of)-1], len(of))
	}
	return fmt.Sprint(of)
}

func (p *player) reportProblem(err error) {
	if err != nil {
		p.mu.Lock()
		p.report.Problems = append(p.report.Problems, err.Error())
		p.mu.Unlock()
	}
}

// Play plays a timeline. All that it starts has ended when it returns, also where the context ends first.
func Play(ctx context.Context, t *Scenario, o Options) (*Report, error) {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "rehearsal-")
		if err != nil {
			return nil, fmt.Errorf("rehearsal: %w", err)
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	} else if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	o.Slack = cmp.Or(o.Slack, 1)
	dir, err := filepath.Abs(o.Dir)
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	w, err := newEnvironment(t, o.Program, dir)
	defer w.close()
	if err != nil {
		return nil, err
	}
	p := &player{Options: o, env: w, report: &Report{Timeline: t}}
	return p.report, p.play(ctx)
}

func (p *player) play(ctx context.Context) error {
	var starting sync.WaitGroup
	failed := make(chan error, len(p.env.nodes))
	for i, n := range p.env.nodes {
		starting.Add(1)
		go func() {
			defer starting.Done()
			process, err := p.env.launch(i, false)
			if err != nil {
				failed <- err
				return
			}
			n.setProcess(process)
		}()
	}
	starting.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	p.logEvent("begun", fmt.Sprintf("%d ingresses run", len(p.env.nodes)))
	stop := make(chan struct{})
	var looking sync.WaitGroup
	every := max(pollInterval, time.Duration(len(p.env.nodes))*10*time.Millisecond)
	if p.env.scenario.Idle {
		every = idleInterval
	}
	for _, n := range p.env.nodes {
		looking.Add(1)
		go func() {
			defer looking.Done()
			for {
				n.poll()
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
			}
		}()
	}
	defer looking.Wait()
	begun := time.Now()
	for !p.awaitComplete() {
		if time.Since(begun) > time.Duration(float64(maxJoinTime)*p.Slack) {
			close(stop)
			return errors.New("rehearsal: the ingresses do not hear the whole fleet")
		}
		select {
		case <-ctx.Done():
			close(stop)
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	p.report.JoinTime = time.Since(begun)
	p.startedAt = time.Now()
	p.logEvent("whole", fmt.Sprintf("all hear the whole fleet, %.1f s after the last start", p.report.JoinTime.Seconds()))
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		for {
			p.observe()
			select {
			case <-stop:
				return
			case <-time.After(pollInterval / 2):
			}
		}
	}()
	go p.watchRoles(stop)
	go p.watchCatalogue(stop)
	go p.watchShared(stop)
	load, out := &requestCounts{}, &sync.WaitGroup{}
	if !p.env.scenario.Idle {
		load, out = p.env.startClients(stop)
		p.env.startCustomers(stop, out)
	}
	p.requests = load
	before := p.sampleUsage()
	err := p.runSteps(ctx)
	if err == nil {
		err = p.sleepUntil(ctx, p.env.scenario.Duration)
	}
	p.undoing.Wait()
	p.computeCost(before)
	for _, n := range p.env.nodes {
		n.poll()
	}
	close(stop)
	out.Wait()
	<-watching
	if err != nil {
		return err
	}
	p.report.Sent, p.report.Served = load.sent, load.served
	if p.env.scenario.Voters > 0 {
		p.reportProblem(p.settleBilling(ctx))
	}
	for _, e := range p.env.scenario.Expectations {
		f := p.evaluate(e)
		p.report.Findings = append(p.report.Findings, f)
		p.logEvent("expected", fmt.Sprintf("%s %s: %s", e.Kind, e.Value, f.Text), e.Members...)
	}
	return nil
}

// whole tells whether every ingress says so.
func (p *player) awaitComplete() bool {
	for _, n := range p.env.nodes {
		if r := n.report(); r == nil || r.Reachability != "whole" || r.Agreed != len(p.env.nodes) {
			return false
		}
	}
	return true
}

func (p *player) sleepUntil(ctx context.Context, at time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(p.startedAt.Add(at))):
		return nil
	}
}

// usageSample is what a process has spent since its start.
type usageSample struct {
	process *testcluster.Process
	traffic gossip.Traffic
	cpu     time.Duration
}

func (p *player) sampleUsage() (all []usageSample) {
	for _, n := range p.env.nodes {
		r, process := n.report(), n.running()
		if r == nil || process == nil {
			continue
		}
		if cpu, err := process.CPU(); err == nil {
			all = append(all, usageSample{process, r.Traffic, cpu})
		}
	}
	return all
}

// computeCost is told of the processes that ran all the time.
func (p *player) computeCost(before []usageSample) {
	seconds, n, c := time.Since(p.startedAt).Seconds(), 0.0, Cost{}
	for _, a := range p.sampleUsage() {
		i := slices.IndexFunc(before, func(b usageSample) bool { return b.process == a.process })
		if i < 0 {
			continue
		}
		n++
		c.PacketsPerSecond += float64(a.traffic.PacketsOut-before[i].traffic.PacketsOut) / seconds
		c.BytesPerSecond += float64(a.traffic.BytesOut-before[i].traffic.BytesOut) / seconds
		c.CPU += (a.cpu - before[i].cpu).Seconds() / seconds
	}
	if n > 0 {
		p.report.Cost = Cost{c.PacketsPerSecond / n, c.BytesPerSecond / n, c.CPU / n}
	}
}
