package cli

import (
	"context"
	"fmt"
	"os"

	"mulleinrouter/internal/emulator/testcluster"
)

// leaseScenario is the name of the fault test that the flag --duty runs.
const leaseScenario = "try-holder"

// tryIngressFlags are the flags of try --ingress.
type tryIngressFlags struct {
	Seconds   float64 `name:"seconds" default:"8" group:"With --ingress" help:"For how long requests are sent."`
	Members   int     `name:"members" default:"40" group:"With --ingress" help:"Members, half on either plan."`
	Ingresses int     `name:"ingresses" default:"3" group:"With --ingress" help:"Ingresses, each a process."`
	Kill      bool    `name:"kill" group:"With --ingress" help:"${tryKill}"`
	Crashes   int     `name:"crashes" group:"With --ingress" help:"How many times an exporter is killed."`
	Faults    bool    `name:"faults" group:"With --ingress" help:"${tryFaults}"`
	Lease     bool    `name:"duty" group:"With --ingress" help:"${tryLease}"`
}

// runLease runs the fault test in which the lease holder of a singleton role is killed.
func (t *TryCommand) runLease(p *Program) error {
	return (&FaultTestCommand{File: leaseScenario, Dir: t.Dir, Slack: 1, Repeat: 1}).Run(p)
}

// runIngresses runs standalone ingresses with fake servers and clients, and prints what was served and billed.
func (t *TryCommand) runIngresses(ctx context.Context, p *Program) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
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
		return errUnexpectedRunResult
	}
	return nil
}
