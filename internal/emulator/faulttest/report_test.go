package faulttest

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testReport is a report with one finding of an expectation about n1 to n4.
func testReport(passed bool, text string, times ...time.Duration) *Report {
	expectation := Expectation{
		Kind:    ExpectState,
		Members: []string{"n1", "n2", "n3", "n4"},
		Value:   stateDead,
		Within:  5 * time.Second,
	}
	finding := Finding{Expectation: expectation, Passed: passed, Text: text, Times: times}
	return &Report{Findings: []Finding{finding}}
}

func TestWriteTable(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports []*Report
		want    string
	}{
		{
			name:    "passed",
			reports: []*Report{testReport(true, "by all", time.Second)},
			want: "expected    of          by   passed  median  p99    max    limit  observed\n" +
				"state dead  n1 ... (4)  all  yes     1.0 s   1.0 s  1.0 s  5 s    by all\n",
		},
		{
			name:    "failed",
			reports: []*Report{testReport(false, "not in time")},
			want: "expected    of          by   passed  median  p99  max  limit  observed\n" +
				"state dead  n1 ... (4)  all  NO                        5 s    not in time\n",
		},
		{
			name: "several runs",
			reports: []*Report{
				testReport(true, "by all", time.Second),
				testReport(false, "not in time", 3*time.Second),
				testReport(true, "by all", 2*time.Second),
			},
			want: "expected        of          by   passed   median  p99    max    limit  observed\n" +
				"state dead      n1 ... (4)  all  2 of 3   2.0 s   3.0 s  3.0 s  5 s    not in time\n" +
				"all state dead                   3 times  2.0 s   3.0 s  3.0 s         \n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got strings.Builder
			WriteTable(&got, test.reports)
			if diff := cmp.Diff(test.want, got.String()); diff != "" {
				t.Errorf("WriteTable (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReportPassed(t *testing.T) {
	failed := testReport(true, "")
	failed.Problems = []string{"disk full"}
	for _, test := range []struct {
		name   string
		report *Report
		want   bool
	}{
		{"all passed", testReport(true, ""), true},
		{"one failed", testReport(false, ""), false},
		{"problem", failed, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.report.Passed(); got != test.want {
				t.Errorf("Passed() = %v, want %v", got, test.want)
			}
		})
	}
}
