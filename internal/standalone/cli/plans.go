package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/plans"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

func table(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

func now() decision.Seconds { return float64(time.Now().UnixMilli()) / 1000 }

func at(t decision.Seconds) string {
	if t == 0 {
		return "as soon as it is read"
	}
	return time.UnixMilli(int64(t * 1000)).UTC().Format(time.RFC3339)
}

var revisionBlock = regexp.MustCompile(`(?m)^\s*revision\s+"`)

// kind tells what a file is by its look: json, catalogue or hcl.
func (c *Check) kind() (string, error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return "", err
	}
	switch {
	case strings.HasPrefix(strings.TrimSpace(string(text)), "{"):
		return "json", nil
	case revisionBlock.Match(text):
		return "catalogue", nil
	}
	return "hcl", nil
}

// Plans are the commands about catalogues.
type Plans struct {
	Show  PlansShow  `cmd:"" help:"Show the revisions of a catalogue."`
	Diff  PlansDiff  `cmd:"" help:"Show what differs from one catalogue's last revision to another's. Exit code 1 if anything does."`
	Apply PlansApply `cmd:"" help:"Add the last revision of one catalogue to another, which ingresses watch."`
}

// PlansShow shows a catalogue.
type PlansShow struct {
	File   string `arg:"" type:"path" help:"The catalogue."`
	Output string `enum:"table,json" default:"table" help:"table or json."`
}

// Run shows it.
func (c *PlansShow) Run(p *Program) error {
	if c.Output == "json" {
		all, err := catalogue.Load(c.File)
		if err != nil {
			return badFile{err}
		}
		return json.NewEncoder(p.out).Encode(all)
	}
	return showCatalogue(p.out, c.File)
}

func showCatalogue(w io.Writer, path string) error {
	all, err := catalogue.Load(path)
	if err != nil {
		return badFile{err}
	}
	moment := now()
	inForce := -1
	for i, r := range all {
		if r.Holds <= moment {
			inForce = i
		}
	}
	fmt.Fprintf(w, "%s: a catalogue in order\n", path)
	for i, r := range all {
		state := "announced"
		switch {
		case i == inForce:
			state = "in force"
		case i < inForce:
			state = "past"
		}
		fmt.Fprintf(w, "\nrevision %d, %s, holds from: %s; plans are named by: %s; bookable: %g units a second; digest %s\n",
			r.Number, state, at(r.Holds), r.Authority, r.BookableRate, r.Digest())
		members := map[string]int{}
		for _, plan := range r.Members {
			members[plan]++
		}
		t := table(w)
		fmt.Fprintln(t, "  plan\tmembers\tfigures")
		for _, plan := range r.Plans {
			fmt.Fprintf(t, "  %s\t%d\t%s\n", plan.Name, members[plan.Name], plans.FormatPlan(plan))
		}
		t.Flush()
		writeBookings(w, r.Bookings)
	}
	return nil
}

func writeBookings(w io.Writer, list []plans.Booking) {
	if len(list) == 0 {
		return
	}
	t := table(w)
	fmt.Fprintln(t, "  booking\tmember\tfrom\tto\tunits\ta second")
	for _, b := range list {
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%g\t%.4g\n", b.ID, b.Member, at(b.From), at(b.To), b.Units, b.Rate())
	}
	t.Flush()
}

// PlansDiff compares two catalogues.
type PlansDiff struct {
	From string `arg:"" type:"path" help:"The older catalogue."`
	To   string `arg:"" type:"path" help:"The newer catalogue."`
}

var errDiffer = errors.New("they differ")

// Run shows the differences.
func (c *PlansDiff) Run(p *Program) error {
	from, err := last(c.From)
	if err != nil {
		return err
	}
	to, err := last(c.To)
	if err != nil {
		return err
	}
	changes := plans.Diff(from, to)
	writeChanges(p.out, changes)
	if len(changes) > 0 {
		return errDiffer
	}
	return nil
}

func writeChanges(w io.Writer, changes []plans.Change) {
	t := table(w)
	for _, c := range changes {
		fmt.Fprintf(t, "%s\t%s\t%s\t->\t%s\n", c.What, c.Name, or(c.From, "(none)"), or(c.To, "(none)"))
	}
	t.Flush()
}

// last is the last revision of a catalogue.
func last(path string) (*plans.Revision, error) {
	all, err := catalogue.Load(path)
	if err != nil {
		return nil, badFile{err}
	}
	return &all[len(all)-1], nil
}

// When is from when a change holds.
type When struct {
	Holds string `placeholder:"TIME" help:"From when it holds, such as 2026-12-01T10:00:00Z."`
	In    string `placeholder:"SPAN" default:"5s" help:"How long from now on it holds, such as 30s: time for all ingresses to hear of it. 0 for at once."`
}

func (w *When) time() (decision.Seconds, error) {
	if w.Holds != "" {
		t, err := time.Parse(time.RFC3339Nano, w.Holds)
		if err != nil {
			return 0, fmt.Errorf("--holds: not a time such as 2026-12-01T10:00:00Z: %q", w.Holds)
		}
		return float64(t.UnixMilli()) / 1000, nil
	}
	d, err := time.ParseDuration(w.In)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("--in: not a span such as 30s: %q", w.In)
	}
	return float64(time.Now().Add(d).UnixMilli()) / 1000, nil
}

