// Command proxy is the proxy of an edge machine. It forwards clients' requests to the servers that the agent of the
// same machine reports. See docs/design/system.md.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/cluster/command"
	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/proxy"
)

const (
	name        = commandline.Proxy
	description = "The proxy of an edge machine: it serves clients, with the data that the machine's agent sends."
)

type program struct {
	Serve serve `cmd:"" default:"withargs" help:"Serve clients until SIGTERM (the default)."`
	Check check `cmd:"" help:"Check a settings file, and print the settings that matter to this program."`

	Version     commandline.VersionCommand `cmd:"" help:"Say which version this is, with its commit and Go's."`
	VersionFlag kong.VersionFlag           `name:"version" help:"Say which version this is."`
}

type serve struct {
	commandline.SettingsFlag
	command.ServeOptions
}

func (s *serve) Run() error {
	loaded, err := command.Start(s.File, name, command.Memory{Limit: limitMemory})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	watcher := settings.NewWatcher(s.File, loaded)
	p := proxy.New(watcher, newIncarnation(), command.NewLogger(loaded, watcher))
	p.ServeMetrics(s.Metrics)
	return p.Run(ctx, hangups)
}

// limitMemory returns six tenths of the machine's memory, in bytes. The rest is left to the kernel's socket buffers and
// the agent.
func limitMemory(s *settings.Settings) int64 { return int64(s.Limits.MemoryMB) << 20 * 6 / 10 }

// newIncarnation returns a random number other than 0. It distinguishes this process from all other proxy processes of
// this machine, earlier ones included.
func newIncarnation() uint64 {
	var random [8]byte
	rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:]) | 1
}

type check struct{ commandline.CheckCommand }

func (c *check) Run(out io.Writer) error { return c.Check(out, name) }

func main() {
	command.Main(name, description, new(program), func(options command.ServeOptions) error {
		return (&serve{ServeOptions: options}).Run()
	})
}
