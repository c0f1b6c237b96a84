package node

import (
	"math"
	"runtime"
	"runtime/debug"

	"mulleinrouter/internal/standalone/config"
)

const (
	// defaultSockets and defaultMemoryMB apply if the configuration has no limit of open sockets or of memory.
	defaultSockets  = 1024
	defaultMemoryMB = 192

	// clientSocketShare and upstreamSocketShare are shares of the sockets for connections to clients and to backends.
	// The rest is for discovery, the counter and the fleet.
	clientSocketShare   = 0.6
	upstreamSocketShare = 0.3

	// runtimeMemoryShare is the share of the memory that is the soft limit of the Go runtime, above which the garbage
	// collector works harder. The rest is for memory that this limit does not count, such as socket buffers and mapped
	// files, and for use above the limit.
	runtimeMemoryShare = 0.6
	// gcPercent is the growth of the heap, in percent of the live heap, before a collection. It is high because the
	// live heap is small and each collection costs CPU time.
	gcPercent         = 400
	bytesPerMegabyte  = 1 << 20
	minimumProcessors = 1 // processors of the Go runtime
)

// Tune adapts the Go runtime to the machine's limits. It sets limits that the configuration leaves at zero to their
// defaults first.
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
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(l.MemoryMB) * bytesPerMegabyte))
}
