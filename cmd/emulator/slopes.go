package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"mulleinrouter/internal/emulator/capacity"
	"mulleinrouter/internal/emulator/costmodel"
)

type slopesCommand struct {
	Out   string `help:"File for the run, as lines of JSON." type:"path"`
	Quick bool   `help:"Sizes a tenth as large: to see that it works."`
}

// quickDivisor is what sizes are divided by with --quick.
const quickDivisor = 10

// Run measures the cost model, prints it as a table and stores it if that is asked for.
func (s *slopesCommand) Run(logger log.Logger) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "slope\tof\tpoints\ta\tb\tworst residual\tholdout\tmeasured\tpredicted\toff")
	divisor := 1
	if s.Quick {
		divisor = quickDivisor
	}
	run, err := costmodel.Measure(divisor, func(series *costmodel.Series) {
		level.Info(logger).Log("msg", "slope measured", "name", series.Name)
		writeSeries(t, series)
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s, %s, %s\n", run.Date, run.Go, run.Processor)
	if err := t.Flush(); err != nil || s.Out == "" {
		return err
	}
	return errors.Wrap(storeRun(run, s.Out), "store the run")
}

// writeSeries prints a row of the table.
func writeSeries(w io.Writer, s *costmodel.Series) {
	of := s.SizeUnit
	if s.Logarithmic {
		of = "log2 " + of
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%.1f%%\t%g\t%s\t%s\t%+.1f%%\n",
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
}

// storeRun replaces a file by a run. It writes a file beside it first, so that no reader of the old file sees a part of
// the new one.
func storeRun(run *costmodel.Run, path string) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails once it is renamed
	err = run.Write(f)
	if err == nil {
		err = f.Chmod(0o644)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return err
}
