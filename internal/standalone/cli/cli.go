package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/control/operatorcommand"
)

// Exit codes. They must not change, because scripts may distinguish them.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command failed
	ExitUsage   = 2 // the command line is invalid
	ExitBadFile = 3 // a file or folder on the command line is missing or invalid
)

const (
	programName = "mulleinrouter"
	helpWidth   = 100 // width of help texts, columns

	description = "The command line for people, and the ingress in service: it decides for each request whether it " +
		"is inside its member's quota, sends it to a quote server or rejects it, and answers once. Control nodes, " +
		"agents and proxies are programs of their own; check, members and replace are for them too.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong command line, 3 a file that cannot be used."
)

// Program is the complete command line. Hidden commands are earlier names of other commands, which scripts may still
// use.
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

	Members operatorcommand.Members `cmd:"" name:"members" help:"${members}"`
	Replace operatorcommand.Replace `cmd:"" name:"replace" help:"${replace}"`

	Shards        operatorcommand.Shards        `cmd:"" name:"shards" help:"${shards}"`
	TransferShard operatorcommand.TransferShard `cmd:"" name:"transfer-shard" help:"${transferShard}"`

	Completion CompletionCommand          `cmd:"" name:"completion" help:"${completion}"`
	Version    commandline.VersionCommand `cmd:"" name:"version" help:"${version}"`

	Audit    ModelCheckCommand `cmd:"" name:"audit" hidden:"" help:"Earlier name of model-check."`
	Rehearse FaultTestCommand  `cmd:"" name:"rehearse" hidden:"" help:"Earlier name of fault-test."`

	out, err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	p := &Program{out: out, err: errOut}
	// The platform calls the program without arguments, on machines with little memory. kong is not used then, because
	// it would keep some of that memory until the process exits.
	if len(args) == 0 {
		return p.finish(p.Serve.Run(p))
	}
	code, exited := ExitOK, false
	parser, err := kong.New(p,
		kong.Name(programName),
		kong.Description(description),
		helpTexts, commandline.HelpTexts,
		kong.BindTo(out, (*io.Writer)(nil)),
		kong.Writers(out, errOut), kong.UsageOnError(),
		kong.Exit(func(c int) { code, exited = c, true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
	)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return ExitFailure
	}
	parsed, err := parser.Parse(args)
	if exited {
		return code // the help was printed
	}
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		fmt.Fprintf(errOut, "%s --help lists the commands and flags.\n", programName)
		return ExitUsage
	}
	return p.finish(parsed.Run(p))
}

// finish prints the error of a command, if there is one, and returns the exit code.
func (p *Program) finish(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(p.err, "%s: %s\n", programName, oneLine(err))
	return exitCode(err)
}
