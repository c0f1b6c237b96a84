package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"mulleinrouter/internal/emulator/modelcheck"
)

// Audit are the commands that look for violations of the rules.
type Audit struct {
	States AuditStates `cmd:"" help:"Go through every order of a few events, and check the rules after each. Exit code 1 if one is broken."`
	Replay AuditReplay `cmd:"" help:"Play the trace of a violation again."`
}

// AuditStates explores.
type AuditStates struct {
	Depth  int    `default:"4" help:"Every ordering of so many events."`
	Random int    `default:"200000" help:"Further orderings of five to eight events, drawn by chance."`
	Seed   uint64 `default:"1" help:"For those."`
	Out    string `type:"path" placeholder:"DIR" help:"Folder for the traces of violations."`
}

var errViolated = errors.New("a rule is broken")

// Run explores, and shows what it found.
func (c *AuditStates) Run(p *Program) error {
	began, shown := time.Now(), 0
	r := modelcheck.Explore(modelcheck.Options{Depth: c.Depth, Random: c.Random, Seed: c.Seed, Progress: func(done, all int, orderings int64) {
		if part := done * 10 / all; part > shown {
			shown = part
			fmt.Fprintf(p.err, "%3d%%  %d orderings, %.0f s\n", part*10, orderings, time.Since(began).Seconds())
		}
	}})
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	t := table(p.out)
	fmt.Fprintf(t, "orderings\t%d, with %d steps\n", r.Orderings, r.Steps)
	fmt.Fprintf(t, "kinds of states\t%d\n", r.States)
	fmt.Fprintf(t, "pairs of events\t%d of %d, one right behind the other\n", r.Pairs, r.AllPairs)
	fmt.Fprintf(t, "time\t%.1f s on %d cores\n", time.Since(began).Seconds(), runtime.GOMAXPROCS(0))
	fmt.Fprintf(t, "memory\t%d MB from the system\n", memory.Sys>>20)
	fmt.Fprintf(t, "violations\t%d\n", len(r.Violations))
	t.Flush()
	for i, v := range r.Violations {
		fmt.Fprintf(p.out, "\n%v", v)
		if c.Out != "" {
			if err := os.MkdirAll(c.Out, 0o755); err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(c.Out, fmt.Sprintf("%s-%d.txt", v.Violation.Property, i+1)), []byte(v.String()), 0o644); err != nil {
				return err
			}
		}
	}
	if len(r.Violations) > 0 {
		return errViolated
	}
	return nil
}

// AuditReplay replays.
type AuditReplay struct {
	File string `arg:"" type:"path" help:"A trace, as audit states writes them."`
}

// Run replays a trace.
func (c *AuditReplay) Run(p *Program) error {
	f, err := os.Open(c.File)
	if err != nil {
		return badFile{err}
	}
	defer f.Close()
	trace, err := modelcheck.ReadTrace(f)
	if err != nil {
		return badFile{fmt.Errorf("%s: %w", c.File, err)}
	}
	violations, happened := modelcheck.Replay(trace.Config, trace.Events)
	fmt.Fprintf(p.out, "%d of %d events happened\n", len(happened), len(trace.Events))
	for _, v := range violations {
		fmt.Fprintf(p.out, "%s: %s\n", v.Property, v.Text)
	}
	if len(violations) > 0 {
		return errViolated
	}
	return nil
}
