package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulleinrouter/internal/emulator/costmodel"
)

// tiny is a small plan that gives what must be given.
const tiny = `size.ingresses=10
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

// flat are slopes of which each says the same: one a thing, and nothing beside.
func flat(t *testing.T, names []string) *costmodel.Run {
	r := new(costmodel.Run)
	for _, n := range names {
		s := costmodel.Series{
			Name:    n,
			Points:  []costmodel.Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 2}, {Size: 4, Cost: 4}},
			Holdout: costmodel.Point{Size: 8, Cost: 8},
		}
		if err := s.Fit(); err != nil {
			t.Fatal(err)
		}
		r.Series = append(r.Series, s)
	}
	return r
}

func find(t *testing.T, r *Report, role, what string) Requirement {
	for _, x := range r.Requirements {
		if x.Role == role && strings.HasPrefix(x.Description, what) {
			return x
		}
	}
	t.Fatal("no row", role, what)
	return Requirement{}
}

func TestTinyPlan(t *testing.T) {
	is := is.New(t)
	run, err := StoredRun()
	is.NoErr(err)
	p, err := Read("tiny.conf", tiny)
	is.NoErr(err)
	r, err := p.Estimate(flat(t, run.Names()))
	is.NoErr(err)
	near := func(got, want float64) { t.Helper(); is.True(math.Abs(got-want) < 1e-6*want) }
	// All that there is, a byte each, and half of it more for the collector.
	memory := find(t, r, "agent", "memory")
	near(memory.Need, 1.5*(20+1000+10+100))
	near(memory.Margin(), 1e6/1695)
	near(memory.MaxScale, 1e6/1695) // it grows with the size, all of it
	// Three sources: two heartbeats and two renewals a second of each, and one change a second, told by each: a byte and
	// a segment.
	bytes := find(t, r, "agent", "bytes")
	near(bytes.Need, 67*(6+6+3))
	near(find(t, r, "control", "lines").Need, 100)
	// The first that binds is the one that is reached at the smallest part of the size, and more of it never helps.
	order := r.Order()
	for i := 1; i < len(order); i++ {
		is.True(order[i-1].MaxScale <= order[i].MaxScale)
	}
	var out strings.Builder
	is.NoErr(r.Write(&out))
	is.True(strings.Contains(out.String(), "binds first: "+order[0].Role))

	_, err = p.Estimate(new(costmodel.Run))
	is.True(err != nil && strings.Contains(err.Error(), "store.route"))
}

func TestFaultsAreNamed(t *testing.T) {
	is := is.New(t)
	_, err := Read(
		"x.conf",
		"size.ingresses=0\nsize.serfers=3\nproxy.tenants=2\nlimits.change_s=soon\nsize.zones=3\nsize.zones=4\nwhat\n"+
			strings.Join(strings.Split(tiny, "\n")[1:9], "\n"),
	)
	is.True(err != nil)
	for _, want := range []string{"x.conf:1: size.ingresses: below 1", "x.conf:2: size.serfers: no such figure",
		"x.conf:3: proxy.tenants: above 1",
		"x.conf:4: limits.change_s: not a number", "x.conf:6: size.zones: given on line 5", "x.conf:7: no \"=\"",
		"limits.core.cpu: missing"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in %v", want, err)
		}
	}
}

// TestShippedPlans: the files that ship are read, and what they say of today's mechanisms is what docs/CAPACITY.md
// tells.
func TestShippedPlans(t *testing.T) {
	is := is.New(t)
	run, err := StoredRun()
	is.NoErr(err)
	files, _ := filepath.Glob("../../../deploy/plans/*.conf")
	is.True(len(files) >= 2)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		p, err := Read(filepath.Base(file), string(text))
		is.NoErr(err)
		r, err := p.Estimate(run)
		is.NoErr(err)
		for _, x := range r.Requirements {
			is.True(x.Need >= 0 && !math.IsInf(x.Need, 0))
		}
		is.Equal(r.Fits(), p.Name == "two-years-cut.conf")
	}
}
