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

// quickDivisor is the divisor of all sizes with --quick, for a short run that only shows that the command works.
const quickDivisor = 10

// Run measures the cost model, prints it as a table and stores it in the file that --out names, if any.
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

// writeSeries writes one series as a row of the table.
func writeSeries(w io.Writer, s *costmodel.Series) {
	sizeUnit := s.SizeUnit
	if s.Logarithmic {
		sizeUnit = "log2 " + sizeUnit
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%.1f%%\t%g\t%s\t%s\t%+.1f%%\n",
		s.Name,
		sizeUnit,
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

// storeRun writes a run to the file at path and replaces the file atomically: it writes a temporary file in the same
// folder and renames it, so that no reader sees an incomplete run.
func storeRun(run *costmodel.Run, path string) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // has no effect after the rename
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
