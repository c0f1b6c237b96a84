package command

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/cluster/linkfaults"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/logging"
)

// LinkFaultsFlag is the flag for the file of package linkfaults.
type LinkFaultsFlag struct {
	LinkFaults string `name:"links" hidden:"" help:"For fault tests: a file of hosts to partition from."`
}

// Dialer returns a dialer that opens connections with dial and blocks them as the file says, which is read again until
// the context ends. Without a file it returns dial.
func (lf LinkFaultsFlag) Dialer(ctx context.Context, dial linkfaults.DialFunc) (linkfaults.DialFunc, error) {
	injector, err := linkfaults.NewInjector(ctx, lf.LinkFaults)
	if err != nil {
		return nil, err
	}
	return injector.Dialer(dial), nil
}

// Memory configures how a program uses memory, which is scarce on the machines of the system.
type Memory struct {
	// GCPercent is the growth of the heap that starts a garbage collection, in percent; 0 means Go's default.
	GCPercent int
	// Limit returns the memory use above which the garbage collector works harder, in bytes.
	Limit func(*settings.Settings) int64
}

// Start loads the settings of a program that serves, and sets the limits of the Go runtime: the memory limit, and a
// single thread at a time, because the machines run only one. From here on SIGHUP is ignored until the program asks to
// be notified of it, because the signal means that the settings have changed and must not end a process that has not
// read them yet.
func Start(file, program string, memory Memory) (*settings.Settings, error) {
	signal.Ignore(syscall.SIGHUP)
	if memory.GCPercent > 0 {
		debug.SetGCPercent(memory.GCPercent)
	}
	runtime.GOMAXPROCS(1)
	s, err := commandline.Load(file, program)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(memory.Limit(s))
	return s, nil
}

// NewLogger returns the logger of a program, which writes to standard error in the format of the settings and at the
// given level. A program that reloads its settings while it runs passes its settings.Watcher as the leveler.
func NewLogger(s *settings.Settings, leveler logging.Leveler) log.Logger {
	return logging.New(os.Stderr, s.Log.Format, leveler)
}
