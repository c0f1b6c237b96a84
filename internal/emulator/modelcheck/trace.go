package modelcheck

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
)

// The prefixes of lines in a trace as a text file, which contains the violation, the world, and one event per line.
const (
	tracePrefixComment = "# "
	tracePrefixWorld   = "world "
)

// Trace is an ordering that violates a property.
type Trace struct {
	Config    Config
	Events    []string // names of the events, in order
	Violation Violation
}

// String returns the trace as a text file that ReadTrace reads.
func (t *Trace) String() string {
	return fmt.Sprintf(
		tracePrefixComment+"%s: %s\n"+tracePrefixWorld+"%v\n%s\n",
		t.Violation.Property,
		t.Violation.Text,
		t.Config,
		strings.Join(t.Events, "\n"),
	)
}

// ReadTrace reads the text form of a trace. Its error is an UnknownEventError, ErrWorldCount, or that of ParseConfig.
func ReadTrace(r io.Reader) (*Trace, error) {
	t, worlds := &Trace{}, 0
	for lines := bufio.NewScanner(r); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if comment, ok := strings.CutPrefix(line, tracePrefixComment); ok && t.Violation.Property == "" {
			t.Violation.Property, t.Violation.Text, _ = strings.Cut(comment, ": ")
			continue
		}
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if conditions, ok := strings.CutPrefix(line, tracePrefixWorld); ok {
			config, err := ParseConfig(conditions)
			if err != nil {
				return nil, err
			}
			t.Config = config
			worlds++
			continue
		}
		if !slices.Contains(alphabet, kindOf(line)) {
			return nil, UnknownEventError{line}
		}
		t.Events = append(t.Events, line)
	}
	if worlds != 1 {
		return nil, ErrWorldCount
	}
	return t, nil
}

// minimize removes events from a trace as long as it still violates the same property.
func minimize(t *Trace) *Trace {
	shortest := t
	for {
		shorter := shorten(shortest)
		if shorter == nil {
			return shortest
		}
		shortest = shorter
	}
}

// shorten returns the trace without one of its events, if that still violates the same property; nil otherwise.
func shorten(t *Trace) *Trace {
	for i := range t.Events {
		violations, happened := Replay(t.Config, slices.Delete(slices.Clone(t.Events), i, i+1))
		for _, v := range violations {
			if v.Property == t.Violation.Property {
				return &Trace{Config: t.Config, Events: happened, Violation: v}
			}
		}
	}
	return nil
}
