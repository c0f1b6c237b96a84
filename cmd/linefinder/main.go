// Command linefinder is the agent on an edge machine: it keeps the link to the control nodes and feeds the proxy beside it over loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"mulleinrouter/internal/linefinder"
	"mulleinrouter/internal/office/premises"
)

// Exit codes.
const (
	failed  = 1
	usage   = 2
	badFile = 3
)

type program struct {
	Serve serve `cmd:"" default:"withargs" help:"Keep the link and feed the proxy (the default)."`
	Check check `cmd:"" help:"Check a settings file, and say what is in it that matters here."`
	Show  show  `cmd:"" help:"Ask the agent that runs on this machine what it knows."`

	Version kong.VersionFlag `help:"Say which version this is."`
}

type settings struct {
	File string `arg:"" optional:"" help:"Settings file. Default: the one that ${variable} names."`
}

// heap is what the agent may use before the collector works harder, in bytes: the machine's memory is the proxy's.
const heap = 32 << 20

type serve struct{ settings }

func (s *serve) Run() error {
	// Memory is dear on these machines and the agent makes little garbage; only one thread runs at a time there.
	debug.SetGCPercent(50)
	debug.SetMemoryLimit(heap)
	runtime.GOMAXPROCS(1)
	p, err := premises.Load(s.File)
	if err == nil {
		err = p.Need("linefinder")
	}
	if err != nil {
		return unusable{err}
	}
	return linefinder.Run(s.File, p, log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)))
}

type check struct{ settings }

func (c *check) Run() error {
	p, err := premises.Load(c.File)
	if err == nil {
		err = p.Need("linefinder")
	}
	if err != nil {
		return unusable{err}
	}
	fmt.Printf("node %s in %s, proxy at %s\n", p.Node, p.Zone, p.Loopback())
	for _, s := range p.Seeds {
		fmt.Printf("control node at %s\n", p.InnerOf(s))
	}
	return nil
}

type show struct{ settings }

func (s *show) Run() error {
	p, err := premises.Load(s.File)
	if err != nil {
		return unusable{err}
	}
	r, err := linefinder.Ask(context.Background(), p.Loopback())
	if err != nil {
		return err
	}
	fmt.Printf("life %x, ready %t, quorum %t\n%d ingresses, epoch %d, common clock %.3f s\n%d items, %d servers known, %d serving\n",
		r.Life, r.Ready, r.Quorum, r.Members, r.Epoch, r.Clock, r.Items, r.Lines, r.Serving)
	return nil
}

// unusable marks an error as one of a file that cannot be used.
type unusable struct{ error }

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "linefinder unknown"
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
	return fmt.Sprintf("linefinder %s%s, %s", revision, changed, info.GoVersion)
}

func main() {
	// The platform's own call, on machines where memory is dear: reading a command line would cost half a megabyte for good.
	if len(os.Args) == 2 && os.Args[1] == "serve" {
		finish(new(serve).Run())
	}
	var p program
	parser := kong.Must(&p, kong.Name("linefinder"),
		kong.Description("The agent on an edge machine: it keeps the link to the control nodes and feeds the proxy beside it.\n\n"+
			"Exit codes: 0 done, 1 failed, 2 wrong command line, 3 a settings file that cannot be used."),
		kong.Vars{"version": version(), "variable": premises.Variable}, kong.UsageOnError())
	called, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "linefinder: %v\n", err)
		os.Exit(usage)
	}
	finish(called.Run())
}

// finish ends the process with the exit code of an outcome.
func finish(err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "linefinder: %v\n", err)
	var file unusable
	if errors.As(err, &file) {
		os.Exit(badFile)
	}
	os.Exit(failed)
}