// PlansApply adds a revision to a catalogue.
type PlansApply struct {
	File string `arg:"" type:"path" help:"The catalogue with the new revision as its last."`
	To   string `required:"" type:"path" placeholder:"FILE" help:"The catalogue that ingresses watch. It is made if it is not there."`
	When
	Yes bool `help:"Change it. Without this, only what would change is shown."`
}

// Run shows what changes and, if it is meant, changes it.
func (c *PlansApply) Run(p *Program) error {
	next, err := last(c.File)
	if err != nil {
		return err
	}
	var all []plans.Revision
	if _, err := os.Stat(c.To); err == nil {
		if all, err = catalogue.Load(c.To); err != nil {
			return badFile{err}
		}
	}
	if next.Holds == 0 || c.Holds != "" {
		if next.Holds, err = c.time(); err != nil {
			return err
		}
	}
	if len(all) > 0 {
		writeChanges(p.out, plans.Diff(&all[len(all)-1], next))
	}
	return save(p.out, c.To, all, *next, c.Yes)
}

// save adds a revision to a catalogue, if it is meant.
func save(w io.Writer, path string, all []plans.Revision, next plans.Revision, yes bool) error {
	all, err := catalogue.Apply(all, next, now())
	if err != nil {
		return err
	}
	if !yes {
		fmt.Fprintf(w, "revision %d would hold from %s; with --yes it is written\n", next.Number, at(next.Holds))
		return nil
	}
	if err := catalogue.Save(path, all); err != nil {
		return err
	}
	fmt.Fprintf(w, "revision %d holds from %s\n", next.Number, at(next.Holds))
	return nil
}

// Book are the commands about bookings. They change the catalogue that ingresses watch, by a revision of its own.
type Book struct {
	Add    BookAdd    `cmd:"" help:"Book units for a member and a span. Refused with what would fit if there is no room."`
	List   BookList   `cmd:"" help:"List the bookings of a catalogue's last revision."`
	Cancel BookCancel `cmd:"" help:"Cancel a booking. What it would still have allowed is free again."`
}

// BookAdd books.
type BookAdd struct {
	Catalogue string  `required:"" type:"path" placeholder:"FILE" help:"The catalogue that ingresses watch."`
	Member    string  `required:"" help:"The member, 16 hexadecimal digits."`
	From      string  `required:"" placeholder:"TIME" help:"When it begins, such as 2026-12-01T10:00:00Z."`
	For       string  `required:"" placeholder:"SPAN" help:"How long it runs, such as 5m."`
	Units     float64 `required:"" help:"Units on top of the plan's quota, spread evenly over the span."`
	ID        string  `name:"id" help:"Its name; one is made if none is given."`
}

// Run adds a revision with the booking.
func (c *BookAdd) Run(p *Program) error {
	all, err := catalogue.Load(c.Catalogue)
	if err != nil {
		return badFile{err}
	}
	from, err := time.Parse(time.RFC3339Nano, c.From)
	if err != nil {
		return fmt.Errorf("--from: not a time such as 2026-12-01T10:00:00Z: %q", c.From)
	}
	span, err := time.ParseDuration(c.For)
	if err != nil || span <= 0 {
		return fmt.Errorf("--for: not a span such as 5m: %q", c.For)
	}
	next := successor(all[len(all)-1])
	b := plans.Booking{ID: c.ID, Member: c.Member, Units: c.Units, From: float64(from.UnixMilli()) / 1000}
	b.To = b.From + span.Seconds()
	if b.ID == "" {
		b.ID = "b" + strconv.FormatUint(next.Number, 10)
	}
	next.Bookings = append(next.Bookings, b)
	if problems := next.Validate(); len(problems) > 0 {
		return fmt.Errorf("refused: %w", problems[0])
	}
	return save(p.out, c.Catalogue, all, next, true)
}

// successor is a revision that changes nothing yet and holds as soon as it is heard: bookings carry their own times.
func successor(r plans.Revision) plans.Revision {
	r.Number++
	r.Holds = max(now(), r.Holds)
	r.Members = maps.Clone(r.Members)
	// What is long over is not carried along: the catalogue would grow for ever.
	r.Bookings = slices.DeleteFunc(slices.Clone(r.Bookings), func(b plans.Booking) bool { return b.To < now()-3600 })
	return r
}

// BookList lists.
type BookList struct {
	Catalogue string `required:"" type:"path" placeholder:"FILE" help:"The catalogue."`
	Output    string `enum:"table,json" default:"table" help:"table or json."`
}

// Run lists.
func (c *BookList) Run(p *Program) error {
	r, err := last(c.Catalogue)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return json.NewEncoder(p.out).Encode(r.Bookings)
	}
	writeBookings(p.out, r.Bookings)
	return nil
}

// BookCancel cancels.
type BookCancel struct {
	ID        string `arg:"" name:"id" help:"The booking's name."`
	Catalogue string `required:"" type:"path" placeholder:"FILE" help:"The catalogue that ingresses watch."`
}

// Run adds a revision without the booking.
func (c *BookCancel) Run(p *Program) error {
	all, err := catalogue.Load(c.Catalogue)
	if err != nil {
		return badFile{err}
	}
	next := successor(all[len(all)-1])
	n := len(next.Bookings)
	next.Bookings = slices.DeleteFunc(next.Bookings, func(b plans.Booking) bool { return b.ID == c.ID })
	if len(next.Bookings) == n {
		return fmt.Errorf("there is no booking %q", c.ID)
	}
	return save(p.out, c.Catalogue, all, next, true)
}
