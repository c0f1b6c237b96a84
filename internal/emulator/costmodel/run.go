package costmodel

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Run is all that was measured at one time on one machine.
type Run struct {
	Date      string   `json:"date"` // of UTC, as 2006-01-02
	Go        string   `json:"go"`   // version of the toolchain
	Processor string   `json:"processor"`
	Cores     int      `json:"cores"`
	Command   string   `json:"command"` // that measured it
	Series    []Series `json:"-"`
}

// Find returns the series of a name; nil where there is none.
func (r *Run) Find(name string) *Series {
	for n := range r.Series {
		if r.Series[n].Name == name {
			return &r.Series[n]
		}
	}
	return nil
}

// Names returns the names of all series, sorted.
func (r *Run) Names() []string {
	var names []string
	for n := range r.Series {
		names = append(names, r.Series[n].Name)
	}
	slices.Sort(names)
	return names
}

// Write writes a run as lines of JSON: the run first, then a line for each series. It returns errors of the writer.
func (r *Run) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write the run: %w", err)
	}
	for n := range r.Series {
		if err := encoder.Encode(&r.Series[n]); err != nil {
			return fmt.Errorf("%s: %w", r.Series[n].Name, err)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("write the slopes: %w", err)
	}
	return nil
}

// Read reads what Write wrote, and fits the lines again. It returns errors of the reader, of the JSON, and FitError.
func Read(from io.Reader) (*Run, error) {
	decoder := json.NewDecoder(from)
	run := new(Run)
	if err := decoder.Decode(run); err != nil {
		return nil, fmt.Errorf("no run of slopes: %w", err)
	}
	for {
		var series Series
		err := decoder.Decode(&series)
		if errors.Is(err, io.EOF) {
			return run, nil
		}
		if err != nil {
			return nil, fmt.Errorf("slope %d: %w", len(run.Series)+1, err)
		}
		if err := series.Fit(); err != nil {
			return nil, err
		}
		run.Series = append(run.Series, series)
	}
}
