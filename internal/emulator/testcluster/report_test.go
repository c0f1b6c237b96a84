package testcluster

import (
	"os"
	"strings"
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/usage"
)

// correctReport returns the report of a run without any violation.
func correctReport() *Report {
	return &Report{
		Groups: []GroupStats{
			{
				Name:           "basic",
				Members:        16,
				Requests:       964,
				WithRetryAfter: 63,
				ArrivedUnits:   1238,
				BilledUnits:    1237,
				UnknownUnits:   1,
				P50:            3840 * time.Microsecond,
				P99:            58512 * time.Microsecond,
				outcomes:       [outcomes]int{served: 825, rejected: 96, failed: 1, lost: 42},
			},
			{
				Name:           "plus to basic",
				Members:        4,
				Requests:       406,
				WithRetryAfter: 26,
				ArrivedUnits:   533,
				BilledUnits:    533,
				OverQuotaUnits: 2,
				P50:            3700 * time.Microsecond,
				P99:            13200 * time.Microsecond,
				outcomes:       [outcomes]int{served: 364, rejected: 32, lost: 10},
			},
		},
		ArrivedUnits:    1771,
		ArrivedRequests: 1189,
		Billed:          usage.Sum{Requests: 1188, Units: usage.ToMicroUnits(1770)},
		Unknown:         usage.Sum{Requests: 1, Units: usage.ToMicroUnits(1)},
		RepeatedBatches: 1,
		BillMatches:     true,
		PeakLimitUse:    0.274,
		MovedUse:        1.0471,
		SteadyUse:       0.5,
	}
}

func TestReportWrite(t *testing.T) {
	for _, test := range []struct {
		name   string
		file   string
		change func(r *Report)
	}{
		{"correct run", "testdata/report-correct.txt", func(*Report) {}},
		{"problems, no change of plans", "testdata/report-problems.txt", func(r *Report) {
			r.BillMatches = false
			r.MovedUse = 0
			r.Problems = []string{"one", "two"}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			want, err := os.ReadFile(test.file)
			if err != nil {
				t.Fatal(err)
			}
			r := correctReport()
			test.change(r)
			var got strings.Builder
			r.Write(&got)
			if got.String() != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got.String(), want)
			}
		})
	}
}

func TestReportPassed(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(r *Report)
		want   bool
	}{
		{"correct run", func(*Report) {}, true},
		{"at the rate limit", func(r *Report) { r.PeakLimitUse = 1 }, true},
		{"beyond the rate limit", func(r *Report) { r.PeakLimitUse = 1.01 }, false},
		{"wrong bill", func(r *Report) { r.BillMatches = false }, false},
		{"conflicting batch", func(r *Report) { r.ConflictingBatches = 1 }, false},
		{"executed twice", func(r *Report) { r.ExecutedTwice = 1 }, false},
		{"unmetered", func(r *Report) { r.Unmetered.Requests = 1 }, false},
		{"wrong answer", func(r *Report) { r.Groups[1].outcomes[wrong] = 1 }, false},
		{"problem", func(r *Report) { r.Problems = []string{"one"} }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := correctReport()
			test.change(r)
			if got := r.Passed(); got != test.want {
				t.Errorf("Passed: got %v, want %v", got, test.want)
			}
		})
	}
}
