// Package testcluster runs several ingresses as processes on loopback among stand-ins, sends them the requests of many
// members, changes plans, books allowance, kills what it is told to kill, and compares what was billed with what the
// stand-in quote servers counted.
package testcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/counterserver"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/plans"
)

// Options say what a run is made of.
type Options struct {
	Program   string  // the ingress's, and the exporter's
	Dir       string  // for files; empty: a temporary one that is removed
	Ingresses int     // 3 for the most part
	Members   int     // half on either plan
	Seconds   float64 // of load
	Load      float64 // asked by the members, in times their quotas, on average
	Changes   bool    // plans change and allowance is booked in the middle
	Kill      bool    // an ingress is killed and started again
	Crashes   int     // of exporters
	Faults    bool    // quote servers and billing do wrong now and then
	Seed      uint64
	Progress  io.Writer // nil: none
}

// The plans of a run. With three ingresses and requests of at most two units, slices of either hold some requests
// each cycle.
var (
	basic = decision.Plan{Name: "basic", Rate: 10, Burst: 20, ValueWeight: 1, ExcessCost: 0.5}
	plus  = decision.Plan{Name: "plus", Rate: 30, Burst: 60, ValueWeight: 2, ExcessValue: 0.3,
		LimitRate: 45, LimitBurst: 90, LimitSlack: 9}
)

const (
	mostUnits   = 2
	announced   = 1.5 // s: how long before it holds a change is told
	clientMost  = 3 * time.Second
	rotateEvery = "1s"
)

// Run is one run in the making.
type Run struct {
	Options
	rng       *rand.Rand
	quotes    []*fakes.QuoteServer
	directory *fakes.Discovery
	counter   *counterserver.Server
	listener  net.Listener
	billing   *fakes.Billing
	revisions []plans.Revision
	nodes     []*Process
	exporters []*Process
	begun     time.Time
	load      *load
	events    []string
	remove    bool
	changed   atomic.Pointer[time.Time] // when the change of plans holds; nil: there is none
}

// Play makes a run from beginning to end.
func Play(ctx context.Context, o Options) (report *Report, err error) {
	r := &Run{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	if r.Ingresses < 1 || r.Members < 2 || r.Seconds <= 0 || r.Load <= 0 {
		return nil, errors.New("rig: one ingress, two members, some seconds and some load at least")
	}
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.begun = time.Now()
	r.load = newLoad(r)
	loading := make(chan struct{})
	go func() {
		r.load.run(ctx)
		close(loading)
	}()
	if err := r.happen(ctx); err != nil {
		return nil, err
	}
	<-loading
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

func (r *Run) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !r.begun.IsZero() {
		text = fmt.Sprintf("%5.1f s  %s", time.Since(r.begun).Seconds(), text)
	}
	r.events = append(r.events, text)
	if r.Progress != nil {
		fmt.Fprintln(r.Progress, text)
	}
}

// member is the name of a member by number.
func member(i int) string { return fmt.Sprintf("%016x", 0x1000+i) }

// start has the stand-ins and the processes up.
func (r *Run) start() (err error) {
	if r.Dir == "" {
		if r.Dir, err = os.MkdirTemp("", "mulleinrouter-"); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		r.remove = true
	}
	r.directory, r.billing = &fakes.Discovery{}, &fakes.Billing{}
	if err := errors.Join(r.directory.Start(), r.billing.Start()); err != nil {
		return err
	}
	for i := range 3 {
		q := &fakes.QuoteServer{Cores: 16, Queue: 64, ServiceTime: 2 * time.Millisecond, Salt: r.Seed + uint64(i)}
		kind, size := "a", 1.0
		if i == 2 {
			q.ServiceTime, kind, size = 4*time.Millisecond, "b", 0.5
		}
		if err := q.Start(); err != nil {
			return err
		}
		if r.Faults {
			q.SetFaults(&fakes.Faults{Error: 0.002, Reject: 0.01, Cut: 0.002, Malformed: 0.001})
		}
		r.quotes = append(r.quotes, q)
		r.directory.Update(
			discovery.Target{
				UID:      fmt.Sprint("quotes-", i+1),
				Endpoint: q.Addr(),
				Zone:     "a",
				Model:    kind,
				State:    "active",
				Capacity: size,
			},
		)
	}
	if r.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("rig: counter: %w", err)
	}
	r.counter = counterserver.New(2)
	go r.counter.Serve(r.listener)

	first := plans.Revision{
		Number:       1,
		Authority:    plans.AuthorityCatalogue,
		BookableRate: 10 * float64(r.Members),
		Plans:        []decision.Plan{basic, plus},
		Members:      map[string]string{},
	}
	for i := range r.Members {
		first.Members[member(i)] = []string{"basic", "plus"}[i%2]
	}
	r.revisions = []plans.Revision{first}
	if err := catalogue.Save(r.catalogue(), r.revisions); err != nil {
		return err
	}
	for i := range r.Ingresses {
		n, err := r.ingress(i)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		e, err := r.exporter(i)
		if err != nil {
			return err
		}
		r.exporters = append(r.exporters, e)
	}
	return nil
}

