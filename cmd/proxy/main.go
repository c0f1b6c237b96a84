// Command proxy is the proxy of an edge machine: it serves clients. See docs/design/system.md.
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
	description = "The proxy of an edge machine: it serves clients, with what the agent beside it knows."
)

type program struct {
	Serve serve `cmd:"" default:"withargs" help:"Serve clients until SIGTERM (the default)."`
	Check check `cmd:"" help:"Check a settings file, and say what is in it that matters here."`

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
	p := proxy.New(settings.NewWatcher(s.File, loaded), newIncarnation(), command.NewLogger())
	p.ServeMetrics(s.Metrics)
	return p.Run(ctx, hangups)
}

// limitMemory leaves four tenths of the machine's memory to the kernel's socket buffers and the agent.
func limitMemory(s *settings.Settings) int64 { return int64(s.Limits.MemoryMB) << 20 * 6 / 10 }

// newIncarnation returns a number that no other process of this machine has had, not 0.
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
