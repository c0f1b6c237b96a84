// Command agent is the agent on an edge machine: it keeps the link to the control nodes and feeds the proxy beside it over loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"

	"mulleinrouter/internal/agent"
	"mulleinrouter/internal/cluster/command"
	"mulleinrouter/internal/cluster/linkfaults"
)

const name = "agent"

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

type serve struct {
	settings
	command.ServeOptions
	Links string `hidden:"" help:"For rehearsals: a file that says which hosts the process is cut off from."`
}

func (s *serve) Run() error {
	// Memory is dear on these machines and the agent makes little garbage; only one thread runs at a time there.
	debug.SetGCPercent(50)
	debug.SetMemoryLimit(heap)
	runtime.GOMAXPROCS(1)
	p, err := command.Load(s.File, name)
	if err != nil {
		return err
	}
	var cuts *linkfaults.Injector // nil: none
	if s.Links != "" {
		if cuts, err = linkfaults.NewInjector(s.Links); err != nil {
			return err
		}
	}
	return agent.Run(agent.Options{File: s.File, Settings: p, Log: log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), Dial: cuts.Dialer(agent.Dial), Metrics: s.Metrics})
}

type check struct{ settings }

func (c *check) Run() error {
	p, err := command.Load(c.File, name)
	if err != nil {
		return err
	}
	fmt.Printf("node %s in %s, proxy at %s\n", p.Node, p.Zone, p.AgentAddr())
	for _, s := range p.Seeds {
		fmt.Printf("control node at %s\n", p.InternalAddrOf(s))
	}
	return nil
}

type show struct{ settings }

func (s *show) Run() error {
	p, err := command.Load(s.File, name)
	if err != nil {
		return err
	}
	r, err := agent.Ask(context.Background(), p.AgentAddr())
	if err != nil {
		return err
	}
	fmt.Printf("incarnation %x, ready %t, quorum %t\n%d ingresses, epoch %d, common clock %.3f s\n%d items, %d servers known, %d serving\n",
		r.Incarnation, r.Ready, r.Quorum, r.Members, r.Epoch, r.Clock, r.Items, r.Lines, r.Serving)
	return nil
}

func main() {
	command.Main(name, "The agent on an edge machine: it keeps the link to the control nodes and feeds the proxy beside it.",
		new(program), func(o command.ServeOptions) error { return (&serve{ServeOptions: o}).Run() })
}
