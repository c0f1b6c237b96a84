// Command switchboard is the proxy of an edge machine: see docs/design/system.md.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"

	"mulleinrouter/internal/office/premises"
	"mulleinrouter/internal/switchboard"
)

var call struct {
	Serve struct {
		Settings string `short:"c" type:"path" help:"Settings file; else the one that MULLEINROUTER_CONFIG names."`
	} `cmd:"" default:"withargs" help:"Serve clients until SIGTERM."`
	Check struct {
		File string `arg:"" type:"path" help:"Settings file."`
	} `cmd:"" help:"Say what is wrong with a settings file."`
}

func main() {
	k := kong.Parse(&call, kong.Name("switchboard"), kong.Description("The proxy of an edge machine."))
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	path := call.Serve.Settings
	if k.Selected().Name == "check" {
		path = call.Check.File
	}
	p, err := premises.Load(path)
	if err == nil {
		err = p.Need("switchboard")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	if k.Selected().Name == "check" {
		fmt.Println("ok")
		return
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(int64(p.Limits.MemoryMB) << 20 * 6 / 10)
	var life [8]byte
	rand.Read(life[:])
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	watch := premises.NewWatcher(path, p)
	if err := switchboard.New(watch, binary.LittleEndian.Uint64(life[:])|1, logger).Run(ctx, hup); err != nil {
		logger.Log("part", "switchboard", "msg", "ended", "err", err)
		os.Exit(1)
	}
}
