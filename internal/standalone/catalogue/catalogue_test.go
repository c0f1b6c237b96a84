package catalogue

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

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

func TestParseAndFormat(t *testing.T) {
	all, err := Parse("plans.hcl", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	r := all[0]
	if r.Number != 7 || r.Holds != 1796119200 || r.Authority != plans.AuthorityCatalogue || len(r.Plans) != 2 || r.Members["00000000000000cc"] != "plus" ||
		r.Bookings[0].To-r.Bookings[0].From != 300.5 || r.Bookings[0].Units != 30050 {
		t.Errorf("%+v", r)
	}
	second := r
	second.Number, second.Authority, second.Members, second.Bookings = 8, plans.AuthorityHeader, map[string]string{}, nil
	again, err := Parse("again.hcl", Format([]plans.Revision{r, second}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]plans.Revision{r, second}, again); diff != "" {
		t.Errorf("what is written reads otherwise (-want +got):\n%s", diff)
	}
}

func TestWhatIsWrongIsToldWithItsPlace(t *testing.T) {
	for _, tc := range []struct{ name, from, to, want string }{
		{"not HCL", "revision \"7\" {", "revision \"7\" ", `f:1:14: Invalid block definition: *`},
		{"nothing", good, "", `f:1:1: revision: a catalogue needs one revision at least`},
		{"unknown key", "    price = 1", "    prize = 1", `f:9:5: Unsupported argument: An argument named "prize" is not expected here. Did you mean "price"?`},
		{"wrong type", "rate  = 4", `rate  = "much"`, `f:7:14: Unsuitable value type: *`},
		{"no number", `"7"`, `"seven"`, `f:1:1: revision.seven: the number of a revision is a whole number from 1 on, in quotes`},
		{"authority", `"catalogue"`, `"me"`, `f:3:3: revision.7.authority: "me" is neither "catalogue" nor "header"`},
		{"time", `"2026-12-01T10:00:00Z"`, `"today"`, `f:2:3: revision.7.holds: not a time such as "2026-12-01T10:00:00Z": "today"`},
		{"plan without a burst", "burst = 8", "burst = 0", `f:8:5: revision.7.plan.basic.burst: a rate needs a burst above 0: *`},
		{"member twice", `["00000000000000cc"]`, `["00000000000000bb"]`, `f:15:3: revision.7.members: 00000000000000bb is on *`},
		{"member of no plan", "    plus  = [", "    gold  = [", `f:15:3: revision.7.members.00000000000000cc: is on plan "gold", which this revision does not have`},
		{"booking too large", "30050", "3005000", `f:23:5: revision.7.booking.results.units: at Unix time *`},
		{"two revisions of one number", "\n}\n", "\n}\n" + good, `f:1:1: revision.7: another revision of this file has the same number`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if !strings.Contains(good, tc.from) {
				t.Fatal("nothing to change")
			}
			_, err := Parse("f", []byte(strings.Replace(good, tc.from, tc.to, 1)))
			if err == nil {
				t.Fatal("taken")
			}
			start, any := strings.CutSuffix(tc.want, "*")
			if got := err.Error(); got != tc.want && !(any && strings.HasPrefix(got, start)) || strings.Contains(got, "\n") {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

func TestApply(t *testing.T) {
	r := func(n uint64, holds float64) plans.Revision { return plans.Revision{Number: n, Holds: holds} }
	numbers := func(all []plans.Revision) (n []uint64) {
		for _, r := range all {
			n = append(n, r.Number)
		}
		return n
	}
	all, err := Apply([]plans.Revision{r(1, 10), r(2, 20), r(3, 100)}, r(4, 120), 50)
	if diff := cmp.Diff([]uint64{2, 3, 4}, numbers(all)); diff != "" || err != nil {
		t.Errorf("%v, what is past goes: %s", err, diff)
	}
	if _, err := Apply(all, r(4, 130), 50); !errors.Is(err, ErrStale) {
		t.Errorf("a number again: %v", err)
	}
	if _, err := Apply(all, r(5, 110), 50); !errors.Is(err, ErrEarlierStart) {
		t.Errorf("before the last one: %v", err)
	}
}

// The watched file is replaced by good and broken ones: the good ones are told, a broken one is logged once.
func TestWatcher(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plans.hcl")
	write := func(text string) {
		if err := errors.Join(os.WriteFile(path+".new", []byte(text), 0o644), os.Rename(path+".new", path)); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	lines, told := &bytes.Buffer{}, make(chan uint64, 100)
	log := logrus.New()
	log.SetOutput(lines)
	logged := make(chan struct{}, 100)
	log.AddHook(hook(logged))
	w := &Watcher{Path: path, Log: log, OnChange: func(all []plans.Revision) { told <- all[len(all)-1].Number }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	until := func(want uint64) {
		for n := range told { // an event may be told more than once
			if n == want {
				return
			}
		}
	}
	until(7)
	write("nonsense")
	<-logged
	write("nonsense")
	write(strings.Replace(good, `"7"`, `"8"`, 1))
	until(8)
	os.Remove(path)
	<-logged
	write(strings.Replace(good, `"7"`, `"9"`, 1))
	until(9)
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if n := strings.Count(lines.String(), "plans-bad-catalogue"); n != 2 || !strings.Contains(lines.String(), path+":1:1: ") {
		t.Errorf("%d lines:\n%s", n, lines)
	}
}

type hook chan struct{}

func (hook) Levels() []logrus.Level { return logrus.AllLevels }
func (h hook) Fire(*logrus.Entry) error {
	h <- struct{}{}
	return nil
}

// FuzzParse: a catalogue is refused with one line that names its place, or is valid and the same when written again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("revision \"1\" {\n  plan \"a\" {\n    open = 3\n  }\n}\n"))
	f.Add([]byte("revision \"1\" {\n  plan \"a\" {\n    rate = 1e400\n  }\n}\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		all, err := Parse("f", b)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("%q", err)
			}
			return
		}
		again, err := Parse("f", Format(all))
		if err != nil {
			t.Fatalf("%v of\n%s", err, Format(all))
		}
		if diff := cmp.Diff(all, again); diff != "" {
			t.Fatal(diff)
		}
	})
}
