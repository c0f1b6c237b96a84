package node

import (
	"math"
	"runtime"
	"runtime/debug"

	"mulleinrouter/internal/standalone/config"
)

const (
	defaultSockets  = 1024
	defaultMemoryMB = 192

	clientSocketShare   = 0.6 // of the sockets; what both shares leave is for discovery, the counter and the fleet
	upstreamSocketShare = 0.3

	heapShare         = 0.6 // of the memory: a soft limit, above which the collector works harder
	gcPercent         = 400 // growth over the live heap, which is small, while each collection costs CPU
	bytesPerMegabyte  = 1 << 20
	minimumProcessors = 1
)

// Tune fits the run time to the machine's limits, and sets those that the configuration leaves at zero to their
// defaults.
func Tune(l *config.Limits) {
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(minimumProcessors, int(math.Ceil(l.Cores))))
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(l.MemoryMB) * bytesPerMegabyte))
}
