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

// Main runs a program: its commands as kong parses them, each with a Run that returns an error and may ask for the
// io.Writer of its output. The two forms "serve" and "serve --metrics PORT/PATH" call serve at once. Main does not
// return.
func Main(program, description string, commands any, serve func(ServeOptions) error) {
	// These are the platform's own calls, on machines with little memory: kong would use half a megabyte for good.
	if options, ok := parsePlatformCall(os.Args[1:]); ok {
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

// parsePlatformCall parses the forms of the command line that deploy/system.toml uses.
func parsePlatformCall(args []string) (options ServeOptions, ok bool) {
	switch {
	case len(args) == 1 && args[0] == "serve":
		return options, true
	case len(args) == 3 && args[0] == "serve" && args[1] == "--metrics":
		err := options.Metrics.UnmarshalText([]byte(args[2]))
		return options, err == nil // kong reports the error
	}
	return options, false
}

// exit ends the process with the exit code of an outcome.
func exit(program string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	}
	os.Exit(exitCode(err))
}
