// Command agent is the agent on an edge machine. It subscribes to the control nodes and sends what they publish to the
// proxy of the same machine over loopback. See docs/design/system.md.
package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/agent"
	"mulleinrouter/internal/cluster/command"
	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/cluster/settings"
)

const (
	name        = commandline.Agent
	description = "The agent on an edge machine: it passes what control nodes publish to the proxy on the same machine."
)

// memoryLimit is the memory use, in bytes, above which the garbage collector works harder. It is low because the proxy
// needs most of the machine's memory.
const memoryLimit = 32 << 20

// gcPercent is the growth of the heap, in percent, that starts a garbage collection. It is half of Go's default, which
// keeps the heap small. Collections are rare nevertheless, because an agent allocates little.
const gcPercent = 50

type program struct {
	Serve serve `cmd:"" default:"withargs" help:"Pass what control nodes publish to the proxy (the default)."`
	Check check `cmd:"" help:"Check a settings file, and print the settings that matter to this program."`
	Show  show  `cmd:"" help:"Ask the agent that runs on this machine what it knows."`

	Version     commandline.VersionCommand `cmd:"" help:"Say which version this is, with its commit and Go's."`
	VersionFlag kong.VersionFlag           `name:"version" help:"Say which version this is."`
}

type serve struct {
	commandline.SettingsArgument
	command.ServeOptions
	command.LinkFaultsFlag
}

func (s *serve) Run() error {
	loaded, err := command.Start(s.File, name, command.Memory{GCPercent: gcPercent, Limit: limitMemory})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dial, err := s.Dialer(ctx, agent.Dial)
	if err != nil {
		return err
	}
	watcher := settings.NewWatcher(s.File, loaded)
	return agent.Run(agent.Options{
		Settings: watcher,
		Log:      command.NewLogger(loaded, watcher),
		Dial:     dial,
		Metrics:  s.Metrics,
	})
}

// limitMemory returns the same limit for machines of every size.
func limitMemory(*settings.Settings) int64 { return memoryLimit }

type check struct{ commandline.CheckCommand }

func (c *check) Run(out io.Writer) error { return c.Check(out, name) }

type show struct {
	commandline.SettingsArgument
	commandline.OutputFlag
}

func (s *show) Run(out io.Writer) error {
	loaded, err := commandline.Load(s.File, name)
	if err != nil {
		return err
	}
	report, err := agent.Ask(context.Background(), loaded.AgentAddr())
	if err != nil {
		return err
	}
	return s.Print(out, report, func(out io.Writer) error {
		fmt.Fprintf(out, "incarnation %x, ready %t, quorum %t\n", report.Incarnation, report.Ready, report.Quorum)
		fmt.Fprintf(out, "%d ingresses, epoch %d, common clock %.3f s\n", report.Members, report.Epoch, report.Clock)
		_, err := fmt.Fprintf(out, "%d items, %d servers known, %d serving\n",
			report.Items, report.Instances, report.Serving)
		return err
	})
}

func main() {
	command.Main(name, description, new(program), func(options command.ServeOptions) error {
		return (&serve{ServeOptions: options}).Run()
	})
}
