package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"mulleinrouter/internal/emulator/testcluster"
)

// TryCommand is what a newcomer runs first: ingresses and fakes on this machine.
type TryCommand struct {
	Seconds   float64 `name:"seconds" default:"8" help:"For how long requests are sent."`
	Members   int     `name:"members" default:"40" help:"Members, half on either plan."`
	Ingresses int     `name:"ingresses" default:"3" help:"Ingresses, each a process."`
	Load      float64 `name:"load" default:"0.9" help:"What members ask for, in times their quotas."`
	Kill      bool    `name:"kill" help:"Kill an ingress in the middle, and start it again."`
	Crashes   int     `name:"crashes" help:"So many times an exporter is killed."`
	Faults    bool    `name:"faults" help:"Quote servers and billing do wrong now and then."`
	Lease     bool    `name:"duty" help:"${tryLease}"`
	Seed      uint64  `name:"seed" default:"1" help:"For random numbers."`
	Dir       string  `name:"dir" type:"path" help:"${tryDir}"`
}

// leaseScenario is the fault test of the flag --duty.
const leaseScenario = "try-holder"

// Run runs the ingresses, and prints what was served and billed.
func (t *TryCommand) Run(p *Program) error {
	if t.Lease {
		return (&FaultTestCommand{File: leaseScenario, Dir: t.Dir, Slack: 1, Repeat: 1}).Run(p)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if t.Dir != "" {
		if err := os.MkdirAll(t.Dir, 0o755); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Fprintf(p.out, "%d ingresses, 3 stand-in quote servers, discovery, a counter and billing on loopback; "+
		"%d members for %g s\n", t.Ingresses, t.Members, t.Seconds)
	report, err := testcluster.Run(ctx, testcluster.Options{
		Program:   program,
		Dir:       t.Dir,
		Ingresses: t.Ingresses,
		Members:   t.Members,
		Seconds:   t.Seconds,
		Load:      t.Load,
		Changes:   true,
		Kill:      t.Kill,
		Crashes:   t.Crashes,
		Faults:    t.Faults,
		Seed:      t.Seed,
		Progress:  p.out,
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(p.out)
	report.Write(p.out)
	if !report.Passed() {
		return errRunNotAsPlanned
	}
	return nil
}
