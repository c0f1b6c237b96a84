package command

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/cluster/metrics"
)

// ServeOptions are the options of "serve" that all programs have.
type ServeOptions struct {
	Metrics metrics.Endpoint `help:"Where figures are served, as PORT/PATH. Default: nowhere." placeholder:"PORT/PATH"`
}

const exitCodesHelp = "\n\nExit codes: 0 done, 1 failed, 2 wrong command line, 3 a settings file that cannot be used."

// Main runs a program. kong parses its commands; each has a Run method that returns an error and may take the io.Writer
// for its output as a parameter. The two forms "serve" and "serve --metrics PORT/PATH" call serve without kong. Main
// does not return.
func Main(program, description string, commands any, serve func(ServeOptions) error) {
	// The platform uses these two forms on machines with little memory, and kong would occupy half a megabyte for as
	// long as the process runs.
	if options, ok := parseServeCommand(os.Args[1:]); ok {
		exit(program, serve(options))
	}
	parser := kong.Must(commands,
		kong.Name(program),
		kong.Description(description+exitCodesHelp),
		kong.Vars{"version": commandline.ReadBuildInfo(program).String()},
		commandline.HelpTexts,
		kong.BindTo(os.Stdout, (*io.Writer)(nil)),
		kong.UsageOnError(),
	)
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(exitUsage)
	}
	exit(program, command.Run())
}

// parseServeCommand parses the forms of the command line that deploy/system.toml uses.
func parseServeCommand(args []string) (options ServeOptions, ok bool) {
	switch {
	case len(args) == 1 && args[0] == "serve":
		return options, true
	case len(args) == 3 && args[0] == "serve" && args[1] == "--metrics":
		err := options.Metrics.UnmarshalText([]byte(args[2]))
		return options, err == nil // if there is an error, kong reports it
	}
	return options, false
}

// exit ends the process with the exit code for an error, which may be nil.
func exit(program string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	}
	os.Exit(exitCode(err))
}