func (r *Run) catalogue() string { return filepath.Join(r.Dir, "plans.hcl") }

func (r *Run) usage(i int) string { return filepath.Join(r.Dir, fmt.Sprint("usage-", i)) }

// ingress starts one of the ingresses.
func (r *Run) ingress(i int) (*Process, error) {
	path := filepath.Join(r.Dir, fmt.Sprintf("ingress-%d.hcl", i))
	text := fmt.Sprintf(`
name      = "ingress-%d"
listen    = "127.0.0.1:0"
discovery = %q

fleet {
  ingresses = %d
  number    = %d
  zone      = "a"
}

counter {
  address = %q
}

rules {
  max_units = %d
}

class "quote-read" {
  aim        = "400ms"
  deadline   = "2s"
  worth      = 1
  late_worth = 0.2
  repeat     = "safe"
}

class "summary-send" {
  aim        = "800ms"
  deadline   = "2s"
  worth      = 3
  late_worth = 0.5
  repeat     = "never"
}

catalogue {
  file = "plans.hcl"
}

usage {
  dir    = "usage-%d"
  rotate = %q
}
`, i, r.directory.Addr(), r.Ingresses, i, r.listener.Addr(), mostUnits, i, rotateEvery)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	return Launch(
		filepath.Join(r.Dir, fmt.Sprintf("ingress-%d.log", i)),
		"process-started",
		r.Program,
		"serve",
		"-c",
		path,
	)
}

// exporter starts the one of an ingress's use.
func (r *Run) exporter(i int) (*Process, error) {
	return Launch(filepath.Join(r.Dir, fmt.Sprintf("export-%d.log", i)), "usage-export-started",
		r.Program, "usage", "export", r.usage(i), "--to", r.billing.URL(), "--follow")
}

