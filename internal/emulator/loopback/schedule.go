package loopback

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	scheduleStream = 7     // of random numbers, from the seed
	anyFault       = "any" // stands for one fault by chance
	maxDrawnTarget = 1 << 10
)

// ParseSchedule reads a schedule: the name of a file with lines "SECONDS NAME [TARGET]", where # begins a comment, or
// names joined by commas (any: one by chance), which get times between a tenth and seven tenths of the traffic time,
// and targets, by the seed. It returns a *ScheduleError for a line of a file and an *UnknownFaultError for a name.
func ParseSchedule(text string, trafficTime time.Duration, seed uint64) ([]Fault, error) {
	if text == "" {
		return nil, nil
	}
	if file, err := os.Open(text); err == nil {
		defer file.Close()
		return readSchedule(file)
	}
	return drawSchedule(strings.Split(text, ","), trafficTime, seed)
}

// readSchedule reads the lines of a schedule file.
func readSchedule(file *os.File) ([]Fault, error) {
	var list []Fault
	in := bufio.NewScanner(file)
	for n := 1; in.Scan(); n++ {
		line, _, _ := strings.Cut(in.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		scheduled, problem := parseFault(words)
		if problem != "" {
			return nil, &ScheduleError{File: file.Name(), Line: n, Problem: problem}
		}
		list = append(list, scheduled)
	}
	return list, in.Err()
}

// parseFault reads the words of one line; problem is empty where they are a fault.
func parseFault(words []string) (f Fault, problem string) {
	at, err := strconv.ParseFloat(words[0], 64)
	if err != nil || at < 0 || len(words) < 2 || len(words) > 3 {
		return f, `not "SECONDS NAME [TARGET]"`
	}
	f.At = seconds(at)
	f.Name = words[1]
	if len(words) == 3 {
		f.Target, err = strconv.Atoi(words[2])
		if err != nil || f.Target < 0 {
			return f, "the target is not a number from 0"
		}
	}
	if _, ok := faults[f.Name]; !ok {
		return f, fmt.Sprintf("no fault is named %q", f.Name)
	}
	return f, ""
}

// drawSchedule gives named faults their times and targets, and sorts them by time.
func drawSchedule(names []string, trafficTime time.Duration, seed uint64) ([]Fault, error) {
	var list []Fault
	rng := rand.New(rand.NewPCG(seed, scheduleStream))
	all := faultNames()
	for _, name := range names {
		if name == anyFault {
			name = all[rng.IntN(len(all))]
		}
		if _, ok := faults[name]; !ok {
			return nil, &UnknownFaultError{Name: name}
		}
		list = append(list, Fault{
			At:     time.Duration((0.1 + 0.6*rng.Float64()) * float64(trafficTime)),
			Name:   name,
			Target: rng.IntN(maxDrawnTarget),
		})
	}
	slices.SortStableFunc(list, func(a, b Fault) int { return int(a.At - b.At) })
	return list, nil
}
