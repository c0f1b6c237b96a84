package timechart

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// DefaultColumns is the width of the bars where a chart does not state one.
	DefaultColumns = 60

	empty = '.' // a column without events
	pin   = '^' // points from an annotation to its column
	stem  = '|' // leads from a pin down to its label
)

// bars are the heights of a column with events, the lowest first.
var bars = []rune("▁▂▃▄▅▆▇█")

// Chart shows how often events took place. The zero value is a chart without rows and annotations.
type Chart struct {
	Span        float64 // seconds from the left edge, which is 0, to the right one; none is drawn unless it is above 0
	Columns     int     // of the bars; 0: DefaultColumns
	Rows        []Row
	Annotations []Annotation
}

// Row is one kind of events. Its bars are relative to its own highest, which is written beside them.
type Row struct {
	Label string
	Times []float64 // seconds, in any order; one beyond an edge counts in the column there
}

// Annotation is a label at one time, in seconds. One beyond an edge is not shown.
type Annotation struct {
	At    float64
	Label string
}

// String draws the chart. Each line ends in a line end.
func (c Chart) String() string {
	if !(c.Span > 0) {
		return ""
	}
	if c.Columns <= 0 {
		c.Columns = DefaultColumns
	}
	var b strings.Builder
	for _, r := range c.Rows {
		b.WriteString(c.drawRow(r))
	}
	indent := strings.Repeat(" ", c.labelWidth())
	for _, line := range append([]string{c.drawAxis()}, c.drawAnnotations()...) {
		b.WriteString(strings.TrimRight(indent+line, " ") + "\n")
	}
	return b.String()
}

// labelWidth is the width of the labels with the gap behind them.
func (c Chart) labelWidth() int {
	const gap = 2
	width := 0
	for _, r := range c.Rows {
		width = max(width, len([]rune(r.Label))+gap)
	}
	return width
}

// column returns the column of a time, the nearest one for a time beyond an edge.
func (c Chart) column(at float64) int {
	return min(max(int(math.Floor(at/c.Span*float64(c.Columns))), 0), c.Columns-1)
}

func (c Chart) drawRow(r Row) string {
	counts := make([]int, c.Columns)
	for _, at := range r.Times {
		counts[c.column(at)]++
	}
	highest := slices.Max(counts)
	line := make([]rune, c.Columns)
	for n, count := range counts {
		line[n] = bar(count, highest)
	}
	rate := float64(highest) * float64(c.Columns) / c.Span
	return fmt.Sprintf("%-*s%s  %d, at most %.0f a second\n", c.labelWidth(), r.Label, string(line), len(r.Times), rate)
}

// bar returns the bar of a count that is at most highest. Any count above 0 has one.
func bar(count, highest int) rune {
	if count == 0 {
		return empty
	}
	return bars[(count*len(bars)+highest-1)/highest-1]
}

// drawAxis writes the times of the edges below the bars.
func (c Chart) drawAxis() string {
	const left = "0 s"
	right := fmt.Sprintf("%g s", c.Span)
	return left + strings.Repeat(" ", max(1, c.Columns-len(left)-len(right))) + right
}

// drawAnnotations draws the pins of all annotations in one line, and below it a line for each label, the last one
// first, so that no stem crosses a label.
func (c Chart) drawAnnotations() []string {
	annotations := slices.Clone(c.Annotations)
	annotations = slices.DeleteFunc(annotations, func(a Annotation) bool { return a.At < 0 || a.At > c.Span })
	if len(annotations) == 0 {
		return nil
	}
	slices.SortStableFunc(annotations, func(a, b Annotation) int { return c.column(a.At) - c.column(b.At) })
	lines := []string{c.drawAt(annotations, pin)}
	for n := len(annotations) - 1; n >= 0; n-- {
		column := c.column(annotations[n].At)
		stems := []rune(fmt.Sprintf("%-*s", column, c.drawAt(annotations[:n], stem)))
		label := fmt.Sprintf("%.1f s: %s", annotations[n].At, annotations[n].Label)
		lines = append(lines, string(stems[:column])+label)
	}
	return lines
}

// drawAt draws a sign at the column of each annotation.
func (c Chart) drawAt(annotations []Annotation, sign rune) string {
	line := []rune(strings.Repeat(" ", c.Columns))
	for _, a := range annotations {
		line[c.column(a.At)] = sign
	}
	return string(line)
}
