// Command tandem is the control node on a core machine: it takes the operator's configuration and the beats of servers, keeps what it
// acknowledges on its disk and those of the others, and feeds the agents of the ingresses.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"mulleinrouter/internal/office/premises"
	"mulleinrouter/internal/tandem"
)

// Exit codes.
const (
	failed  = 1
	usage   = 2
	badFile = 3
)

type program struct {
	Serve serve `cmd:"" default:"withargs" help:"Serve as a control node (the default)."`
	Check check `cmd:"" help:"Check a settings file, and say what is in it that matters here."`

	Version kong.VersionFlag `help:"Say which version this is."`
}

// heap is what the node may use before the collector works harder, in bytes; half of what the machine has where that is told.
const heap = 64 << 20

type serve struct {
	File string `short:"c" help:"Settings file. Default: the one that ${variable} names." placeholder:"FILE"`
}

func (s *serve) Run() error {
	// Memory is dear on these machines, and only one thread runs at a time there.
	debug.SetGCPercent(50)
	runtime.GOMAXPROCS(1)
	p, err := load(s.File)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(max(heap, int64(p.Limits.MemoryMB)<<20/2))
	n, err := tandem.New(tandem.Config{Settings: p, Log: log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))})
	if err != nil {
		return unusable{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // what a control node takes from its file does not change while it runs
	return n.Run(ctx)
}

type check struct {
	File string `arg:"" optional:"" help:"Settings file. Default: the one that ${variable} names."`
}

func (c *check) Run() error {
	p, err := load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("node %s in %s, control at %s, inner at %s, disk at %s, bootstrap %t\n", p.Node, p.Zone, p.Control, p.Inner(), p.DataPath, p.Bootstrap)
	for _, s := range p.Seeds {
		fmt.Printf("control node at %s\n", s)
	}
	return nil
}

func load(file string) (*premises.Premises, error) {
	p, err := premises.Load(file)
	if err == nil {
		err = p.Need("tandem")
	}
	if err != nil {
		return nil, unusable{err}
	}
	return p, nil
}

// unusable marks an error as one of a file that cannot be used.
type unusable struct{ error }

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "tandem unknown"
	}
	revision, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+changes"
		}
	}
	return fmt.Sprintf("tandem %s%s, %s", revision, changed, info.GoVersion)
}

func main() {
	// The platform's own call, on machines where memory is dear: reading a command line would cost half a megabyte for good.
	if len(os.Args) == 2 && os.Args[1] == "serve" {
		finish(new(serve).Run())
	}
	var p program
	parser := kong.Must(&p, kong.Name("tandem"),
		kong.Description("The control node on a core machine: it takes the configuration and the beats of servers, and feeds the agents.\n\n"+
			"Exit codes: 0 done, 1 failed, 2 wrong command line, 3 a settings file that cannot be used."),
		kong.Vars{"version": version(), "variable": premises.Variable}, kong.UsageOnError())
	called, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "tandem: %v\n", err)
		os.Exit(usage)
	}
	finish(called.Run())
}

// finish ends the process with the exit code of an outcome.
func finish(err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "tandem: %v\n", err)
	if file := (unusable{}); errors.As(err, &file) {
		os.Exit(badFile)
	}
	os.Exit(failed)
}