// happen lets happen what is to happen while the load is on.
func (r *Run) happen(ctx context.Context) error {
	type event struct {
		at float64 // of the run
		do func() error
	}
	var all []event
	if r.Changes {
		all = append(all, event{0.30, r.change}, event{0.40, r.addBooking})
	}
	if r.Kill {
		all = append(all, event{0.55, func() error { return r.kill(r.Ingresses - 1) }})
	}
	for n := range r.Crashes {
		all = append(all, event{0.25 + 0.5*float64(n)/float64(max(1, r.Crashes)), func() error { return r.crash(0) }})
	}
	slices.SortStableFunc(all, func(a, b event) int { return int(1000 * (a.at - b.at)) })
	for _, e := range all {
		wait := time.Until(r.begun.Add(time.Duration(e.at * r.Seconds * float64(time.Second))))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(max(0, wait)):
		}
		if err := e.do(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) revise(change func(*plans.Revision)) error {
	last := r.revisions[len(r.revisions)-1]
	next := last
	next.Number++
	next.EffectiveAt = math.Round((float64(time.Now().UnixMilli())/1000+announced)*1000) / 1000
	next.Members = map[string]string{}
	for m, p := range last.Members {
		next.Members[m] = p
	}
	next.Bookings = slices.Clone(last.Bookings)
	change(&next)
	if problems := next.Validate(); len(problems) > 0 {
		return fmt.Errorf("rig: revision %d: %w", next.Number, problems[0])
	}
	r.revisions = append(r.revisions, next)
	return catalogue.Save(r.catalogue(), r.revisions)
}

// change moves every fifth member to the other plan.
func (r *Run) change() error {
	up, down := 0, 0
	err := r.revise(func(next *plans.Revision) {
		for i := 0; i < r.Members; i += 5 {
			m := member(i)
			if next.Members[m] == "basic" {
				next.Members[m] = "plus"
				up++
			} else {
				next.Members[m] = "basic"
				down++
			}
		}
	})
	holds := time.Now().Add(time.Duration(announced * float64(time.Second)))
	r.changed.Store(&holds)
	r.say("revision 2 announced: %d members go to plus, %d to basic, in %.1f s", up, down, announced)
	return err
}

// book books allowance for some members of the plan basic, for a fifth of the run.
func (r *Run) addBooking() error {
	n := 0
	err := r.revise(func(next *plans.Revision) {
		for i := 2; i < r.Members; i += 20 { // on basic, and stays
			from := next.EffectiveAt + 0.05*r.Seconds
			to := from + 0.2*r.Seconds
			next.Bookings = append(
				next.Bookings,
				plans.Booking{ID: fmt.Sprint("results-", i), Member: member(i), From: from, To: to,
					Units: math.Floor(basic.Rate * (to - from))},
			)
			n++
		}
	})
	r.say("revision 3 announced: %d members have booked as much again for %.0f s", n, 0.2*r.Seconds)
	return err
}

// kill ends an ingress at once, with tries out, and starts it again a second later.
func (r *Run) kill(i int) error {
	r.nodes[i].Kill()
	r.say("ingress %d killed", i)
	time.Sleep(time.Second)
	n, err := r.ingress(i)
	if err != nil {
		return err
	}
	r.load.mu.Lock()
	r.nodes[i] = n
	r.load.mu.Unlock()
	r.say("ingress %d is back", i)
	return nil
}

// crash has billing take a batch and lose its answer, then kills the exporter that waits for another, and starts it
// again.
func (r *Run) crash(i int) error {
	if r.Faults {
		r.billing.InjectFaults(fakes.LoseReply, fakes.FailCall)
	}
	time.Sleep(time.Duration(r.rng.Float64() * float64(time.Second)))
	r.exporters[i].Kill()
	r.say("exporter %d killed", i)
	e, err := r.exporter(i)
	r.exporters[i] = e
	return err
}

// finish ends all processes as a planned restart does, has the rest exported, and compares.
func (r *Run) finish(ctx context.Context) (*Report, error) {
	for _, n := range r.nodes {
		if err := n.Quit(); err != nil {
			return nil, err
		}
	}
	for _, e := range r.exporters {
		e.Kill()
	}
	report := r.compare()
	for i := range r.Ingresses {
		out, err := exec.CommandContext(
			ctx,
			r.Program,
			"usage",
			"export",
			r.usage(i),
			"--to",
			r.billing.URL(),
		).CombinedOutput()
		if err != nil {
			return nil, fmt.Errorf("rig: the last export of ingress %d: %w: %s", i, err, out)
		}
		out, err = exec.CommandContext(ctx, r.Program, "usage", "verify", r.usage(i)).CombinedOutput()
		if err != nil {
			report.Problems = append(report.Problems, fmt.Sprintf("ingress %d: usage verify: %v: %s", i, err, out))
		}
	}
	r.bill(report)
	return report, nil
}

// close ends all that is up. What a report needs has been taken by then.
func (r *Run) close() error {
	for _, p := range append(r.nodes, r.exporters...) {
		p.Kill()
	}
	for _, q := range r.quotes {
		q.Stop()
	}
	if r.listener != nil {
		r.listener.Close()
		r.counter.Close()
	}
	if r.directory != nil {
		r.directory.Stop()
		r.billing.Stop()
	}
	if r.remove {
		return os.RemoveAll(r.Dir)
	}
	return nil
}
