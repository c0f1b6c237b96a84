package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/emulator/loopback"
)

// tryCmd plays the three programs on this box, with stand-ins around them.
type tryCmd struct {
	Core   int           `default:"3" help:"Control nodes."`
	Edge   int           `default:"3" help:"Edge machines, each with a proxy and an agent."`
	For    time.Duration `default:"30s" help:"How long there is traffic."`
	Faults string        `help:"A file of lines \"SECONDS NAME [TARGET]\", or fault names joined by commas."`
	Seed   uint64        `default:"1" help:"Of all that is drawn."`
	Bin    string        `default:"target" type:"existingdir" help:"Folder of proxy, agent and control."`
	Load   float64       `default:"1" help:"Of the usual 120 requests a second."`
	Brisk  bool          `help:"Hold the machines to tighter times than usual, sooner after trouble."`
	List   bool          `help:"List the faults, and do nothing else."`
}

func (c *tryCmd) Run(logger log.Logger) error {
	if c.List {
		for _, kind := range loopback.FaultKinds() {
			fmt.Printf("%-14s %s\n", kind.Name, kind.Help)
		}
		return nil
	}
	schedule, err := loopback.ParseSchedule(c.Faults, c.For, c.Seed)
	if err != nil {
		return unusable{err}
	}
	dir, err := os.MkdirTemp("", "emulator-try-")
	if err != nil {
		return err
	}
	o := loopback.Options{CoreMachines: c.Core, EdgeMachines: c.Edge, TrafficTime: c.For, Faults: schedule, Seed: c.Seed, ProgramsDir: c.Bin, Load: c.Load,
		WarmUp: 8 * time.Second, Dir: dir}
	if c.Brisk {
		o.WarmUp = 3 * time.Second
		o.Bounds = loopback.FastBounds()
		o.HeartbeatInterval = 500 * time.Millisecond
	}
	for _, x := range schedule {
		logger.Log("msg", "fault planned", "at", x.At, "name", x.Name, "target", x.Target)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := loopback.Run(ctx, o)
	if err != nil {
		return fmt.Errorf("%w\nlogs are in %s", err, dir)
	}
	var text strings.Builder
	if err := report.Write(&text); err != nil {
		return err
	}
	fmt.Print(text.String())
	if n := len(report.Violations); n > 0 {
		return fmt.Errorf("%d instances of broken rules", n)
	}
	return os.RemoveAll(dir)
}
