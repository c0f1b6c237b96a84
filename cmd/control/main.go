// Command control is the control node on a core machine. It receives the operator's configuration and the heartbeats of
// servers, stores what it acknowledges on its own disk and on those of the other control nodes, and publishes it to the
// agents of the ingresses. See docs/design/system.md.
package main

import (
	"context"
	"io"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/cluster/command"
	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control"
	"mulleinrouter/internal/control/operatorcommand"
)

const (
	name        = commandline.Control
	description = "The control node on a core machine: it takes the configuration and the heartbeats of servers, " +
		"and publishes them to the agents."
)

type program struct {
	Serve serve `cmd:"" default:"withargs" help:"Serve as a control node (the default)."`
	Check check `cmd:"" help:"Check a settings file, and print the settings that matter to this program."`

	Members operatorcommand.Members `cmd:"" help:"Say which control nodes vote, which learn, and how far behind they are."` //nolint:lll // a tag is one line
	Replace operatorcommand.Replace `cmd:"" help:"Have a learner take the place of a voter."`

	Shards        operatorcommand.Shards        `cmd:"" help:"Say who holds the lease of each shard of locks, numbers and cells."` //nolint:lll // a tag is one line
	TransferShard operatorcommand.TransferShard `cmd:"" help:"Have a leaseholder hand a shard to another voter."`

	Version     commandline.VersionCommand `cmd:"" help:"Say which version this is, with its commit and Go's."`
	VersionFlag kong.VersionFlag           `name:"version" help:"Say which version this is."`
}

const (
	// minMemoryLimit is the least memory limit of the Go runtime, in bytes. It applies if the settings state no
	// memory of the machine or too little.
	minMemoryLimit = 64 << 20

	// gcPercent is the growth of the heap, in percent, that starts a garbage collection. It is half of Go's default
	// because memory is scarce on these machines.
	gcPercent = 50

	// dialTimeout bounds the time of connecting to another control node, which may be down.
	dialTimeout = time.Second
)

type serve struct {
	commandline.SettingsFlag
	command.ServeOptions
	command.LinkFaultsFlag
}

func (s *serve) Run() error {
	loaded, err := command.Start(s.File, name, command.Memory{GCPercent: gcPercent, Limit: limitMemory})
	if err != nil {
		return err
	}
	config := control.Config{Settings: loaded, Metrics: s.Metrics, Log: command.NewLogger(loaded, loaded.Log.Level)}
	if s.LinkFaults != "" {
		faults, cancel := context.WithCancel(context.Background())
		defer cancel()
		if config.Dial, err = s.Dialer(faults, dial); err != nil {
			return err
		}
	}
	node, err := control.New(config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.Run(ctx) // SIGHUP stays ignored because a control node does not read its settings again while it runs
}

// dial connects to another control node.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	return transport.Dial(ctx, addr, dialTimeout)
}

// limitMemory returns half of the machine's memory, in bytes, but at least minMemoryLimit.
func limitMemory(s *settings.Settings) int64 {
	return max(minMemoryLimit, int64(s.Limits.MemoryMB)<<20/2)
}

type check struct{ commandline.CheckCommand }

func (c *check) Run(out io.Writer) error { return c.Check(out, name) }

func main() {
	command.Main(name, description, new(program), func(options command.ServeOptions) error {
		return (&serve{ServeOptions: options}).Run()
	})
}
