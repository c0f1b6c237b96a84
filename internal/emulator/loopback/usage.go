package loopback

import (
	"time"

	"mulleinrouter/internal/emulator/procstat"
)

// usage is what a process used.
type usage struct {
	cpu        time.Duration
	peakMemory int64 // bytes, resident
}

// readUsage reads what a process used; what cannot be read is zero.
func readUsage(pid int) usage {
	cpu, _ := procstat.CPU(pid)
	peakMemory, _ := procstat.PeakMemory(pid)
	return usage{cpu: cpu, peakMemory: peakMemory}
}
