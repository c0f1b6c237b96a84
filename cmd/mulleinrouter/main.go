// Command mulleinrouter is one real ingress: it takes clients' requests on a socket, has the decision
// module decide on each, and carries that out on the sockets of quote servers and the quota counter.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/config"
	"mulleinrouter/internal/counter"
	"mulleinrouter/internal/discovery"
	"mulleinrouter/internal/engine"
	"mulleinrouter/internal/ingress"
	"mulleinrouter/internal/upstream"
	"mulleinrouter/passhub"
)

const (
	// After SIGTERM the front goes on sending for up to 0.4 s; SIGKILL comes after 3.7 s at the soonest.
	handOver = 500 * time.Millisecond
	patience = 2700 * time.Millisecond
	rest     = 300 * time.Millisecond

	defaultSockets  = 1024
	defaultMemoryMB = 192
	clientShare     = 0.6 // of the sockets; the rest is for the quote servers and a few others
	upstreamShare   = 0.3
	heapShare       = 0.6 // of the memory: beyond it the collector works harder, not before
	lazyGC          = 400 // percent of the live heap: it is small, and collections cost CPU
	flushEvery      = time.Second
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mulleinrouter:", err)
		os.Exit(1)
	}
}

func run() error {
	// Signals count from the first moment: a restart may be planned before this one is up.
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1) // one that comes while another is carried out reads the newest file anyway
	signal.Notify(hup, syscall.SIGHUP)

	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	tune(&c.Limits)
	out := &log{w: bufio.NewWriterSize(os.Stderr, 32<<10)}
	defer out.Flush()
	go out.run()
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})

	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	eng := engine.New(passhub.New(c.Settings, c.Seed), engine.NewClock())
	var count *counter.Client
	if c.Counter != "" {
		count = counter.New(c.Counter, seconds(c.Settings.CountWait), eng.Counted, logger)
		defer count.Close()
		eng.Start(count)
	} else {
		eng.Start(nil)
	}

	directory := &discovery.Directory{}
	watcher := &discovery.Watcher{Addr: c.Discovery, Directory: directory, Tell: eng.Backends, Log: logger}
	if c.Known != nil {
		watcher.Known(c.Known)
	}
	go watcher.Run(ctx)
	go reload(hup, watcher, count, logger)

	pool := upstream.New(directory.Lookup, upstream.Limits{
		Connections:    int(upstreamShare * float64(c.Limits.Sockets)),
		ConnectTimeout: seconds(c.Settings.ConnectTimeout),
		Keepalive:      seconds(c.Settings.Keepalive),
	}, logger)
	go pool.Run(ctx)

	server := ingress.New(&c.Settings, eng, pool, int(clientShare*float64(c.Limits.Sockets)), logger)
	go server.Serve(listener)
	logger.WithFields(logrus.Fields{"code": "process-started", "name": c.Name, "listen": listener.Addr().String()}).Info("serving")
	out.Flush()

	sig := <-term
	logger.WithFields(logrus.Fields{"code": "process-stopping", "signal": sig.String()}).Info("handing over")
	out.Flush()
	server.Leave()
	time.Sleep(handOver) // the front still sends
	listener.Close()
	server.Drain(patience, rest)
	logger.WithField("code", "process-stopped").Info("all is answered")
	return nil
}

// reload moves to the addresses that the configuration names whenever SIGHUP comes. The rest of the file
// holds from the next start on.
func reload(hup <-chan os.Signal, watcher *discovery.Watcher, count *counter.Client, logger *logrus.Logger) {
	for range hup {
		c, err := config.Reload(os.Getenv)
		if err == nil && count != nil && c.Counter == "" {
			err = errors.New("counter: no address")
		}
		if err != nil {
			logger.WithField("code", "process-reload-failed").WithError(err).Error("the configuration stays as it was")
			continue
		}
		watcher.Move(c.Discovery)
		if count != nil {
			count.Move(c.Counter)
		}
		logger.WithFields(logrus.Fields{"code": "process-reloaded", "discovery": c.Discovery, "counter": c.Counter}).Info("configuration read again")
	}
}

// tune fits the run time to the machine's limits, and fills in those that were not told.
func tune(l *config.Limits) {
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	debug.SetGCPercent(lazyGC)
	debug.SetMemoryLimit(int64(heapShare * float64(l.MemoryMB) * (1 << 20)))
}

func seconds(s passhub.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }

// log gathers lines, so that not each costs a write.
type log struct {
	mu sync.Mutex
	w  *bufio.Writer
}

var _ io.Writer = (*log)(nil)

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
