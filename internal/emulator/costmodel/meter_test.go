package costmodel

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

// TestMeasure measures every series at sizes far too small for meaningful figures. It checks that each series has its
// points, and is the same after a run is written and read.
func TestMeasure(t *testing.T) {
	const minSeries, minPointsTaken = 60, 4
	run, err := Measure(1000, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(run.Series); got < minSeries {
		t.Errorf("got %d series, want %d at least", got, minSeries)
	}
	var file bytes.Buffer
	if err := run.Write(&file); err != nil {
		t.Fatal(err)
	}
	again, err := Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := again.Names(), run.Names(); !slices.Equal(got, want) {
		t.Fatalf("read the series %q, want %q", got, want)
	}
	for n, series := range run.Series {
		if got, want := again.Series[n].Slope, series.Slope; got != want {
			t.Errorf("%s: read the slope %g, want %g", series.Name, got, want)
		}
		if got := len(series.Points); got < minPointsTaken {
			t.Errorf("%s: got %d points, want %d at least", series.Name, got, minPointsTaken)
		}
	}
}

func TestReadRejectsSeriesWithoutPoints(t *testing.T) {
	_, err := Read(strings.NewReader("{}\n{\"name\":\"x\"}"))
	if err == nil {
		t.Error("got no error")
	}
}
