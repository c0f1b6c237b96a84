package cli

import (
	"cmp"
	"fmt"
	"io"
	"strings"

	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/quotashare"
	"mulleinrouter/internal/standalone/fleet/quotasync"
)

// FleetPlansCommand shows the announced revisions of the catalogue.
type FleetPlansCommand struct{ ingressFlags }

// Run asks, and prints a table.
func (fp *FleetPlansCommand) Run(p *Program) error {
	return show(&fp.ingressFlags, p.out, "CATALOGUE", errNotAnnounced, writeAnnounced)
}

func writeAnnounced(out io.Writer, a *leaseservice.AnnouncerStatus) error {
	fmt.Fprintf(out, "%s announces; newest token taken %d, %d messages refused\n\n",
		cmp.Or(a.Holder, "nobody"), a.LastToken, a.Rejected)
	t := newTable(out)
	fmt.Fprintln(t, "revision\ttoken\tdigest")
	for _, e := range a.Entries {
		fmt.Fprintf(t, "%d\t%d\t%s\n", e.Number, e.Token, e.Digest)
	}
	return t.Flush()
}

// FleetStateCommand shows what the ingresses share.
type FleetStateCommand struct {
	ingressFlags
	Member string `name:"member" placeholder:"ID" help:"Of one member alone."`
}

// Run asks, and prints a table.
func (fs *FleetStateCommand) Run(p *Program) error {
	call := strings.TrimSpace("STATE " + fs.Member)
	return show(&fs.ingressFlags, p.out, call, errNothingShared, writeShared)
}

func writeShared(out io.Writer, r *quotasync.Report) error {
	if r.Sound {
		fmt.Fprint(out, "the counter is trusted: quotas go by its totals")
	} else {
		fmt.Fprintf(out, "the counter is not trusted (%s): quotas go by loans", cmp.Or(r.Why, "there is none"))
	}
	fmt.Fprintf(out, "; %.4g units a second given, %.4g taken; %d words refused; warned of %d servers %s\n\n",
		r.Given, r.Taken, r.Refused, len(r.Warned), strings.Join(r.Warned, " "))
	t := newTable(out)
	fmt.Fprintln(t, "member\tquota\tright\tasked\tgiven\ttaken\tother doors\tsilent")
	for _, m := range r.Members {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%s\t%s\t%s\t%s\n",
			m.Member, m.Quota, m.Right, m.Asked, formatParts(m.GivenTo), formatParts(m.TakenFrom),
			strings.Join(m.DoorNames, " "), strings.Join(m.Silent, " "))
	}
	return t.Flush()
}

// formatParts are the parts of a quota that other ingresses have, in one line.
func formatParts(parts []quotashare.Part) string {
	var text string
	for _, part := range parts {
		text += fmt.Sprintf("%s %.4g ", part.Name, part.Rate)
	}
	return strings.TrimSpace(text)
}
