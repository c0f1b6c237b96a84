// Command control is the control node on a core machine: it takes the operator's configuration and the beats of servers, keeps what it
// acknowledges on its disk and those of the others, and feeds the agents of the ingresses.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/command"
	"mulleinrouter/internal/cluster/linkfaults"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control"
)

const name = "control"

type program struct {
	Serve serve `cmd:"" default:"withargs" help:"Serve as a control node (the default)."`
	Check check `cmd:"" help:"Check a settings file, and say what is in it that matters here."`

	Members members `cmd:"" help:"Say which control nodes choose (voters), which could (learners), and how far behind they are."`
	Replace replace `cmd:"" help:"Have a learner take the place of a voter."`

	Version kong.VersionFlag `help:"Say which version this is."`
}

// heap is what the node may use before the collector works harder, in bytes; half of what the machine has where that is told.
const heap = 64 << 20

type serve struct {
	File string `short:"c" help:"Settings file. Default: the one that ${variable} names." placeholder:"FILE"`
	command.ServeOptions
	Links string `hidden:"" help:"For rehearsals: a file that says which hosts the process is cut off from."`
}

func (s *serve) Run() error {
	// Memory is dear on these machines, and only one thread runs at a time there.
	debug.SetGCPercent(50)
	runtime.GOMAXPROCS(1)
	p, err := command.Load(s.File, name)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(max(heap, int64(p.Limits.MemoryMB)<<20/2))
	c := control.Config{Settings: p, Metrics: s.Metrics, Log: log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))}
	if s.Links != "" {
		l, err := linkfaults.NewInjector(s.Links)
		if err != nil {
			return err
		}
		c.Dial = l.Dialer(func(ctx context.Context, inner string) (net.Conn, error) {
			return transport.Dial(ctx, inner, time.Second)
		})
	}
	n, err := control.New(c)
	if err != nil {
		return err
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
	p, err := command.Load(c.File, name)
	if err != nil {
		return err
	}
	fmt.Printf("node %s in %s, control at %s, inner at %s, disk at %s, bootstrap %t\n", p.Node, p.Zone, p.ControlAddr, p.InternalAddr(), p.DataPath, p.Bootstrap)
	for _, s := range p.Seeds {
		fmt.Printf("control node at %s\n", s)
	}
	return nil
}

func main() {
	command.Main(name, "The control node on a core machine: it takes the configuration and the beats of servers, and feeds the agents.",
		new(program), func(o command.ServeOptions) error { return (&serve{ServeOptions: o}).Run() })
}
