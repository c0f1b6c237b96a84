package main

import (
	"os"
	"path/filepath"

	"mulleinrouter/internal/emulator/capacity"
	"mulleinrouter/internal/emulator/costmodel"
)

type planCommand struct {
	File   string `arg:"" help:"Size, limits and which process holds what: lines a.b=value." type:"existingfile"`
	Slopes string `help:"A run of slopes of your own. Default: the one that came with the program." type:"existingfile"`
}

// Run estimates what the plan needs and prints the report. It returns errPlanDoesNotFit if a limit is exceeded.
func (p *planCommand) Run() error {
	text, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	plan, err := capacity.Read(filepath.Base(p.File), string(text))
	if err != nil {
		return unusableFileError{err}
	}
	run, err := p.costModel()
	if err != nil {
		return err
	}
	report, err := plan.Estimate(run)
	if err != nil {
		return unusableFileError{err}
	}
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if !report.Fits() {
		return errPlanDoesNotFit
	}
	return nil
}

// costModel returns the measured cost model: that of the file that --slopes names, or without the flag the one embedded
// in the program.
func (p *planCommand) costModel() (*costmodel.Run, error) {
	if p.Slopes == "" {
		run, err := capacity.StoredRun()
		if err != nil {
			return nil, unusableFileError{err}
		}
		return run, nil
	}
	f, err := os.Open(p.Slopes)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	run, err := costmodel.Read(f)
	if err != nil {
		return nil, unusableFileError{err}
	}
	return run, nil
}
