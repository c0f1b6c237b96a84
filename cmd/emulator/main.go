// Command emulator is the toolbox's test desk: it measures what the roles of the system cost by size, and reckons
// from these slopes what they need at a size that is planned.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"mulleinrouter/internal/emulator/capacity"
	"mulleinrouter/internal/emulator/costmodel"
)

// Exit codes.
const (
	failed  = 1
	usage   = 2
	badFile = 3
	beyond  = 4
)

type program struct {
	Slopes measure  `cmd:"" help:"Measure what each part costs by the size of what it knows."`
	Plan   reckon   `cmd:"" help:"Estimate what each role needs at a size, and which limit binds first."`
	Days   drawDays `cmd:"" help:"Draw days of trouble for the core, as files for the bench."`
	Try    tryCmd   `cmd:"" help:"Play the three programs on this box, with faults, and judge what was seen."`
}

type measure struct {
	Out   string `help:"File for the run, as lines of JSON." type:"path"`
	Quick bool   `help:"Sizes a tenth as large: to see that it works."`
}

func (m *measure) Run(logger log.Logger) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "slope\tof\tpoints\ta\tb\tworst residual\theld back\tmeasured\tpredicted\toff")
	part := 1
	if m.Quick {
		part = 10
	}
	r, err := costmodel.Measure(part, func(s *costmodel.Series) {
		logger.Log("msg", "slope measured", "name", s.Name)
		of := s.SizeUnit
		if s.Logarithmic {
			of = "log2 " + of
		}
		fmt.Fprintf(
			t,
			"%s\t%s\t%d\t%s\t%s\t%.1f%%\t%g\t%s\t%s\t%+.1f%%\n",
			s.Name,
			of,
			len(s.Points),
			capacity.Amount(s.Intercept, s.Unit),
			capacity.Amount(s.Slope, s.Unit),
			100*s.MaxResidual(),
			s.Holdout.Size,
			capacity.Amount(s.Holdout.Cost, s.Unit),
			capacity.Amount(s.Predicted, s.Unit),
			100*s.PredictionError,
		)
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s, %s, %s\n", r.Date, r.Go, r.Processor)
	if err := t.Flush(); err != nil || m.Out == "" {
		return err
	}
	// A file beside it first: whoever reads the old one never sees half of the new one.
	f, err := os.CreateTemp(filepath.Dir(m.Out), filepath.Base(m.Out)+".*")
	if err != nil {
		return errors.Wrap(err, "store the run")
	}
	defer os.Remove(f.Name())
	err = r.Write(f)
	if err == nil {
		err = f.Chmod(0o644)
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(f.Name(), m.Out)
	}
	return errors.Wrap(err, "store the run")
}

type reckon struct {
	File   string `arg:"" help:"The size, its limits and what is known where: lines a.b=value." type:"existingfile"`
	Slopes string `help:"A run of slopes of your own. Default: the one that came with the program." type:"existingfile"`
}

func (c *reckon) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	p, err := capacity.Read(filepath.Base(c.File), string(text))
	if err != nil {
		return unusable{err}
	}
	run, err := capacity.StoredRun()
	if c.Slopes != "" {
		var f *os.File
		if f, err = os.Open(c.Slopes); err != nil {
			return err
		}
		defer f.Close()
		run, err = costmodel.Read(f)
	}
	if err != nil {
		return unusable{err}
	}
	report, err := p.Estimate(run)
	if err != nil {
		return unusable{err}
	}
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if !report.Fits() {
		os.Exit(beyond)
	}
	return nil
}

// unusable marks an error as one of a file that cannot be used.
type unusable struct{ error }

func main() {
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "part", "emulator")
	var p program
	parser := kong.Must(
		&p,
		kong.Name("emulator"),
		kong.UsageOnError(),
		kong.BindTo(logger, (*log.Logger)(nil)),
		kong.Description("The test desk: what the roles of the system cost by size.\n\n"+
			"Exit codes: 0 done, and the plan fits; 1 failed, 2 wrong command line, "+
			"3 a file that cannot be used, 4 the plan does not fit."),
	)
	called, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "emulator: %v\n", err)
		os.Exit(usage)
	}
	if err := called.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "emulator: %v\n", err)
		if bad := (unusable{}); errors.As(err, &bad) {
			os.Exit(badFile)
		}
		os.Exit(failed)
	}
}
