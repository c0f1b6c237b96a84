package loopback

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc/PID/stat.
const clockTick = time.Second / 100

// usage is what a process used.
type usage struct {
	cpu        time.Duration
	peakMemory int64 // bytes, resident
}

// readUsage reads from /proc what a process used; what cannot be read is zero.
func readUsage(pid int) usage {
	dir := "/proc/" + strconv.Itoa(pid)
	return usage{cpu: readCPU(dir + "/stat"), peakMemory: readPeakMemory(dir + "/status")}
}

// readCPU reads utime and stime of proc(5), the fields 14 and 15; the name in field 2 ends with a parenthesis.
func readCPU(path string) time.Duration {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= 12 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick
}

func readPeakMemory(path string) int64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes * 1024
}
