package cli

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/standalone/hclfile"
)

// Exit codes. Scripts may tell them apart.
const (
	ExitOK      = 0
	ExitFailure = 1 // something that was tried did not succeed
	ExitUsage   = 2 // the command line is not one of this program's
	ExitBadFile = 3 // a file that was named cannot be used
)

const (
	programName = "mulleinrouter"
	helpWidth   = 100 // columns

	description = "The ingress of a quote service: decides for each request whether it is inside its member's quota, " +
		"sends it to a quote server or refuses it, and answers once.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong command line, 3 a file that cannot be used."
)

// Program is the command line as a whole. Hidden commands are earlier names of others, which scripts may use.
type Program struct {
	LogLevel  string `name:"log-level" enum:"debug,info,warn,error,," default:"" placeholder:"LEVEL" help:"${logLevel}"`
	LogFormat string `name:"log-format" enum:"logfmt,json,text,," default:"" placeholder:"FORMAT" help:"${logFormat}"`

	Serve      ServeCommand      `cmd:"" name:"serve" default:"withargs" help:"${serve}"`
	Check      CheckCommand      `cmd:"" name:"check" help:"${check}"`
	Plans      PlansCommands     `cmd:"" name:"plans" help:"Show, compare and change catalogues of plans."`
	Bookings   BookingCommands   `cmd:"" name:"book" help:"${bookings}"`
	Usage      UsageCommands     `cmd:"" name:"usage" help:"Show, check and export records of use."`
	Fleet      FleetCommands     `cmd:"" name:"fleet" help:"Show what an ingress knows of the others of its fleet."`
	ModelCheck ModelCheckCommand `cmd:"" name:"model-check" help:"${modelCheck}"`
	Try        TryCommand        `cmd:"" name:"try" help:"${try}"`
	FaultTest  FaultTestCommand  `cmd:"" name:"fault-test" help:"${faultTest}"`
	Version    VersionCommand    `cmd:"" name:"version" help:"Say which version this is."`

	Audit    ModelCheckCommand `cmd:"" name:"audit" hidden:"" help:"Earlier name of model-check."`
	Rehearse FaultTestCommand  `cmd:"" name:"rehearse" hidden:"" help:"Earlier name of fault-test."`

	out, err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	p := &Program{out: out, err: errOut}
	code, exited := ExitOK, false
	parser, err := kong.New(p,
		kong.Name(programName),
		kong.Description(description),
		helpTexts,
		kong.Writers(out, errOut), kong.UsageOnError(),
		kong.Exit(func(c int) { code, exited = c, true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
	)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return ExitFailure
	}
	command, err := parser.Parse(args)
	if exited {
		return code // help was asked for
	}
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		fmt.Fprintf(errOut, "%s --help tells what there is.\n", programName)
		return ExitUsage
	}
	if err := command.Run(p); err != nil {
		fmt.Fprintf(errOut, "%s: %s\n", programName, oneLine(err))
		return exitCode(err)
	}
	return ExitOK
}

// exitCode is the exit code for a command's error.
func exitCode(err error) int {
	var place *hclfile.Error
	var file fileError
	if errors.As(err, &place) || errors.As(err, &file) {
		return ExitBadFile
	}
	return ExitFailure
}

// oneLine is the text of an error, or of several that were joined, on one line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// VersionCommand says which version this is.
type VersionCommand struct{}

// Run prints what the build knows of itself.
func (*VersionCommand) Run(p *Program) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errNoBuildInfo
	}
	revision, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = " with changes"
		}
	}
	fmt.Fprintf(p.out, "%s %s%s, %s\n", programName, revision, changed, info.GoVersion)
	return nil
}
