package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"

	"mulleinrouter/internal/emulator/faulttest"
)

// FaultTestCommand runs a fault test, which injects the faults of a scenario.
type FaultTestCommand struct {
	File      string  `arg:"" name:"file" help:"${faultTestFile}"`
	Ingresses int     `name:"ingresses" help:"Number of ingresses, instead of the number in the file."`
	Seed      uint64  `name:"seed" help:"Another seed than the file's."`
	Dir       string  `name:"dir" type:"path" help:"Folder for files and logs; it stays. Default: a temporary one."`
	Events    string  `name:"events" type:"path" placeholder:"FILE" help:"What was done and seen, as JSON lines."`
	Slack     float64 `name:"slack" default:"1" help:"Factor for the time limits of expectations, for a slow machine."`
	Repeat    int     `name:"repeat" default:"1" help:"${faultTestRepeat}"`
	Parallel  int     `name:"beside" default:"1" help:"Number of runs at the same time."`
}

// readScenario reads a scenario from a file, or a shipped scenario by its name. An existing file takes precedence.
func readScenario(name string) (*faulttest.Scenario, error) {
	isName := filepath.Base(name) == name && filepath.Ext(name) == ""
	if _, err := os.Stat(name); errors.Is(err, fs.ErrNotExist) && isName {
		return faulttest.Shipped(name)
	}
	return faulttest.Read(name)
}

// Run runs the scenario, once or several times.
func (ft *FaultTestCommand) Run(p *Program) error {
	scenario, err := readScenario(ft.File)
	if err != nil {
		return fileError{err}
	}
	scenario.Ingresses, scenario.Seed = cmp.Or(ft.Ingresses, scenario.Ingresses), cmp.Or(ft.Seed, scenario.Seed)
	program, err := os.Executable()
	if err != nil {
		return err
	}
	options := faulttest.Options{Program: program, Dir: ft.Dir, Progress: p.out, Slack: ft.Slack}
	if ft.Events != "" {
		f, err := os.Create(ft.Events)
		if err != nil {
			return fileError{err}
		}
		defer f.Close()
		options.Events = f
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Fprintf(p.out, "%s: %d ingresses on loopback, %v\n", scenario.Name, scenario.Ingresses, scenario.Duration)
	if ft.Repeat > 1 {
		return ft.runRepeatedly(ctx, p.out, scenario, options)
	}
	report, err := faulttest.Play(ctx, scenario, options)
	if err != nil {
		return err
	}
	fmt.Fprintln(p.out)
	report.Write(p.out)
	if !report.Passed() {
		return errExpectationFailed
	}
	return nil
}

// runRepeatedly runs a scenario with consecutive seeds, several runs in parallel. A failed run is reported with its
// seed. If --dir is given, the files of failed runs are kept there.
func (ft *FaultTestCommand) runRepeatedly(
	ctx context.Context, out io.Writer, scenario *faulttest.Scenario, options faulttest.Options,
) error {
	results := &scenarioResults{out: out}
	options.Progress, options.Events = nil, nil
	var running sync.WaitGroup
	slots := make(chan struct{}, max(1, ft.Parallel))
	for i := range ft.Repeat {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			run, runOptions := *scenario, options
			run.Seed = scenario.Seed + uint64(i)
			if runOptions.Dir != "" {
				runOptions.Dir = filepath.Join(runOptions.Dir, fmt.Sprint(run.Seed))
			}
			report, err := faulttest.Play(ctx, &run, runOptions)
			results.add(run.Seed, runOptions.Dir, report, err)
		})
	}
	running.Wait()
	if len(results.reports) > 0 {
		fmt.Fprintln(out)
		faulttest.WriteTable(out, results.reports)
	}
	fmt.Fprintf(out, "%d of %d runs passed\n", ft.Repeat-results.failed, ft.Repeat)
	if results.failed > 0 {
		return errExpectationFailed
	}
	return ctx.Err()
}

// scenarioResults collects the results of several runs of a scenario.
type scenarioResults struct {
	mu      sync.Mutex // guards the fields below
	out     io.Writer  // receives the reports of failed runs
	reports []*faulttest.Report
	failed  int
}

// add adds the result of a run, and removes the folder of a successful one.
func (s *scenarioResults) add(seed uint64, dir string, report *faulttest.Report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.failed++
		fmt.Fprintf(s.out, "seed %d: %v\n", seed, err)
		return
	case !report.Passed():
		s.failed++
		fmt.Fprintf(s.out, "seed %d: not all expectations were met\n", seed)
		report.Write(s.out)
	case dir != "":
		os.RemoveAll(dir)
	}
	s.reports = append(s.reports, report)
}
