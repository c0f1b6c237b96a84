package capacity

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mulleinrouter/internal/emulator/costmodel"
)

// tinyPlan is a small plan with only the required values and counters.asked.
const tinyPlan = `size.ingresses=10
size.servers=100
size.services=10
size.routes=20
size.tenants=1000
size.requests_per_s=100
size.changes_per_day=8640
size.control_machines=3
size.regions=1
size.zones=3
size.failures_per_day=0
size.restarts_per_day=0
counters.asked=0
limits.ingress.memory=1e6
limits.ingress.cpu=0.1
limits.ingress.bytes_per_s=25e3
limits.core.memory=280e6
limits.core.cpu=0.48
limits.core.bytes_per_s=1e6
limits.added_s=0.0033
limits.change_s=7
`

// unitRun returns a run in which the cost of each series is its size: the slope is 1 and the intercept 0.
func unitRun(t *testing.T, names []string) *costmodel.Run {
	t.Helper()
	run := new(costmodel.Run)
	for _, name := range names {
		series := costmodel.Series{
			Name:    name,
			Points:  []costmodel.Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 2}, {Size: 4, Cost: 4}},
			Holdout: costmodel.Point{Size: 8, Cost: 8},
		}
		if err := series.Fit(); err != nil {
			t.Fatal(err)
		}
		run.Series = append(run.Series, series)
	}
	return run
}

func storedRunOf(t *testing.T) *costmodel.Run {
	t.Helper()
	run, err := StoredRun()
	if err != nil {
		t.Fatal(err)
	}
	return run
}

func readPlan(t *testing.T, file, text string) *Plan {
	t.Helper()
	p, err := Read(file, text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func estimateOf(t *testing.T, p *Plan, run *costmodel.Run) *Report {
	t.Helper()
	report, err := p.Estimate(run)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// findRequirement returns the first requirement of a role whose description begins with a prefix.
func findRequirement(t *testing.T, report *Report, role Role, prefix string) Requirement {
	t.Helper()
	for _, r := range report.Requirements {
		if r.Role == role && strings.HasPrefix(r.Description, prefix) {
			return r
		}
	}
	t.Fatalf("no requirement of %s that begins with %q", role, prefix)
	return Requirement{}
}

func TestTinyPlan(t *testing.T) {
	p := readPlan(t, "tiny.conf", tinyPlan)
	report := estimateOf(t, p, unitRun(t, storedRunOf(t).Names()))
	memory := findRequirement(t, report, Agent, "memory")
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		// One byte for each item and instance, and half as much again for garbage until it is collected.
		{"memory of the agent", memory.Need, 1.5 * (20 + 1000 + 10 + 100)},
		{"margin of the memory", memory.Margin(), 1e6 / 1695},
		{"scale of the memory, all of which grows with the size", memory.MaxScale, 1e6 / 1695},
		// Each of three sources sends two heartbeats, gets two renewals and sends one change a second. Each message is
		// one byte and a segment's headers.
		{"bytes of the agent", findRequirement(t, report, Agent, "bytes").Need, 67 * (6 + 6 + 3)},
		{"instances of a registry", findRequirement(t, report, Control, "instances").Need, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !(math.Abs(c.got-c.want) < 1e-6*c.want) {
				t.Errorf("got %g, want %g", c.got, c.want)
			}
		})
	}
}

// TestReportOrder checks that the requirements are ordered by the size at which their limits are reached, and that the
// report names the first of them as the one that binds first.
func TestReportOrder(t *testing.T) {
	report := estimateOf(t, readPlan(t, "tiny.conf", tinyPlan), unitRun(t, storedRunOf(t).Names()))
	order := report.Order()
	for n := 1; n < len(order); n++ {
		if order[n-1].MaxScale > order[n].MaxScale {
			t.Errorf("%q at %g is before %q at %g",
				order[n-1].Description, order[n-1].MaxScale, order[n].Description, order[n].MaxScale)
		}
	}
	var out strings.Builder
	if err := report.Write(&out); err != nil {
		t.Fatal(err)
	}
	if want := "binds first: " + string(order[0].Role); !strings.Contains(out.String(), want) {
		t.Errorf("%q is not in the report:\n%s", want, out.String())
	}
}

func TestEstimateNamesTheMissingSeries(t *testing.T) {
	_, err := readPlan(t, "tiny.conf", tinyPlan).Estimate(new(costmodel.Run))
	var missing *MissingSeriesError
	if !errors.As(err, &missing) {
		t.Fatalf("got %v, want a MissingSeriesError", err)
	}
	if want := "store.route"; missing.Series != want || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v of %q, want it to name %q", err, missing.Series, want)
	}
}

func TestReadNamesEachError(t *testing.T) {
	_, err := Read(
		"x.conf",
		"size.ingresses=0\nsize.serfers=3\nproxy.tenants=2\nlimits.change_s=soon\nsize.zones=3\nsize.zones=4\nwhat\n"+
			strings.Join(strings.Split(tinyPlan, "\n")[1:9], "\n"),
	)
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{
		"x.conf:1: size.ingresses: below 1",
		"x.conf:2: size.serfers: no such figure",
		"x.conf:3: proxy.tenants: above 1",
		"x.conf:4: limits.change_s: not a number",
		"x.conf:6: size.zones: given on line 5",
		"x.conf:7: no \"=\"",
		"limits.core.cpu: missing",
	} {
		t.Run(want, func(t *testing.T) {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("got %v, want %q in it", err, want)
			}
		})
	}
}

// TestShippedPlans checks that the files in deploy/plans can be read, and that each plan fits or does not fit as
// docs/CAPACITY.md states.
func TestShippedPlans(t *testing.T) {
	run := storedRunOf(t)
	files, err := filepath.Glob("../../../deploy/plans/*.conf")
	if err != nil || len(files) < 2 {
		t.Fatalf("got the plans %v and the error %v, want two at least", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := readPlan(t, filepath.Base(file), string(text))
			report := estimateOf(t, p, run)
			for _, r := range report.Requirements {
				if !(r.Need >= 0 && !math.IsInf(r.Need, 0)) {
					t.Errorf("%s, %s: got the need %g", r.Role, r.Description, r.Need)
				}
			}
			if got, want := report.Fits(), p.Name == "two-years-cut.conf"; got != want {
				t.Errorf("fits: got %v, want %v", got, want)
			}
		})
	}
}
