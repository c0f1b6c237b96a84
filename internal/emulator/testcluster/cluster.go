package testcluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/counterserver"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/plans"
)

// cluster is the state of one run.
type cluster struct {
	Options
	rng           *rand.Rand
	loadStartedAt time.Time // when the load started; zero: it has not started
	removeDir     bool      // Dir is temporary, and close removes it

	directory   *fakes.Discovery
	billing     *fakes.Billing
	quotes      []*fakes.QuoteServer
	counter     *counterserver.Server
	listener    net.Listener  // listener of the counter
	counterDone chan struct{} // closed when the counter no longer serves

	revisions []plans.Revision
	changedAt atomic.Pointer[time.Time] // when the change of plans takes effect; nil: there is none

	exporters []*Process
	mu        sync.Mutex // guards the elements of ingresses, which the load reads while events replace them
	ingresses []*Process

	load       *load
	loadDone   chan struct{} // closed when the load has ended; nil: it has not started
	cancelLoad context.CancelFunc
}

// Run runs a cluster from start to end and reports what was served and billed. Its errors are ErrInvalidOptions, an
// ExitError or a NotReadyError if a process does not start, and the error of the context, among others.
func Run(ctx context.Context, o Options) (report *Report, err error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	c := &cluster{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	defer func() { err = errors.Join(err, c.close()) }()
	if err := c.start(); err != nil {
		return nil, err
	}
	c.startLoad(ctx)
	if err := c.runEvents(ctx); err != nil {
		return nil, err
	}
	<-c.loadDone
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return c.finish(ctx)
}

// startLoad starts the load, that is, the members' requests. close stops the load and waits until it has ended.
func (c *cluster) startLoad(ctx context.Context) {
	ctx, c.cancelLoad = context.WithCancel(ctx)
	c.loadDone = make(chan struct{})
	c.loadStartedAt = time.Now()
	c.load = newLoad(c)
	go func() {
		defer close(c.loadDone)
		c.load.run(ctx)
	}()
}

// end returns when the load ends.
func (c *cluster) end() time.Time {
	return c.loadStartedAt.Add(time.Duration(c.Seconds * float64(time.Second)))
}

// progress prints an event with the time since the load started.
func (c *cluster) progress(format string, args ...any) {
	if c.Progress == nil {
		return
	}
	fmt.Fprintf(c.Progress, "%5.1f s  %s\n", time.Since(c.loadStartedAt).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the fakes and the processes.
func (c *cluster) start() error {
	for _, step := range []func() error{
		c.createDir,
		c.startFakes,
		c.startQuotes,
		c.startCounter,
		c.saveFirstRevision,
		c.startProcesses,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) createDir() (err error) {
	if c.Dir != "" {
		return nil
	}
	if c.Dir, err = os.MkdirTemp("", "mulleinrouter-"); err != nil {
		return fmt.Errorf("testcluster: %w", err)
	}
	c.removeDir = true
	return nil
}

func (c *cluster) startFakes() error {
	c.directory, c.billing = &fakes.Discovery{}, &fakes.Billing{}
	return errors.Join(c.directory.Start(), c.billing.Start())
}

// The quote servers. The last one is of another model, which needs twice the time per request and has half the
// capacity.
const (
	quoteServers = 3                    // number of quote servers
	quoteWork    = 2 * time.Millisecond // service time of a request, except at the last quote server
)

func (c *cluster) startQuotes() error {
	for i := range quoteServers {
		q := &fakes.QuoteServer{Cores: 16, Queue: 64, ServiceTime: quoteWork, Salt: c.Seed + uint64(i)}
		model, capacity := "a", 1.0
		if i == quoteServers-1 {
			q.ServiceTime, model, capacity = 2*quoteWork, "b", 0.5
		}
		if err := q.Start(); err != nil {
			return err
		}
		if c.Faults {
			q.SetFaults(&fakes.Faults{Error: 0.002, Reject: 0.01, Cut: 0.002, Malformed: 0.001})
		}
		c.quotes = append(c.quotes, q)
		c.directory.Update(discovery.Target{
			UID:      fmt.Sprint("quotes-", i+1),
			Endpoint: q.Addr(),
			Zone:     "a",
			Model:    model,
			State:    "active",
			Capacity: capacity,
		})
	}
	return nil
}

func (c *cluster) startCounter() (err error) {
	if c.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("testcluster: counter: %w", err)
	}
	c.counter = counterserver.New(2)
	c.counterDone = make(chan struct{})
	go func() {
		defer close(c.counterDone)
		c.counter.Serve(c.listener) // returns when close closes the listener
	}()
	return nil
}

// bookablePerMember is the total rate that can be booked, in units per second for each member.
const bookablePerMember = 10

func (c *cluster) saveFirstRevision() error {
	first := plans.Revision{
		Number:       1,
		Authority:    plans.AuthorityCatalogue,
		BookableRate: bookablePerMember * float64(c.Members),
		Plans:        []decision.Plan{basic, plus},
		Members:      map[string]string{},
	}
	for i := range c.Members {
		first.Members[memberName(i)] = firstPlan(i).Name
	}
	c.revisions = []plans.Revision{first}
	return catalogue.Save(c.cataloguePath(), c.revisions)
}

// finish terminates the ingresses as a planned restart does, exports the remaining usage records, and compares the bill
// with what arrived.
func (c *cluster) finish(ctx context.Context) (*Report, error) {
	for _, p := range c.ingresses {
		if err := p.Quit(); err != nil {
			return nil, err
		}
	}
	for _, p := range c.exporters {
		p.Kill()
	}
	e := c.evaluate()
	for i := range c.Ingresses {
		out, err := c.runUsage(ctx, "export", c.usagePath(i), "--to", c.billing.URL())
		if err != nil {
			return nil, fmt.Errorf("testcluster: the last export of ingress %d: %w: %s", i, err, out)
		}
		if out, err := c.runUsage(ctx, "verify", c.usagePath(i)); err != nil {
			e.problem("ingress %d: usage verify: %v: %s", i, err, out)
		}
	}
	e.checkBill()
	return e.report, nil
}

// runUsage runs a subcommand of usage and returns its output.
func (c *cluster) runUsage(ctx context.Context, args ...string) ([]byte, error) {
	return exec.CommandContext(ctx, c.Program, append([]string{"usage"}, args...)...).CombinedOutput()
}

// close ends everything that has been started. It kills processes, because the report no longer depends on them.
func (c *cluster) close() error {
	for _, p := range c.ingresses {
		p.Kill()
	}
	for _, p := range c.exporters {
		p.Kill()
	}
	if c.loadDone != nil {
		c.cancelLoad()
		<-c.loadDone
	}
	for _, q := range c.quotes {
		q.Stop()
	}
	if c.listener != nil {
		c.listener.Close()
		c.counter.Close()
		<-c.counterDone
	}
	if c.directory != nil {
		c.directory.Stop()
		c.billing.Stop()
	}
	if c.removeDir {
		return os.RemoveAll(c.Dir)
	}
	return nil
}

func (c *cluster) cataloguePath() string { return filepath.Join(c.Dir, "plans.hcl") }

func (c *cluster) usagePath(i int) string { return filepath.Join(c.Dir, fmt.Sprint("usage-", i)) }
