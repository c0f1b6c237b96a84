// Package catalogue keeps the catalogue of plans in a file: HCL, replaced whole, watched by the ingresses. What a
// revision means is decided in package plans.
package catalogue

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclwrite"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/hclfile"
	"mulleinrouter/internal/standalone/plans"
)

// most bounds a file: it is read whole.
const most = 64 << 20

// file is the form of a catalogue: the revision that holds, and those that are announced.
type file struct {
	Revisions []revision `hcl:"revision,block"`
}

type revision struct {
	Number    string              `hcl:"number,label"`
	Holds     string              `hcl:"holds,optional"`
	Authority string              `hcl:"authority,optional"`
	Bookable  float64             `hcl:"bookable_rate,optional"`
	Members   map[string][]string `hcl:"members,optional"` // by plan
	Plans     []hclfile.Plan      `hcl:"plan,block"`
	Bookings  []booking           `hcl:"booking,block"`
}

type booking struct {
	ID     string  `hcl:"id,label"`
	Member string  `hcl:"member"`
	From   string  `hcl:"from"`
	To     string  `hcl:"to"`
	Units  float64 `hcl:"units"`
}

// Load reads a catalogue. Each of its revisions is valid by itself; they are in order of their numbers.
func Load(path string) ([]plans.Revision, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	if info.Size() > most {
		return nil, fmt.Errorf("%s:1:1: larger than %d bytes", path, most)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a catalogue's text. Errors name the file, line and column.
func Parse(name string, text []byte) ([]plans.Revision, error) {
	var f file
	parsed, err := hclfile.Parse(name, text, &f)
	if err != nil {
		return nil, err
	}
	if len(f.Revisions) == 0 {
		return nil, parsed.ErrorAt("revision", "a catalogue needs one revision at least")
	}
	var all []plans.Revision
	for _, w := range f.Revisions {
		r, err := w.read(parsed)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(all, func(o plans.Revision) bool { return o.Number == r.Number }) {
			return nil, parsed.ErrorAt("revision."+w.Number, "another revision of this file has the same number")
		}
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b plans.Revision) int { return int(int64(a.Number) - int64(b.Number)) })
	return all, nil
}

func (w *revision) read(f *hclfile.File) (*plans.Revision, error) {
	here := "revision." + w.Number
	n, err := strconv.ParseUint(w.Number, 10, 63)
	if err != nil {
		return nil, f.ErrorAt(here, "the number of a revision is a whole number from 1 on, in quotes")
	}
	r := &plans.Revision{Number: n, BookableRate: w.Bookable, Members: map[string]string{}}
	if r.Holds, err = f.Time(here+".holds", w.Holds); err != nil {
		return nil, err
	}
	switch w.Authority {
	case "", "catalogue":
		r.Authority = plans.AuthorityCatalogue
	case "header":
		r.Authority = plans.AuthorityHeader
	default:
		return nil, f.ErrorAt(here+".authority", fmt.Sprintf("%q is neither \"catalogue\" nor \"header\"", w.Authority))
	}
	for _, p := range w.Plans {
		r.Plans = append(r.Plans, p.Plan())
	}
	for plan, members := range w.Members {
		for _, m := range members {
			if other, twice := r.Members[m]; twice {
				return nil, f.ErrorAt(here+".members", fmt.Sprintf("%s is on %q and on %q", m, other, plan))
			}
			r.Members[m] = plan
		}
	}
	for _, b := range w.Bookings {
		at := here + ".booking." + b.ID
		x := plans.Booking{ID: b.ID, Member: b.Member, Units: b.Units}
		if x.From, err = f.Time(at+".from", b.From); err != nil {
			return nil, err
		}
		if x.To, err = f.Time(at+".to", b.To); err != nil {
			return nil, err
		}
		r.Bookings = append(r.Bookings, x)
	}
	if problems := r.Validate(); len(problems) > 0 {
		p := problems[0]
		if p.Where == "revision" {
			p.Where = here
		} else {
			p.Where = here + "." + p.Where
		}
		err := f.ErrorAt(p.Where, p.Text).(*hclfile.Error)
		err.More = len(problems) - 1
		return nil, err
	}
	return r, nil
}

// Format writes revisions as a catalogue's text.
func Format(all []plans.Revision) []byte {
	var f file
	for _, r := range all {
		w := revision{Number: strconv.FormatUint(r.Number, 10), Holds: rfc3339(r.Holds), Authority: r.Authority.String(),
			Bookable: r.BookableRate, Members: map[string][]string{}}
		for _, p := range r.Plans {
			w.Plans = append(w.Plans, hclfile.FromPlan(p))
		}
		for m, plan := range r.Members {
			w.Members[plan] = append(w.Members[plan], m)
		}
		for _, list := range w.Members {
			slices.Sort(list)
		}
		for _, b := range r.Bookings {
			w.Bookings = append(w.Bookings, booking{ID: b.ID, Member: b.Member, From: rfc3339(b.From), To: rfc3339(b.To), Units: b.Units})
		}
		f.Revisions = append(f.Revisions, w)
	}
	out := hclwrite.NewEmptyFile()
	gohcl.EncodeIntoBody(&f, out.Body())
	return out.Bytes()
}

func rfc3339(at decision.Seconds) string {
	if at == 0 {
		return ""
	}
	return time.UnixMilli(int64(at*1000 + 0.5)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// Save replaces a catalogue whole: an ingress that looks meanwhile sees the old one or the new one.
func Save(path string, all []plans.Revision) error {
	temp, err := os.CreateTemp(filepath.Dir(path), ".catalogue-*")
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	defer os.Remove(temp.Name())
	_, err = temp.Write(Format(all))
	err = errors.Join(err, temp.Chmod(0o644), temp.Sync(), temp.Close())
	if err == nil {
		err = os.Rename(temp.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	return nil
}

// Errors of changing a catalogue.
var (
	ErrStale = errors.New("its number is not above the last one's")
	ErrEarlierStart = errors.New("it holds before the last one does")
)

// Apply adds a revision to those of a catalogue, and leaves out what is past by now: all below the one in force.
func Apply(all []plans.Revision, r plans.Revision, now decision.Seconds) ([]plans.Revision, error) {
	if n := len(all); n > 0 {
		if last := &all[n-1]; r.Number <= last.Number {
			return nil, fmt.Errorf("revision %d: %w: %d", r.Number, ErrStale, last.Number)
		} else if r.Holds > 0 && r.Holds < last.Holds {
			return nil, fmt.Errorf("revision %d: %w", r.Number, ErrEarlierStart)
		}
	}
	keep := 0
	for i := range all {
		if all[i].Holds <= now {
			keep = i
		}
	}
	return append(slices.Clone(all[keep:]), r), nil
}
