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
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/emulator/loopback"
)

const (
	// trafficDelay is the least time from the start of the machines to the start of the traffic. The machines need it
	// to start up.
	trafficDelay = 8 * time.Second

	// briskTrafficDelay replaces trafficDelay with --brisk.
	briskTrafficDelay = 3 * time.Second

	// briskHeartbeatInterval is the interval of the servers' heartbeats with --brisk. It is shorter than the default of
	// package loopback, as the other times are.
	briskHeartbeatInterval = 500 * time.Millisecond
)

type tryCommand struct {
	Core   int           `default:"3" help:"Control nodes."`
	Edge   int           `default:"3" help:"Edge machines, each with a proxy and an agent."`
	For    time.Duration `default:"30s" help:"How long there is traffic."`
	Faults string        `help:"A file of lines \"SECONDS NAME [TARGET]\", or fault names joined by commas."`
	Seed   uint64        `default:"1" help:"Seed of all random choices."`
	Bin    string        `default:"target" type:"existingdir" help:"Folder of proxy, agent and control."`
	Load   float64       `default:"1" help:"Request rate, as a multiple of 120 requests a second."`
	Brisk  bool          `help:"Check sooner after a fault, and against shorter time limits."`
	List   bool          `help:"List the faults, and do nothing else."`
}

// Run runs the cluster, checks the invariants and prints the report. It removes the folder of the logs only if the run
// succeeds and no invariant is violated.
func (t *tryCommand) Run(logger log.Logger) error {
	if t.List {
		listFaults()
		return nil
	}
	schedule, err := loopback.ParseSchedule(t.Faults, t.For, t.Seed)
	if err != nil {
		return unusableFileError{err}
	}
	dir, err := os.MkdirTemp("", "emulator-try-")
	if err != nil {
		return err
	}
	for _, fault := range schedule {
		level.Info(logger).Log("msg", "fault planned", "at", fault.At, "name", fault.Name, "target", fault.Target)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := t.options(dir)
	options.Faults = schedule
	report, err := loopback.Run(ctx, options)
	if err != nil {
		return fmt.Errorf("%w\nlogs are in %s", err, dir)
	}
	var text strings.Builder
	if err := report.Write(&text); err != nil {
		return err
	}
	fmt.Print(text.String())
	if n := len(report.Violations); n > 0 {
		return fmt.Errorf("%d violations of rules", n)
	}
	return os.RemoveAll(dir)
}

// options returns the options of the cluster, without the faults.
func (t *tryCommand) options(dir string) loopback.Options {
	o := loopback.Options{
		CoreMachines: t.Core,
		EdgeMachines: t.Edge,
		TrafficTime:  t.For,
		Seed:         t.Seed,
		ProgramsDir:  t.Bin,
		Load:         t.Load,
		WarmUp:       trafficDelay,
		Dir:          dir,
	}
	if t.Brisk {
		o.WarmUp = briskTrafficDelay
		o.Bounds = loopback.FastBounds()
		o.HeartbeatInterval = briskHeartbeatInterval
	}
	return o
}

// listFaults prints the name and the description of each kind of fault.
func listFaults() {
	for _, kind := range loopback.FaultKinds() {
		fmt.Printf("%-14s %s\n", kind.Name, kind.Help)
	}
}
