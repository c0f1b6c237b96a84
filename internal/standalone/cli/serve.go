package cli

import (
	"cmp"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/faultinjection"
	"mulleinrouter/internal/standalone/node"
)

// ServeCommand serves clients.
type ServeCommand struct {
	Config string `name:"config" short:"c" type:"path" placeholder:"FILE" help:"${serveConfig}"`

	Faults string `name:"rehearsal" hidden:"" type:"path"` // faults to inject: fault tests start processes so
}

// loadConfig reads a configuration, as the environment and the command line name it.
type loadConfig func(getenv func(string) string) (*config.Config, error)

// loaders are how the configuration is read at the start and again at SIGHUP.
func (s *ServeCommand) loaders() (load, reload loadConfig) {
	if s.Config == "" {
		return config.Load, config.Reload
	}
	load = func(func(string) string) (*config.Config, error) { return config.LoadFile(s.Config) }
	return load, load
}

// Run serves until SIGTERM or SIGINT.
func (s *ServeCommand) Run(p *Program) error {
	// Signals count from the first moment: a restart may be planned before this process is up.
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	hangUp := make(chan os.Signal, 1) // one that comes while another is carried out reads the newest file anyway
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
	logger := newLogger(out, p.LogFormat, c.LogFormat)

	n, err := node.Start(c, logger)
	if err != nil {
		return err
	}
	out.Flush()
	go func() { // until the process exits
		for range hangUp {
			reloadNode(n, logger, reload)
		}
	}()

	received := <-terminate
	logger.WithFields(logrus.Fields{"code": "process-stopping", "signal": received.String()}).Info("shutting down")
	out.Flush()
	n.Drain()
	logger.WithField("code", "process-stopped").Info("all requests answered")
	return nil
}

// reloadNode applies the configuration as it is now. One that cannot be used changes nothing.
func reloadNode(n *node.Node, logger *logrus.Logger, reload loadConfig) {
	c, err := reload(os.Getenv)
	if err == nil {
		if err = n.Reload(c); err != nil {
			err = fmt.Errorf("%s: %w", cmp.Or(os.Getenv("NODE_CONFIG"), "the configuration"), err)
		}
	}
	n.CountReload(err == nil)
	if err != nil {
		logger.WithField("code", "process-reload-failed").WithError(err).Error("configuration rejected; unchanged")
		return
	}
	logger.WithFields(logrus.Fields{"code": "process-reloaded", "discovery": c.Discovery, "counter": c.Counter}).
		Info("configuration reloaded")
}
