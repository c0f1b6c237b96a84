package loopback

import (
	"time"

	"mulleinrouter/internal/emulator/procstat"
)

// usage is the resource usage of a process.
type usage struct {
	cpu        time.Duration
	peakMemory int64 // resident memory, bytes
}

// readUsage reads the resource usage of a process; values that cannot be read are zero.
func readUsage(pid int) usage {
	cpu, _ := procstat.CPU(pid)
	peakMemory, _ := procstat.PeakMemory(pid)
	return usage{cpu: cpu, peakMemory: peakMemory}
}
