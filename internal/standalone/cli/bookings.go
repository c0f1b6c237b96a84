package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/standalone/plans"
)

// bookingRetentionSeconds is how long a booking stays in the catalogue after its end, in seconds. Without a limit the
// catalogue would grow forever.
const bookingRetentionSeconds = 3600

// BookingCommands are the commands for bookings. Each change of a booking adds a revision to the catalogue that
// ingresses watch.
type BookingCommands struct {
	Add    BookingAddCommand    `cmd:"" name:"add" help:"${bookingsAdd}"`
	List   BookingListCommand   `cmd:"" name:"list" help:"List the bookings of a catalogue's last revision."`
	Cancel BookingCancelCommand `cmd:"" name:"cancel" help:"${bookingsCancel}"`
}

// BookingAddCommand adds a booking.
type BookingAddCommand struct {
	Catalogue string  `name:"catalogue" required:"" type:"path" placeholder:"FILE" help:"${watchedCatalogue}"`
	Member    string  `name:"member" required:"" help:"The member, 16 hexadecimal digits."`
	From      string  `name:"from" required:"" placeholder:"TIME" help:"When it begins, such as 2026-12-01T10:00:00Z."`
	For       string  `name:"for" required:"" placeholder:"SPAN" help:"How long it runs, such as 5m."`
	Units     float64 `name:"units" required:"" help:"Units on top of the plan's quota, spread evenly over the span."`
	ID        string  `name:"id" help:"Its name; one is made if none is given."`
}

// Run adds a revision that contains the booking.
func (ba *BookingAddCommand) Run(p *Program) error {
	revisions, err := loadCatalogue(ba.Catalogue)
	if err != nil {
		return err
	}
	from, err := parseTime("--from", ba.From)
	if err != nil {
		return err
	}
	span, err := time.ParseDuration(ba.For)
	if err != nil || span <= 0 {
		return fmt.Errorf("--for: not a span such as 5m: %q", ba.For)
	}
	next := nextRevision(revisions[len(revisions)-1])
	booking := plans.Booking{ID: ba.ID, Member: ba.Member, Units: ba.Units, From: from, To: from + span.Seconds()}
	if booking.ID == "" {
		booking.ID = "b" + strconv.FormatUint(next.Number, 10)
	}
	next.Bookings = append(next.Bookings, booking)
	if problems := next.Validate(); len(problems) > 0 {
		return fmt.Errorf("refused: %w", problems[0])
	}
	return applyRevision(p.out, ba.Catalogue, revisions, next, true)
}

// nextRevision returns a copy of a revision with the next number and without bookings that ended more than
// bookingRetentionSeconds ago. The copy takes effect as soon as it is received, but not before the given revision. It
// needs no later time because each booking has its own start and end.
func nextRevision(r plans.Revision) plans.Revision {
	r.Number++
	r.EffectiveAt = max(unixNow(), r.EffectiveAt)
	r.Members = maps.Clone(r.Members)
	hasEnded := func(b plans.Booking) bool { return b.To < unixNow()-bookingRetentionSeconds }
	r.Bookings = slices.DeleteFunc(slices.Clone(r.Bookings), hasEnded)
	return r
}

// BookingListCommand lists bookings.
type BookingListCommand struct {
	Catalogue string `name:"catalogue" required:"" type:"path" placeholder:"FILE" help:"The catalogue."`
	commandline.OutputFlag
}

// Run prints the bookings.
func (bl *BookingListCommand) Run(p *Program) error {
	r, err := lastRevision(bl.Catalogue)
	if err != nil {
		return err
	}
	if bl.JSON() {
		return writeJSON(p.out, r.Bookings)
	}
	writeBookings(p.out, r.Bookings)
	return nil
}

// writeBookings prints bookings as a table. It prints nothing if there are none.
func writeBookings(w io.Writer, bookings []plans.Booking) {
	if len(bookings) == 0 {
		return
	}
	t := commandline.NewTable(w)
	fmt.Fprintln(t, "  booking\tmember\tfrom\tto\tunits\ta second")
	for _, b := range bookings {
		from, to := formatTime(b.From), formatTime(b.To)
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%g\t%.4g\n", b.ID, b.Member, from, to, b.Units, b.Rate())
	}
	t.Flush()
}

// BookingCancelCommand cancels a booking.
type BookingCancelCommand struct {
	ID        string `arg:"" name:"id" help:"The booking's name."`
	Catalogue string `name:"catalogue" required:"" type:"path" placeholder:"FILE" help:"${watchedCatalogue}"`
}

// Run adds a revision without the booking.
func (bc *BookingCancelCommand) Run(p *Program) error {
	revisions, err := loadCatalogue(bc.Catalogue)
	if err != nil {
		return err
	}
	next := nextRevision(revisions[len(revisions)-1])
	before := len(next.Bookings)
	next.Bookings = slices.DeleteFunc(next.Bookings, func(b plans.Booking) bool { return b.ID == bc.ID })
	if len(next.Bookings) == before {
		return fmt.Errorf("there is no booking %q", bc.ID)
	}
	return applyRevision(p.out, bc.Catalogue, revisions, next, true)
}
