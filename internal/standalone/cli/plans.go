package cli

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"time"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/plans"
)

// PlansCommands are the commands for catalogues.
type PlansCommands struct {
	Show  PlansShowCommand  `cmd:"" name:"show" help:"Show the revisions of a catalogue."`
	Diff  PlansDiffCommand  `cmd:"" name:"diff" help:"${plansDiff}"`
	Apply PlansApplyCommand `cmd:"" name:"apply" help:"${plansApply}"`
}

// PlansShowCommand shows a catalogue.
type PlansShowCommand struct {
	File string `arg:"" name:"file" type:"path" help:"The catalogue."`
	commandline.OutputFlag
}

// Run prints the catalogue.
func (ps *PlansShowCommand) Run(p *Program) error {
	if !ps.JSON() {
		return showCatalogue(p.out, ps.File)
	}
	revisions, err := loadCatalogue(ps.File)
	if err != nil {
		return err
	}
	return writeJSON(p.out, revisions)
}

// loadCatalogue reads a catalogue; its errors are of type fileError.
func loadCatalogue(path string) ([]plans.Revision, error) {
	revisions, err := catalogue.Load(path)
	if err != nil {
		return nil, fileError{err}
	}
	return revisions, nil
}

// lastRevision returns the last revision of a catalogue.
func lastRevision(path string) (*plans.Revision, error) {
	revisions, err := loadCatalogue(path)
	if err != nil {
		return nil, err
	}
	return &revisions[len(revisions)-1], nil
}

// showCatalogue prints a catalogue as tables.
func showCatalogue(w io.Writer, path string) error {
	revisions, err := loadCatalogue(path)
	if err != nil {
		return err
	}
	writeCatalogue(w, path, revisions)
	return nil
}

// writeCatalogue prints the revisions of a catalogue as tables.
func writeCatalogue(w io.Writer, path string, revisions []plans.Revision) {
	now, inForce := unixNow(), -1
	for i, r := range revisions {
		if r.EffectiveAt <= now {
			inForce = i
		}
	}
	fmt.Fprintf(w, "%s: a catalogue in order\n", path)
	for i, r := range revisions {
		state := "announced"
		switch {
		case i == inForce:
			state = "in force"
		case i < inForce:
			state = "past"
		}
		showRevision(w, r, state)
	}
}

func showRevision(w io.Writer, r plans.Revision, state string) {
	fmt.Fprintf(w, "\nrevision %d, %s, holds from: %s; plans are named by: %s; ",
		r.Number, state, formatTime(r.EffectiveAt), r.Authority)
	fmt.Fprintf(w, "bookable: %g units a second; digest %s\n", r.BookableRate, r.Digest())
	members := map[string]int{}
	for _, plan := range r.Members {
		members[plan]++
	}
	t := commandline.NewTable(w)
	fmt.Fprintln(t, "  plan\tmembers\tfigures")
	for _, plan := range r.Plans {
		fmt.Fprintf(t, "  %s\t%d\t%s\n", plan.Name, members[plan.Name], plans.FormatPlan(plan))
	}
	t.Flush()
	writeBookings(w, r.Bookings)
}

// PlansDiffCommand compares two catalogues.
type PlansDiffCommand struct {
	From string `arg:"" name:"from" type:"path" help:"The older catalogue."`
	To   string `arg:"" name:"to" type:"path" help:"The newer catalogue."`
	commandline.OutputFlag
}

// planChange is a difference between two revisions, as JSON.
type planChange struct {
	What string `json:"what"` // plan, member, booking or setting
	Name string `json:"name"`
	From string `json:"from"` // empty: only the newer revision has it
	To   string `json:"to"`   // empty: only the older revision has it
}

// Run prints the differences.
func (pd *PlansDiffCommand) Run(p *Program) error {
	from, err := lastRevision(pd.From)
	if err != nil {
		return err
	}
	to, err := lastRevision(pd.To)
	if err != nil {
		return err
	}
	changes := plans.Diff(from, to)
	if err := pd.print(p.out, changes); err != nil {
		return err
	}
	if len(changes) > 0 {
		return errCataloguesDiffer
	}
	return nil
}

// print prints differences as a table or as a JSON array.
func (pd *PlansDiffCommand) print(out io.Writer, changes []plans.Change) error {
	rows := make([]planChange, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, planChange(c))
	}
	return pd.Print(out, rows, func(out io.Writer) error {
		writeChanges(out, changes)
		return nil
	})
}

func writeChanges(w io.Writer, changes []plans.Change) {
	t := commandline.NewTable(w)
	for _, c := range changes {
		fmt.Fprintf(t, "%s\t%s\t%s\t->\t%s\n", c.What, c.Name, cmp.Or(c.From, "(none)"), cmp.Or(c.To, "(none)"))
	}
	t.Flush()
}

// startFlags set the time from which a change takes effect.
type startFlags struct {
	Holds string `name:"holds" placeholder:"TIME" help:"From when it holds, such as 2026-12-01T10:00:00Z."`
	In    string `name:"in" placeholder:"SPAN" default:"5s" help:"${plansStartIn}"`
}

func (s *startFlags) time() (decision.Seconds, error) {
	if s.Holds != "" {
		return parseTime("--holds", s.Holds)
	}
	delay, err := time.ParseDuration(s.In)
	if err != nil || delay < 0 {
		return 0, fmt.Errorf("--in: not a span such as 30s: %q", s.In)
	}
	return unixSeconds(time.Now().Add(delay)), nil
}

// parseTime parses the value of a flag as a time of RFC 3339.
func parseTime(flag, text string) (decision.Seconds, error) {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("%s: not a time such as 2026-12-01T10:00:00Z: %q", flag, text)
	}
	return unixSeconds(t), nil
}

// PlansApplyCommand adds a revision to a catalogue.
type PlansApplyCommand struct {
	File string `arg:"" name:"file" type:"path" help:"The catalogue with the new revision as its last."`
	To   string `name:"to" required:"" type:"path" placeholder:"FILE" help:"${plansApplyTo}"`
	startFlags
	Yes bool `name:"yes" help:"Change it. Without this, only what would change is shown."`
}

// Run prints the changes and, with --yes, applies them.
func (pa *PlansApplyCommand) Run(p *Program) error {
	next, err := lastRevision(pa.File)
	if err != nil {
		return err
	}
	var revisions []plans.Revision
	if _, err := os.Stat(pa.To); err == nil {
		if revisions, err = loadCatalogue(pa.To); err != nil {
			return err
		}
	}
	// The start in the file has precedence over --in, and --holds over both.
	if next.EffectiveAt == 0 || pa.Holds != "" {
		if next.EffectiveAt, err = pa.time(); err != nil {
			return err
		}
	}
	if len(revisions) > 0 {
		writeChanges(p.out, plans.Diff(&revisions[len(revisions)-1], next))
	}
	return applyRevision(p.out, pa.To, revisions, *next, pa.Yes)
}

// applyRevision adds a revision to a catalogue and saves it. Without confirmation it only prints what would be done.
func applyRevision(w io.Writer, path string, revisions []plans.Revision, next plans.Revision, confirmed bool) error {
	revisions, err := catalogue.Apply(revisions, next, unixNow())
	if err != nil {
		return err
	}
	from := formatTime(next.EffectiveAt)
	if !confirmed {
		fmt.Fprintf(w, "revision %d would hold from %s; with --yes it is written\n", next.Number, from)
		return nil
	}
	if err := catalogue.Save(path, revisions); err != nil {
		return err
	}
	fmt.Fprintf(w, "revision %d holds from %s\n", next.Number, from)
	return nil
}
