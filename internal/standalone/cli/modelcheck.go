package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/emulator/modelcheck"
)

// ModelCheckCommand are the commands of the model checker.
type ModelCheckCommand struct {
	States ModelCheckStatesCommand `cmd:"" name:"states" help:"${modelCheckStates}"`
	Replay ModelCheckReplayCommand `cmd:"" name:"replay" help:"Play the trace of a violation again."`
}

// ModelCheckStatesCommand explores orderings of events and checks the rules after each event.
type ModelCheckStatesCommand struct {
	Depth  int    `name:"depth" default:"4" help:"Check every ordering of this many events."`
	Random int    `name:"random" default:"200000" help:"Further orderings of five to eight events, drawn by chance."`
	Seed   uint64 `name:"seed" default:"1" help:"Seed of the random orderings."`
	Out    string `name:"out" type:"path" placeholder:"DIR" help:"Folder for the traces of violations."`
}

const progressSteps = 10 // number of progress lines of a run

// explorationProgress prints the progress of a run. The model checker's goroutines call report concurrently.
type explorationProgress struct {
	startedAt time.Time

	mu           sync.Mutex // guards the fields below
	out          io.Writer
	printedSteps int // number of progress lines printed so far
}

// report prints a line whenever a further step of the progress is complete.
func (e *explorationProgress) report(done, all int, orderings int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if step := done * progressSteps / all; step > e.printedSteps {
		e.printedSteps = step
		seconds := time.Since(e.startedAt).Seconds()
		fmt.Fprintf(e.out, "%3d%%  %d orderings, %.0f s\n", step*100/progressSteps, orderings, seconds)
	}
}

// Run explores the orderings and prints the statistics and the violations.
func (ms *ModelCheckStatesCommand) Run(p *Program) error {
	progress := &explorationProgress{startedAt: time.Now(), out: p.err}
	r := modelcheck.Explore(modelcheck.Options{
		Depth:    ms.Depth,
		Random:   ms.Random,
		Seed:     ms.Seed,
		Progress: progress.report,
	})
	writeExploration(p.out, r, time.Since(progress.startedAt))
	for i, v := range r.Violations {
		fmt.Fprintf(p.out, "\n%v", v)
		if ms.Out == "" {
			continue
		}
		if err := os.MkdirAll(ms.Out, 0o755); err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%d.txt", v.Violation.Property, i+1)
		if err := os.WriteFile(filepath.Join(ms.Out, name), []byte(v.String()), 0o644); err != nil {
			return err
		}
	}
	if len(r.Violations) > 0 {
		return errViolated
	}
	return nil
}

// writeExploration prints the statistics of an exploration.
func writeExploration(out io.Writer, r *modelcheck.Result, elapsed time.Duration) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	t := commandline.NewTable(out)
	fmt.Fprintf(t, "orderings\t%d, with %d steps\n", r.Orderings, r.Steps)
	fmt.Fprintf(t, "kinds of states\t%d\n", r.States)
	fmt.Fprintf(t, "pairs of events\t%d of %d, one right behind the other\n", r.Pairs, r.AllPairs)
	fmt.Fprintf(t, "time\t%.1f s on %d cores\n", elapsed.Seconds(), runtime.GOMAXPROCS(0))
	fmt.Fprintf(t, "memory\t%d MB from the system\n", memory.Sys>>20)
	fmt.Fprintf(t, "violations\t%d\n", len(r.Violations))
	t.Flush()
}

// ModelCheckReplayCommand replays the trace of a violation.
type ModelCheckReplayCommand struct {
	File string `arg:"" name:"file" type:"path" help:"A trace, as model-check states writes them."`
}

// Run replays a trace.
func (mr *ModelCheckReplayCommand) Run(p *Program) error {
	f, err := os.Open(mr.File)
	if err != nil {
		return fileError{err}
	}
	defer f.Close()
	trace, err := modelcheck.ReadTrace(f)
	if err != nil {
		return fileError{fmt.Errorf("%s: %w", mr.File, err)}
	}
	violations, applied := modelcheck.Replay(trace.Config, trace.Events)
	fmt.Fprintf(p.out, "%d of %d events happened\n", len(applied), len(trace.Events))
	for _, v := range violations {
		fmt.Fprintf(p.out, "%s: %s\n", v.Property, v.Text)
	}
	if len(violations) > 0 {
		return errViolated
	}
	return nil
}
