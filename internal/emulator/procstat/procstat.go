package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	statUserTime   = 11                // index of utime among the fields of /proc/PID/stat that follow the process name
	statSystemTime = 12                // index of stime among these fields
	clockTick      = time.Second / 100 // unit of utime and stime; USER_HZ is 100 on Linux
)

const kilobyte = 1024 // unit of the sizes in /proc/PID/status, in bytes

// CPU returns the processor time that a process has used in user and kernel mode. It wraps the errors of os.ReadFile
// and strconv.ParseInt, and returns ErrIncomplete if the statistics lack a field.
func CPU(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return parseCPU(string(text))
}

func parseCPU(stat string) (time.Duration, error) {
	_, rest, _ := strings.Cut(stat, ") ") // the process name in parentheses may contain spaces
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

// PeakMemory returns the peak resident memory of a process, in bytes. It wraps the errors of os.ReadFile and
// strconv.ParseInt, and returns ErrIncomplete if the statistics lack the value, as those of a zombie process do.
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
