package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"mulleinrouter/internal/logging"
)

// Exit codes.
const (
	exitFailed         = 1
	exitUsage          = 2
	exitUnusableFile   = 3
	exitPlanDoesNotFit = 4
)

type program struct {
	Slopes slopesCommand `cmd:"" help:"Measure the cost of each role as a function of size."`
	Plan   planCommand   `cmd:"" help:"Estimate what each role needs at a size, and which limit binds first."`

	Days daysCommand `cmd:"" help:"Draw scenarios of a day with faults of the control plane, as files for the bench."`
	Try  tryCommand  `cmd:"" help:"Run the three programs on this machine, with faults, and check what was observed."`
}

func main() {
	logger := log.With(logging.New(os.Stderr, logging.Logfmt, logging.LevelInfo), "part", "emulator")
	var p program
	parser := kong.Must(
		&p,
		kong.Name("emulator"),
		kong.UsageOnError(),
		kong.BindTo(logger, (*log.Logger)(nil)),
		kong.Description("Measures, estimates and tests the system on one machine.\n\n"+
			"Exit codes: 0 done, and the plan fits; 1 failed, 2 wrong command line, "+
			"3 a file that cannot be used, 4 the plan does not fit."),
	)
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "emulator: %v\n", err)
		os.Exit(exitUsage)
	}
	err = command.Run()
	if err != nil && !errors.Is(err, errPlanDoesNotFit) {
		fmt.Fprintf(os.Stderr, "emulator: %v\n", err)
	}
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for the result of a subcommand.
func exitCode(err error) int {
	var unusable unusableFileError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errPlanDoesNotFit):
		return exitPlanDoesNotFit
	case errors.As(err, &unusable):
		return exitUnusableFile
	}
	return exitFailed
}
