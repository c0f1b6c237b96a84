package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// The fields of /proc/PID/stat behind the name, and their unit: USER_HZ is 100 on Linux.
const (
	statUserTime   = 11
	statSystemTime = 12
	clockTick      = time.Second / 100
)

const kilobyte = 1024 // unit of /proc/PID/status

// CPU returns the processor time that a process has used, of user and system. It wraps the errors of os.ReadFile and
// strconv.ParseInt, and returns ErrIncomplete.
func CPU(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return parseCPU(string(text))
}

func parseCPU(stat string) (time.Duration, error) {
	_, rest, _ := strings.Cut(stat, ") ") // the name before it may contain blanks
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTime {
		return 0, ErrIncomplete
	}
	var ticks time.Duration
	for _, field := range fields[statUserTime : statSystemTime+1] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		ticks += time.Duration(n)
	}
	return ticks * clockTick, nil
}

// PeakMemory returns the most memory that a process has had resident, in bytes. It wraps the errors of os.ReadFile and
// strconv.ParseInt, and returns ErrIncomplete, also for a process that has ended.
func PeakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("peak memory: %w", err)
	}
	return parsePeakMemory(string(text))
}

func parsePeakMemory(status string) (int64, error) {
	_, rest, _ := strings.Cut(status, "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, ErrIncomplete
	}
	n, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("peak memory: %w", err)
	}
	return n * kilobyte, nil
}
