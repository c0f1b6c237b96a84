package timechart

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// DefaultColumns is the number of columns of a chart that does not set Columns.
	DefaultColumns = 60

	empty = '.' // drawn for a column without events
	pin   = '^' // drawn below the column of an annotation
	stem  = '|' // connects a pin to the label below it
)

// bars contains the bars for columns with events, from the lowest to the highest.
var bars = []rune("▁▂▃▄▅▆▇█")

// Chart shows how often events occurred over time. The zero value is an empty chart, which is drawn as no text.
type Chart struct {
	Span        float64 // seconds from the left edge (time 0) to the right edge; must be above 0 to draw the chart
	Columns     int     // number of columns of the bars; 0 means DefaultColumns
	Rows        []Row
	Annotations []Annotation
}

// Row is one kind of event. Its bars are scaled to the highest rate of the row, which is printed after them.
type Row struct {
	Label string
	Times []float64 // seconds, in any order; times outside the span count in the first or last column
}

// Annotation is a label at one point in time. Annotations outside the span of the chart are not shown.
type Annotation struct {
	At    float64 // seconds
	Label string
}

// String draws the chart. Every line ends in a newline.
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

// labelWidth returns the width of the widest label, including the gap that follows it.
func (c Chart) labelWidth() int {
	const gap = 2
	width := 0
	for _, r := range c.Rows {
		width = max(width, len([]rune(r.Label))+gap)
	}
	return width
}

// column returns the column of a time; for a time outside the span it returns the first or last column.
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

// bar returns the bar of a count between 0 and highest. Every count above 0 gets at least the lowest bar.
func bar(count, highest int) rune {
	if count == 0 {
		return empty
	}
	return bars[(count*len(bars)+highest-1)/highest-1]
}

// drawAxis returns the line below the bars, which shows the times of the left and right edges.
func (c Chart) drawAxis() string {
	const left = "0 s"
	right := fmt.Sprintf("%g s", c.Span)
	return left + strings.Repeat(" ", max(1, c.Columns-len(left)-len(right))) + right
}

// drawAnnotations returns one line with the pins of all annotations, followed by one line for each label. The labels
// are ordered from the latest to the earliest, so that no stem crosses a label.
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

// drawAt returns a line with a marker in the column of each annotation.
func (c Chart) drawAt(annotations []Annotation, marker rune) string {
	line := []rune(strings.Repeat(" ", c.Columns))
	for _, a := range annotations {
		line[c.column(a.At)] = marker
	}
	return string(line)
}
