package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclwrite"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/hclfile"
	"mulleinrouter/internal/standalone/plans"
)

// hclCatalogue is the HCL form of a catalogue, which contains the revision in force and the pending ones.
type hclCatalogue struct {
	Revisions []hclRevision `hcl:"revision,block"`
}

type hclRevision struct {
	Number    string              `hcl:"number,label"`
	Holds     string              `hcl:"holds,optional"` // time at which it takes effect; empty means when received
	Authority string              `hcl:"authority,optional"`
	Bookable  float64             `hcl:"bookable_rate,optional"`
	Members   map[string][]string `hcl:"members,optional"` // members by plan
	Plans     []hclfile.Plan      `hcl:"plan,block"`
	Bookings  []hclBooking        `hcl:"booking,block"`
}

type hclBooking struct {
	ID     string  `hcl:"id,label"`
	Member string  `hcl:"member"`
	From   string  `hcl:"from"`
	To     string  `hcl:"to"`
	Units  float64 `hcl:"units"`
}

// Parse parses the text of a catalogue. Its errors are of type *hclfile.Error and name the file, line and column.
func Parse(name string, text []byte) ([]plans.Revision, error) {
	var form hclCatalogue
	file, err := hclfile.Parse(name, text, &form)
	if err != nil {
		return nil, err
	}
	if len(form.Revisions) == 0 {
		return nil, file.ErrorAt("revision", "a catalogue needs one revision at least")
	}
	var revisions []plans.Revision
	for _, f := range form.Revisions {
		revision, err := f.parse(file)
		if err != nil {
			return nil, err
		}
		sameNumber := func(other plans.Revision) bool { return other.Number == revision.Number }
		if slices.ContainsFunc(revisions, sameNumber) {
			return nil, file.ErrorAt(f.path(), "another revision of this file has the same number")
		}
		revisions = append(revisions, *revision)
	}
	slices.SortFunc(revisions, func(a, b plans.Revision) int { return cmp.Compare(a.Number, b.Number) })
	return revisions, nil
}

// path returns the path of the revision's block, at which errors are reported.
func (r *hclRevision) path() string { return "revision." + r.Number }

// parse converts one revision and validates it.
func (r *hclRevision) parse(file *hclfile.File) (*plans.Revision, error) {
	number, err := strconv.ParseUint(r.Number, 10, 63)
	if err != nil {
		return nil, file.ErrorAt(r.path(), "the number of a revision is a whole number from 1 on, in quotes")
	}
	revision := &plans.Revision{Number: number, BookableRate: r.Bookable, Members: map[string]string{}}
	if revision.EffectiveAt, err = file.Time(r.path()+".holds", r.Holds); err != nil {
		return nil, err
	}
	if revision.Authority, err = r.authority(file); err != nil {
		return nil, err
	}
	for _, p := range r.Plans {
		revision.Plans = append(revision.Plans, p.Plan())
	}
	if err := r.parseMembers(file, revision.Members); err != nil {
		return nil, err
	}
	if revision.Bookings, err = r.bookings(file); err != nil {
		return nil, err
	}
	return revision, r.validate(file, revision)
}

func (r *hclRevision) authority(file *hclfile.File) (plans.Authority, error) {
	switch r.Authority {
	case "", "catalogue":
		return plans.AuthorityCatalogue, nil
	case "header":
		return plans.AuthorityHeader, nil
	default:
		text := fmt.Sprintf("%q is neither \"catalogue\" nor \"header\"", r.Authority)
		return 0, file.ErrorAt(r.path()+".authority", text)
	}
}

// parseMembers adds the plan of each member to a map. A member may be listed under one plan only.
func (r *hclRevision) parseMembers(file *hclfile.File, planByMember map[string]string) error {
	for plan, members := range r.Members {
		for _, m := range members {
			if other, twice := planByMember[m]; twice {
				return file.ErrorAt(r.path()+".members", fmt.Sprintf("%s is on %q and on %q", m, other, plan))
			}
			planByMember[m] = plan
		}
	}
	return nil
}

func (r *hclRevision) bookings(file *hclfile.File) (bookings []plans.Booking, err error) {
	for _, b := range r.Bookings {
		path := r.path() + ".booking." + b.ID
		booking := plans.Booking{ID: b.ID, Member: b.Member, Units: b.Units}
		if booking.From, err = file.Time(path+".from", b.From); err != nil {
			return nil, err
		}
		if booking.To, err = file.Time(path+".to", b.To); err != nil {
			return nil, err
		}
		bookings = append(bookings, booking)
	}
	return bookings, nil
}

// validate returns the errors of a revision, each with its position in the file, or nil if the revision is valid.
func (r *hclRevision) validate(file *hclfile.File, revision *plans.Revision) error {
	var found []*hclfile.Error
	for _, problem := range revision.Validate() {
		path := r.path()
		if problem.Path != "revision" {
			path += "." + problem.Path
		}
		found = append(found, file.ErrorAt(path, problem.Text))
	}
	if len(found) == 0 {
		return nil
	}
	found[0].Others = found[1:]
	return found[0]
}

// Format returns the text of a catalogue with the given revisions.
func Format(revisions []plans.Revision) []byte {
	var form hclCatalogue
	for _, r := range revisions {
		form.Revisions = append(form.Revisions, newHCLRevision(r))
	}
	out := hclwrite.NewEmptyFile()
	gohcl.EncodeIntoBody(&form, out.Body())
	return out.Bytes()
}

func newHCLRevision(r plans.Revision) hclRevision {
	form := hclRevision{
		Number:    strconv.FormatUint(r.Number, 10),
		Holds:     rfc3339(r.EffectiveAt),
		Authority: r.Authority.String(),
		Bookable:  r.BookableRate,
		Members:   map[string][]string{},
	}
	for _, p := range r.Plans {
		form.Plans = append(form.Plans, hclfile.FromPlan(p))
	}
	for member, plan := range r.Members {
		form.Members[plan] = append(form.Members[plan], member)
	}
	for _, members := range form.Members {
		slices.Sort(members)
	}
	for _, b := range r.Bookings {
		form.Bookings = append(form.Bookings, hclBooking{
			ID:     b.ID,
			Member: b.Member,
			From:   rfc3339(b.From),
			To:     rfc3339(b.To),
			Units:  b.Units,
		})
	}
	return form
}

// rfc3339 formats a Unix time for files, rounded to milliseconds. The time 0, which means that no time is set,
// gives an empty text.
func rfc3339(at decision.Seconds) string {
	if at == 0 {
		return ""
	}
	return time.UnixMilli(int64(at*1000 + 0.5)).UTC().Format("2006-01-02T15:04:05.000Z")
}
