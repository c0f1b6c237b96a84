package commandline

import (
	"encoding/json"
	"io"
	"text/tabwriter"
)

// Formats of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const columnGap = 2 // spaces between the columns of a table

// OutputFlag is the flag of each command that prints a listing, as a table for operators or as JSON for scripts.
type OutputFlag struct {
	Output string `name:"output" enum:"table,json" default:"table" help:"Form: table or json."`
}

// JSON reports whether JSON is requested.
func (of OutputFlag) JSON() bool { return of.Output == outputJSON }

// Print writes a value as one line of JSON, or calls table to write it as text.
func (of OutputFlag) Print(out io.Writer, value any, table func(io.Writer) error) error {
	if of.JSON() {
		return json.NewEncoder(out).Encode(value)
	}
	return table(out)
}

// NewTable returns a writer that aligns columns separated by tabs, until it is flushed.
func NewTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}
