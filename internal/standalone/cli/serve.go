package cli

import (
	"cmp"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/logging"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/faultinjection"
	"mulleinrouter/internal/standalone/node"
)

// ServeCommand serves clients.
type ServeCommand struct {
	Config string `name:"config" short:"c" type:"path" placeholder:"FILE" help:"${serveConfig}"`

	Faults string `name:"rehearsal" hidden:"" type:"path"` // file of faults to inject, set by fault tests
}

// loadConfig reads the configuration that the environment or the command line names.
type loadConfig func(getenv func(string) string) (*config.Config, error)

// loaders returns the functions that read the configuration at the start (load) and at SIGHUP (reload).
func (s *ServeCommand) loaders() (load, reload loadConfig) {
	if s.Config == "" {
		return config.Load, config.Reload
	}
	load = func(func(string) string) (*config.Config, error) { return config.LoadFile(s.Config) }
	return load, load
}

// Run serves until SIGTERM or SIGINT.
func (s *ServeCommand) Run(p *Program) error {
	// Signals are caught before anything else, because a restart may be requested before this process has started up.
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	// One SIGHUP is buffered. Further ones during a reload can be dropped, because the next reload reads the newest
	// file.
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)

	load, reload := s.loaders()
	c, err := load(os.Getenv)
	if err != nil {
		return fileError{err}
	}
	if s.Faults != "" {
		if c.FaultInjection, err = faultinjection.Follow(s.Faults); err != nil {
			return fileError{err}
		}
	}
	node.Tune(&c.Limits)
	out := newBufferedLog(p.err)
	defer out.Flush()
	go out.run()
	logs := p.logSettings(c.Log)
	var inForce logging.LevelVar
	inForce.Set(logs.Level)
	logger := logging.New(out, logs.Format, &inForce)

	n, err := node.Start(c, logger)
	if err != nil {
		return err
	}
	out.Flush()
	go func() { // runs until the process exits
		for range hangUp {
			reloadNode(n, logger, reload, func(c *config.Config) { inForce.Set(p.logSettings(c.Log).Level) })
		}
	}()

	received := <-terminate
	level.Info(logger).Log("msg", "shutting down", "code", "process-stopping", "signal", received.String())
	out.Flush()
	n.Drain()
	level.Info(logger).Log("msg", "shut down: all requests answered, or aborted after the drain timeout",
		"code", "process-stopped",
	)
	return nil
}

// reloadNode reads the configuration again and applies it. It calls applied with the configuration before it logs the
// reload, so that a new log level applies to that line. An invalid configuration changes nothing.
func reloadNode(n *node.Node, logger log.Logger, reload loadConfig, applied func(*config.Config)) {
	c, err := reload(os.Getenv)
	if err == nil {
		if err = n.Reload(c); err != nil {
			err = fmt.Errorf("%s: %w", cmp.Or(os.Getenv("NODE_CONFIG"), "the configuration"), err)
		}
	}
	n.CountReload(err == nil)
	if err != nil {
		level.Error(logger).Log("msg", "configuration rejected; unchanged",
			"code", "process-reload-failed", "error", err,
		)
		return
	}
	applied(c)
	level.Info(logger).Log("msg", "configuration reloaded",
		"code", "process-reloaded", "discovery", c.Discovery, "counter", c.Counter,
	)
}
