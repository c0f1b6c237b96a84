package cli

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/faultinjection"
	"mulleinrouter/internal/standalone/node"
)

const flushEvery = time.Second

// Serve serves clients.
type Serve struct {
	Config string `short:"c" type:"path" placeholder:"FILE" help:"Configuration of our own form (HCL), such as deploy/single.hcl."`

	Rehearsal string `hidden:"" type:"path"` // faults of a rehearsal, which starts processes so
}

// Run serves until SIGTERM or SIGINT.
func (s *Serve) Run(p *Program) error {
	// Signals count from the first moment: a restart may be planned before this one is up.
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1) // one that comes while another is carried out reads the newest file anyway
	signal.Notify(hup, syscall.SIGHUP)

	load, reload := config.Load, config.Reload
	if s.Config != "" {
		load = func(func(string) string) (*config.Config, error) { return config.LoadFile(s.Config) }
		reload = load
	}
	c, err := load(os.Getenv)
	if err != nil {
		return badFile{err}
	}
	if s.Rehearsal != "" {
		if c.FaultInjection, err = faultinjection.Follow(s.Rehearsal); err != nil {
			return badFile{err}
		}
	}
	node.Tune(&c.Limits)
	out := newLog(p.err)
	defer out.Flush()
	go out.run()
	logger := newLogger(out, p.LogFormat, c.LogFormat)

	n, err := node.Start(c, logger)
	if err != nil {
		return err
	}
	out.Flush()
	go func() {
		for range hup {
			again(n, logger, reload)
		}
	}()

	sig := <-term
	logger.WithFields(logrus.Fields{"code": "process-stopping", "signal": sig.String()}).Info("handing over")
	out.Flush()
	n.Drain()
	logger.WithField("code", "process-stopped").Info("all is answered")
	return nil
}

// again goes by the configuration as it is now. One that cannot be used changes nothing.
func again(n *node.Node, logger *logrus.Logger, reload func(func(string) string) (*config.Config, error)) {
	c, err := reload(os.Getenv)
	if err == nil {
		if err = n.Reload(c); err != nil {
			err = fmt.Errorf("%s: %w", cmp.Or(os.Getenv("NODE_CONFIG"), "the configuration"), err)
		}
	}
	n.CountReload(err == nil)
	if err != nil {
		logger.WithField("code", "process-reload-failed").WithError(err).Error("the configuration stays as it was")
		return
	}
	logger.WithFields(logrus.Fields{"code": "process-reloaded", "discovery": c.Discovery, "counter": c.Counter}).Info("configuration read again")
}

// newLogger writes to out, in the first form that is named.
func newLogger(out io.Writer, formats ...string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	for _, f := range formats {
		if f == "json" {
			logger.SetFormatter(&logrus.JSONFormatter{})
		}
		if f != "" {
			break
		}
	}
	return logger
}

// log gathers lines, so that not each costs a write.
type log struct {
	mu sync.Mutex
	w  *bufio.Writer
}

func newLog(w io.Writer) *log { return &log{w: bufio.NewWriterSize(w, 32<<10)} }

func (l *log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// Flush writes out what has gathered.
func (l *log) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.Flush()
}

func (l *log) run() {
	for range time.Tick(flushEvery) {
		l.Flush()
	}
}

// Check checks a file.
type Check struct {
	File string `arg:"" type:"path" help:"A configuration (.hcl, or .json as the platform gives it) or a catalogue of plans."`
}

// Run says what is in the file.
func (c *Check) Run(p *Program) error {
	kind, err := c.kind()
	if err != nil {
		return badFile{err}
	}
	if kind == "catalogue" {
		return showCatalogue(p.out, c.File)
	}
	var read *config.Config
	if kind == "json" {
		read, err = config.Load(func(name string) string {
			if name == "NODE_CONFIG" {
				return c.File
			}
			return ""
		})
	} else {
		read, err = config.LoadFile(c.File)
	}
	if err != nil {
		return badFile{err}
	}
	s := read.Settings
	servers := "from discovery at " + read.Discovery
	if read.Static {
		servers = fmt.Sprintf("%d written down", len(read.Known.Targets))
	}
	counter := read.Counter
	switch {
	case read.Embedded != "":
		counter = "embedded, at " + read.Embedded
	case counter == "":
		counter = "none"
	}
	fmt.Fprintf(p.out, "%s: a configuration in order\n", c.File)
	t := table(p.out)
	for _, row := range [][2]string{
		{"listens at", read.Listen}, {"ingress", fmt.Sprintf("%d of %d", s.Index+1, max(1, s.Gateways))}, {"quote servers", servers}, {"counter", counter},
		{"classes", fmt.Sprint(len(s.Classes))}, {"plans", fmt.Sprint(len(s.Plans))}, {"catalogue", or(read.Catalogue, "none")},
	} {
		fmt.Fprintf(t, "%s\t%s\n", row[0], row[1])
	}
	if u := read.Usage; u != nil {
		fmt.Fprintf(t, "use\trecorded in %s, told to %s\n", u.Dir, or(u.Endpoint, "nobody"))
	} else {
		fmt.Fprintf(t, "use\tnot recorded\n")
	}
	t.Flush()
	if read.Catalogue != "" {
		return showCatalogue(p.out, read.Catalogue)
	}
	return nil
}

func or(word, otherwise string) string {
	if word == "" {
		return otherwise
	}
	return word
}
