package catalogue

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/plans"
)

const good = `revision "7" {
  holds         = "2026-12-01T10:00:00Z"
  authority     = "catalogue"
  bookable_rate = 500

  plan "basic" {
    rate  = 4
    burst = 8
    price = 1
  }
  plan "plus" {
    rate  = 10
    burst = 20
  }
  members = {
    basic = ["00000000000000aa", "00000000000000bb"]
    plus  = ["00000000000000cc"]
  }
  booking "results" {
    member = "00000000000000aa"
    from   = "2026-12-01T11:00:00Z"
    to     = "2026-12-01T11:05:00.500Z"
    units  = 30050
  }
}
`

// TestParseAndFormat checks the values that Parse reads, and that Parse reads the text of Format to the same revisions.
func TestParseAndFormat(t *testing.T) {
	all, err := Parse("plans.hcl", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	r := all[0]
	if r.Number != 7 || r.EffectiveAt != 1796119200 || r.Authority != plans.AuthorityCatalogue {
		t.Errorf("number %d, holds %v, authority %v; want 7, 1796119200, catalogue",
			r.Number, r.EffectiveAt, r.Authority)
	}
	if len(r.Plans) != 2 || r.Members["00000000000000cc"] != "plus" {
		t.Errorf("plans %+v, members %v; want two plans, and plus for 00000000000000cc", r.Plans, r.Members)
	}
	if b := r.Bookings[0]; b.To-b.From != 300.5 || b.Units != 30050 {
		t.Errorf("booking %+v, want 30050 units over 300.5 s", b)
	}
	second := r
	second.Number = 8
	second.Authority = plans.AuthorityHeader
	second.Members = map[string]string{}
	second.Bookings = nil
	again, err := Parse("again.hcl", Format([]plans.Revision{r, second}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]plans.Revision{r, second}, again); diff != "" {
		t.Errorf("after Format and Parse (-want +got):\n%s", diff)
	}
}

// TestParseErrorsNameThePlace checks that each error is one line that begins with the position of the mistake.
func TestParseErrorsNameThePlace(t *testing.T) {
	// from is replaced by to. A final * in want matches any text.
	for _, tc := range []struct{ name, from, to, want string }{
		{"not HCL", "revision \"7\" {", "revision \"7\" ", `f:1:14: Invalid block definition: *`},
		{"nothing", good, "", `f:1:1: revision: a catalogue needs one revision at least`},
		{"unknown key", "    price = 1", "    prize = 1",
			`f:9:5: Unsupported argument: An argument named "prize" is not expected here. Did you mean "price"?`},
		{"wrong type", "rate  = 4", `rate  = "much"`, `f:7:14: Unsuitable value type: *`},
		{"no number", `"7"`, `"seven"`,
			`f:1:1: revision.seven: the number of a revision is a whole number from 1 on, in quotes`},
		{"authority", `"catalogue"`, `"me"`, `f:3:3: revision.7.authority: "me" is neither "catalogue" nor "header"`},
		{"time", `"2026-12-01T10:00:00Z"`, `"today"`,
			`f:2:3: revision.7.holds: not a time such as "2026-12-01T10:00:00Z": "today"`},
		{"plan without a burst", "burst = 8", "burst = 0",
			`f:8:5: revision.7.plan.basic.burst: a rate needs a burst above 0: *`},
		{"member twice", `["00000000000000cc"]`, `["00000000000000bb"]`,
			`f:15:3: revision.7.members: 00000000000000bb is on *`},
		{"member of no plan", "    plus  = [", "    gold  = [",
			`f:15:3: revision.7.members.00000000000000cc: is on plan "gold", which this revision does not have`},
		{"booking too large", "30050", "3005000", `f:23:5: revision.7.booking.results.units: at Unix time *`},
		{"two revisions of one number", "\n}\n", "\n}\n" + good,
			`f:1:1: revision.7: another revision of this file has the same number`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if !strings.Contains(good, tc.from) {
				t.Fatalf("%q is not in the catalogue", tc.from)
			}
			_, err := Parse("f", []byte(strings.Replace(good, tc.from, tc.to, 1)))
			if err == nil {
				t.Fatalf("no error, want %s", tc.want)
			}
			got := err.Error()
			matches := got == tc.want
			if prefix, isPrefix := strings.CutSuffix(tc.want, "*"); isPrefix {
				matches = strings.HasPrefix(got, prefix)
			}
			if !matches || strings.Contains(got, "\n") {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

// TestApply checks that Apply removes the revisions before the one in force, and rejects a revision whose number or
// start is not after those of the last one.
func TestApply(t *testing.T) {
	r := func(n uint64, holds float64) plans.Revision { return plans.Revision{Number: n, EffectiveAt: holds} }
	numbers := func(all []plans.Revision) (n []uint64) {
		for _, r := range all {
			n = append(n, r.Number)
		}
		return n
	}
	all, err := Apply([]plans.Revision{r(1, 10), r(2, 20), r(3, 100)}, r(4, 120), 50)
	if diff := cmp.Diff([]uint64{2, 3, 4}, numbers(all)); diff != "" || err != nil {
		t.Errorf("error %v; numbers of the revision in force and the pending ones (-want +got):\n%s", err, diff)
	}
	if _, err := Apply(all, r(4, 130), 50); !errors.Is(err, ErrStale) {
		t.Errorf("Apply of the same number = %v, want %v", err, ErrStale)
	}
	if _, err := Apply(all, r(5, 110), 50); !errors.Is(err, ErrEarlierStart) {
		t.Errorf("Apply of an earlier start = %v, want %v", err, ErrEarlierStart)
	}
}

// The watched file is replaced by valid and invalid ones. OnChange receives the valid ones, and an invalid one is
// logged once, even if it is written twice.
func TestWatcher(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plans.hcl")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	received := make(chan uint64, 100)
	logger, lines := logtest.Record()
	onChange := func(all []plans.Revision) { received <- all[len(all)-1].Number }
	w := &Watcher{Path: path, Log: logger, OnChange: onChange}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	await := func(want uint64) {
		for n := range received { // one replacement may cause several events
			if n == want {
				return
			}
		}
	}
	await(7)
	write("nonsense")
	lines.Await("plans-bad-catalogue")
	write("nonsense")
	write(strings.Replace(good, `"7"`, `"8"`, 1))
	await(8)
	os.Remove(path)
	lines.Await("plans-bad-catalogue")
	write(strings.Replace(good, `"7"`, `"9"`, 1))
	await(9)
	cancel()
	if err := <-done; err != nil {
		t.Errorf("Run() = %v, want nil", err)
	}
	n := strings.Count(lines.String(), "plans-bad-catalogue")
	if n != 2 || !strings.Contains(lines.String(), path+":1:1: ") {
		t.Errorf("%d lines with plans-bad-catalogue, want 2 with the place %s:1:1:\n%s", n, path, lines)
	}
}

// FuzzParse checks that a catalogue is either rejected with an error of one line that names the position, or is valid
// and unchanged after Format and Parse.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("revision \"1\" {\n  plan \"a\" {\n    open = 3\n  }\n}\n"))
	f.Add([]byte("revision \"1\" {\n  plan \"a\" {\n    rate = 1e400\n  }\n}\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		all, err := Parse("f", b)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("error %q, want one line that begins with the position", err)
			}
			return
		}
		again, err := Parse("f", Format(all))
		if err != nil {
			t.Fatalf("Parse() = %v, want no error for the text of Format\n%s", err, Format(all))
		}
		if diff := cmp.Diff(all, again); diff != "" {
			t.Fatal(diff)
		}
	})
}
