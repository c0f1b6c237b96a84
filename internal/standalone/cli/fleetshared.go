package cli

import (
	"cmp"
	"fmt"
	"io"
	"strings"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/quotashare"
	"mulleinrouter/internal/standalone/fleet/quotasync"
)

// FleetPlansCommand shows the announced revisions of the catalogue.
type FleetPlansCommand struct{ ingressFlags }

// Run makes the call and prints the revisions as a table.
func (fp *FleetPlansCommand) Run(p *Program) error {
	return show(&fp.ingressFlags, p.out, "CATALOGUE", errAnnounceDisabled, writeAnnounced)
}

func writeAnnounced(out io.Writer, a *leaseservice.AnnouncerStatus) error {
	fmt.Fprintf(out, "%s announces; newest token taken %d, %d messages refused\n\n",
		cmp.Or(a.Holder, "nobody"), a.LastToken, a.Rejected)
	t := commandline.NewTable(out)
	fmt.Fprintln(t, "revision\ttoken\tdigest")
	for _, e := range a.Entries {
		fmt.Fprintf(t, "%d\t%d\t%s\n", e.Number, e.Token, e.Digest)
	}
	return t.Flush()
}

// FleetStateCommand shows the state that the ingresses share: quotas, loans and warnings of servers.
type FleetStateCommand struct {
	ingressFlags
	Member string `name:"member" placeholder:"ID" help:"Show only this member."`
}

// Run makes the call and prints the members' quotas and loans as a table.
func (fs *FleetStateCommand) Run(p *Program) error {
	call := strings.TrimSpace("STATE " + fs.Member)
	return show(&fs.ingressFlags, p.out, call, errSharingDisabled, writeShared)
}

func writeShared(out io.Writer, r *quotasync.Report) error {
	if r.CounterTrusted {
		fmt.Fprint(out, "the counter is trusted: quotas are enforced by its totals")
	} else {
		fmt.Fprintf(out, "the counter is not trusted (%s): quotas are enforced by loans",
			cmp.Or(r.Reason, "there is none"))
	}
	fmt.Fprintf(out, "; %.4g units a second given, %.4g taken; %d messages refused; warned of %d servers %s\n\n",
		r.Lent, r.Borrowed, r.Rejected, len(r.WarnedServers), strings.Join(r.WarnedServers, " "))
	t := commandline.NewTable(out)
	fmt.Fprintln(t, "member\tquota\tright\tasked\tgiven\ttaken\tother ingresses\tsilent")
	for _, m := range r.Customers {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%s\t%s\t%s\t%s\n",
			m.Customer, m.Quota, m.Grant, m.Demand, formatLoans(m.LentTo), formatLoans(m.BorrowedFrom),
			strings.Join(m.Gateways, " "), strings.Join(m.Silent, " "))
	}
	return t.Flush()
}

// formatLoans formats the rates that were lent or borrowed, each with its peer, on one line.
func formatLoans(loans []quotashare.Loan) string {
	var text string
	for _, loan := range loans {
		text += fmt.Sprintf("%s %.4g ", loan.Peer, loan.Rate)
	}
	return strings.TrimSpace(text)
}
