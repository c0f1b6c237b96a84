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
	scheduleStream = 7       // identifier of the stream of random numbers that is derived from the seed
	anyFault       = "any"   // name that stands for a random fault
	maxDrawnTarget = 1 << 10 // upper limit, not reached, of drawn targets
)

// ParseSchedule parses a schedule. The text is either the name of a file or a comma-separated list of fault names; an
// empty text means no faults. Lines of a file have the form "SECONDS NAME [TARGET]", and # begins a comment. For a
// list, the seed determines the targets and the times, which are between 10% and 70% of the traffic time; the name
// "any" means a random fault. ParseSchedule returns a *ScheduleError for an invalid line of a file and an
// *UnknownFaultError for an unknown name in a list.
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

// parseFault parses the words of one line; problem is empty if they are valid.
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

// drawSchedule draws times and targets for the named faults, and sorts the faults by time.
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
