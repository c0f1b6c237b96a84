package costmodel

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Run contains all series that were measured in one run on one machine.
type Run struct {
	Date      string   `json:"date"` // date in UTC, as 2006-01-02
	Go        string   `json:"go"`   // version of the toolchain
	Processor string   `json:"processor"`
	Cores     int      `json:"cores"`
	Command   string   `json:"command"` // command that measured it
	Series    []Series `json:"-"`
}

// Find returns the series with a name, or nil if there is none.
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

// Write writes a run as lines of JSON: the first line for the run itself, then one line per series. It returns the
// errors of the writer.
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
		return fmt.Errorf("write the series: %w", err)
	}
	return nil
}

// Read reads a run that Write wrote, and fits the lines again. It returns an error of the reader or of the JSON
// decoder, or a FitError.
func Read(from io.Reader) (*Run, error) {
	decoder := json.NewDecoder(from)
	run := new(Run)
	if err := decoder.Decode(run); err != nil {
		return nil, fmt.Errorf("read the header of the run: %w", err)
	}
	for {
		var series Series
		err := decoder.Decode(&series)
		if errors.Is(err, io.EOF) {
			return run, nil
		}
		if err != nil {
			return nil, fmt.Errorf("series %d: %w", len(run.Series)+1, err)
		}
		if err := series.Fit(); err != nil {
			return nil, err
		}
		run.Series = append(run.Series, series)
	}
}
