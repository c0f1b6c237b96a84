package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// Seconds is a time since the start of traffic, or a duration.
type Seconds = float64

// Fault is one entry of a day: a fault, or planned work.
type Fault struct {
	At     Seconds
	Kind   string
	Fields []string // each a TOML assignment: name = value
}

func (f Fault) String() string {
	fields := strings.Join(append([]string{""}, f.Fields...), ", ")
	return fmt.Sprintf("  { at = %.2f, kind = %q%s },", f.At, f.Kind, fields)
}

// Day is the content of a day's file. It does not describe the traffic, which the deployment determines.
type Day struct {
	Name    string
	Seed    uint64
	One     float64 // value minus price that gives score 1
	Zero    float64 // value minus price that gives score 0
	Closing string  // the fault that ends the day, as a TOML table; empty: none
	Plan    []Fault // planned work
	Faults  []Fault
}

// String returns the day's file, in TOML.
func (d Day) String() string {
	var file strings.Builder
	fmt.Fprintf(&file, "name = %q\n", d.Name)
	fmt.Fprintf(&file, "slot = \"trouble\"\n")
	fmt.Fprintf(&file, "seed = %d\n", d.Seed)
	fmt.Fprintf(&file, "one = %g\n", d.One)
	fmt.Fprintf(&file, "zero = %g\n", d.Zero)
	if d.Closing != "" {
		fmt.Fprintf(&file, "closing = %s\n", d.Closing)
	}
	writeFaults(&file, "plan", d.Plan)
	writeFaults(&file, "faults", d.Faults)
	return file.String()
}

func writeFaults(file *strings.Builder, name string, faults []Fault) {
	fmt.Fprintf(file, "%s = [\n", name)
	for _, fault := range faults {
		fmt.Fprintln(file, fault)
	}
	fmt.Fprintln(file, "]")
}

// sortByTime sorts a day's entries by their time in milliseconds. Entries of the same millisecond keep their order.
func sortByTime(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return milliseconds(a.At) - milliseconds(b.At) })
}

func milliseconds(s Seconds) int { return int(1000 * s) }
