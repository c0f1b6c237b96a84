package timechart

import (
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// repeat returns a list that contains one time count times.
func repeat(at float64, count int) (times []float64) {
	for range count {
		times = append(times, at)
	}
	return times
}

func TestChart(t *testing.T) {
	for _, c := range []struct {
		name  string
		chart Chart
		want  []string
	}{
		{"the zero value", Chart{}, nil},
		{"no time", Chart{Span: math.NaN(), Rows: []Row{{Label: "served"}}}, nil},
		{"no rows and annotations", Chart{Span: 5, Columns: 10}, []string{"0 s    5 s"}},
		{
			"an empty row", Chart{Span: 5, Columns: 10, Rows: []Row{{Label: "failed"}}},
			[]string{
				"failed  ..........  0, at most 0 a second",
				"        0 s    5 s",
			},
		},
		{
			"each row scaled to its highest rate, the lowest bar for a single event",
			Chart{Span: 5, Columns: 5, Rows: []Row{
				{Label: "served", Times: append(append(repeat(0.5, 80), repeat(1.5, 40)...), 4.5)},
				{Label: "no", Times: []float64{2}},
			}},
			[]string{
				"served  █▄..▁  121, at most 80 a second",
				"no      ..█..  1, at most 1 a second",
				"        0 s 5 s",
			},
		},
		{
			"events outside the span and at its edges",
			Chart{Span: 2, Columns: 4, Rows: []Row{{Label: "r", Times: []float64{-1, 0, 2, 9, 1.5, 1}}}},
			[]string{
				"r  ▆.▃█  6, at most 6 a second",
				"   0 s 2 s",
			},
		},
		{
			"annotations in any order, two in a column, one outside the span",
			Chart{
				Span: 10, Columns: 10, Rows: []Row{{Label: "r", Times: []float64{3}}},
				Annotations: []Annotation{{7, "kill"}, {2, "config"}, {11, "late"}, {7.1, "again"}},
			},
			[]string{
				"r  ...█......  1, at most 1 a second",
				"   0 s   10 s",
				"     ^    ^",
				"     |    7.1 s: again",
				"     |    7.0 s: kill",
				"     2.0 s: config",
			},
		},
		{
			"an annotation at the right edge, without rows",
			Chart{Span: 4, Columns: 4, Annotations: []Annotation{{4, "end"}}},
			[]string{"0 s 4 s", "   ^", "   4.0 s: end"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := strings.SplitAfter(c.chart.String(), "\n")
			var want []string
			for _, line := range c.want {
				want = append(want, line+"\n")
			}
			if diff := cmp.Diff(append(want, ""), got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestChartHasDefaultColumns(t *testing.T) {
	line, _, _ := strings.Cut(Chart{Span: 1, Rows: []Row{{Label: "r"}}}.String(), "\n")
	if got := strings.Count(line, string(empty)); got != DefaultColumns {
		t.Errorf("got %d columns, want %d: %q", got, DefaultColumns, line)
	}
}
