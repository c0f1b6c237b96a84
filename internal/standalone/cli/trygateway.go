package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/emulator/loopback"
	"mulleinrouter/internal/emulator/timechart"
)

const (
	// trafficDelay is the minimum time between the start of the run and the first client request. The run also waits
	// until every edge machine serves.
	trafficDelay = 6 * time.Second

	// maxFirstPort leaves port numbers for the other ports of the machines.
	maxFirstPort = 65000

	noSchedule = "none" // value of --schedule for no faults
)

// runGateway runs the complete gateway. It removes the folder of settings, disks and logs at the end, also after an
// interruption, unless --dir names the folder or the run fails.
func (t *TryCommand) runGateway(ctx context.Context, p *Program) error {
	schedule, err := t.schedule()
	if err != nil {
		return fileError{err}
	}
	programs, err := findPrograms(ctx, t.Programs, p.err)
	if err != nil {
		return err
	}
	defer programs.remove()
	dir := t.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "mulleinrouter-try-"); err != nil {
			return err
		}
	}
	options := t.options(programs.dir, dir, schedule)
	if t.Serve {
		err = t.serveGateway(ctx, p, options)
	} else {
		err = t.playGateway(ctx, p, options)
	}
	switch {
	case ctx.Err() != nil && !t.Serve:
		err = errInterrupted
	case err != nil:
		return fmt.Errorf("%w\nlogs are in %s", err, dir)
	}
	if t.Dir == "" {
		err = errors.Join(err, os.RemoveAll(dir))
	}
	return err
}

// schedule returns the faults to inject. Without --schedule they are a change of the configuration and a killed proxy.
func (t *TryCommand) schedule() ([]loopback.Fault, error) {
	switch t.Schedule {
	case noSchedule:
		return nil, nil
	case "":
		return []loopback.Fault{
			{At: t.For / 3, Name: "config"},
			{At: 2 * t.For / 3, Name: "kill-proxy", Target: 1},
		}, nil
	}
	return loopback.ParseSchedule(t.Schedule, t.For, t.Seed)
}

func (t *TryCommand) options(programsDir, dir string, schedule []loopback.Fault) loopback.Options {
	return loopback.Options{
		CoreMachines: t.Core,
		EdgeMachines: t.Edge,
		TrafficTime:  t.For,
		Faults:       schedule,
		Seed:         t.Seed,
		ProgramsDir:  programsDir,
		Load:         t.Load,
		WarmUp:       trafficDelay,
		Dir:          dir,
		FirstPort:    t.Port,
		Metrics:      true,
	}
}

// playGateway runs the gateway with clients and faults, and prints what was served.
func (t *TryCommand) playGateway(ctx context.Context, p *Program, options loopback.Options) error {
	fmt.Fprintf(p.out, "%d control nodes and %d edge machines as processes, stand-in servers and clients, "+
		"on loopback; requests for %v\n", t.Core, t.Edge, t.For)
	progress := newProgressPrinter(p.err, t.For)
	options.Progress = progress.print
	report, err := loopback.Run(ctx, options)
	progress.close()
	if err != nil {
		return err
	}
	fmt.Fprintln(p.out)
	report.WriteTables(p.out)
	fmt.Fprintf(p.out, "\n%v\n", resultChart(report, options))
	if err := report.WriteViolations(p.out); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolated
	}
	return nil
}

// resultChart returns a chart of the requests and faults of a run over time.
func resultChart(report *loopback.Report, options loopback.Options) timechart.Chart {
	rows := []timechart.Row{
		loopback.Served:   {Label: "served"},
		loopback.Rejected: {Label: "rejected"},
		loopback.Failed:   {Label: "failed"},
	}
	for _, r := range report.Requests {
		rows[r.Outcome].Times = append(rows[r.Outcome].Times, r.At)
	}
	chart := timechart.Chart{Span: options.TrafficTime.Seconds(), Rows: rows}
	for _, fault := range options.Faults {
		chart.Annotations = append(chart.Annotations, timechart.Annotation{
			At: fault.At.Seconds(), Label: describeFault(fault.Name),
		})
	}
	return chart
}

// describeFault returns a short description of a fault, or its name if it is unknown.
func describeFault(name string) string {
	for _, kind := range loopback.FaultKinds() {
		if kind.Name == name {
			return kind.Help
		}
	}
	return name
}

// serveGateway runs the gateway until ctx ends.
func (t *TryCommand) serveGateway(ctx context.Context, p *Program, options loopback.Options) error {
	options.Faults = nil
	progress := newProgressPrinter(p.err, 0)
	options.Progress = progress.print
	err := loopback.Serve(ctx, options, func(e loopback.Endpoints) {
		progress.close()
		writeEndpoints(p.out, e)
	})
	progress.close()
	return err
}

// writeEndpoints prints the addresses of a running gateway, and example commands.
func writeEndpoints(w io.Writer, e loopback.Endpoints) {
	var control, clients string
	t := commandline.NewTable(w)
	fmt.Fprintln(t, "machine\tprocess\tpid\tserves\tmetrics")
	for _, m := range e.Machines {
		for _, process := range m.Processes {
			serves := ""
			switch {
			case m.Control != "":
				serves = "operators: http://" + m.Control
				control = cmp.Or(control, m.Control)
			case process.Program == "proxy":
				serves = "clients: http://" + m.Clients
				clients = cmp.Or(clients, m.Clients)
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", m.Name, process.Program, process.PID, serves, process.Metrics)
		}
	}
	t.Flush()
	x := e.Example
	fmt.Fprint(w, "\nThe configuration, from any control node; a change of it; "+
		"a request of a client, to any proxy:\n\n")
	fmt.Fprintf(w, "curl http://%s/config\n", control)
	fmt.Fprintf(w, "curl -X PATCH http://%s/config -d '%s'\n", control, examplePatch)
	fmt.Fprintf(w, "curl http://%s%s -H 'Host: %s' -H 'Authorization: Token %s' -H 'X-Attempt-Id: 1' "+
		"-H 'X-Time-Left-Ms: %d'\n", clients, x.Path, x.Host, x.Key, x.Timeout.Milliseconds())
	fmt.Fprintln(w, "\nA service that you add gets two stand-in servers. docs/START.md goes on from here.")
	fmt.Fprintln(w, "Ctrl-C ends it.")
}

// examplePatch adds a service. Its generation must be above those in the initial configuration.
const examplePatch = `{"upsert":{"services":{"hello":` +
	`{"healthPath":"/health","maxConns":100,"protocol":"h1","tlsMode":false,"generation":"00000100"}}}}`
