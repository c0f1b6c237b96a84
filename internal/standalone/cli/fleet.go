package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/quotashare"
	"mulleinrouter/internal/standalone/fleet/quotasync"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/mgmt"
)

// Fleet are the commands about the other ingresses, asked of one at its management address.
type Fleet struct {
	Members FleetMembers `cmd:"" help:"Show the members, what state they are in, and how much of the fleet is heard."`
	Links   FleetLinks   `cmd:"" help:"Show who hears whom, as a matrix."`
	Duties  FleetDuties  `cmd:"" help:"Show who holds which duty, who waits for it, and who held it before."`
	Plans   FleetPlans   `cmd:"" help:"Show which revisions of the catalogue were announced, and by whom."`
	Duty    FleetDuty    `cmd:"" help:"Hand a duty to another ingress."`
	Voters  FleetVoters  `cmd:"" help:"Show, add, remove or replace those that agree on who holds a duty."`
	State   FleetState   `cmd:"" help:"Show what an ingress shares with the others: who has how much of a member's quota, and which servers are warned of."`
	Turn    FleetTurn    `cmd:"" help:"Wait until this ingress may be restarted: the whole fleet is heard, and nobody else is starting, drained or leaving."`
}

// address is where an ingress is asked.
type address struct {
	Mgmt   string `required:"" placeholder:"HOST:PORT" help:"Management address of the ingress that is asked."`
	Output string `enum:"table,json" default:"table" help:"Form: table or json."`
}

var errNoFleet = errors.New("it does not know of other ingresses: its file has no membership in fleet")

// ask calls a management address for one line of JSON.
func (a *address) ask(call string) (string, error) {
	lines, err := mgmt.Call(a.Mgmt, call, 5*time.Second)
	if errors.Is(err, mgmt.ErrRejected) {
		return "", errNoFleet
	}
	return strings.Join(lines[:min(1, len(lines))], ""), err
}

// FleetMembers shows the members.
type FleetMembers struct{ address }

// Run asks, and prints a table.
func (c *FleetMembers) Run(p *Program) error {
	line, err := c.ask("FLEET")
	if err != nil {
		return err
	}
	if c.Output == "json" {
		fmt.Fprintln(p.out, line)
		return nil
	}
	var r gossip.Report
	if err := jsontext.Decode([]byte(line), &r); err != nil {
		return err
	}
	fmt.Fprintf(p.out, "fleet %s as %s sees it: %s for %s, %d of %d heard, view %d %s\n", r.Fleet, r.Name, r.Reachability, span(r.ForMillis), r.Alive, r.Agreed, r.View, r.Digest)
	fmt.Fprintf(p.out, "%d stalls, %d refused, %d packets and %d bytes sent\n\n", r.Pauses, r.Rejected, r.Traffic.PacketsOut, r.Traffic.BytesOut)
	t := table(p.out)
	fmt.Fprintln(t, "member\tstate\tfor\tphase\tlink\theard\tzone\tstart\taddress\tversion")
	for _, m := range r.Members {
		heard := "never"
		if m.LastContactMillis >= 0 {
			heard = span(m.LastContactMillis) + " ago"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", m.Name, m.State, span(m.ForMillis), m.Phase, m.Link, heard, m.Zone, m.Boot, m.Addr, m.Version)
	}
	return t.Flush()
}

func span(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// FleetLinks shows who hears whom.
type FleetLinks struct{ address }

// linkMarks are the matrix's.
var linkMarks = map[string]string{"both": "+", "in": "<", "none": "x", "unknown": ".", "": "?"}

// Run asks, and prints a matrix.
func (c *FleetLinks) Run(p *Program) error {
	line, err := c.ask("LINKS")
	if err != nil {
		return err
	}
	if c.Output == "json" {
		fmt.Fprintln(p.out, line)
		return nil
	}
	var rows map[string]map[string]string
	if err := jsontext.Decode([]byte(line), &rows); err != nil {
		return err
	}
	names := slices.Collect(maps.Keys(rows))
	for _, row := range rows {
		for to := range row {
			names = append(names, to)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	t := table(p.out)
	fmt.Fprintf(t, "from \\ to\t%s\n", strings.Join(names, "\t"))
	for _, from := range names {
		fmt.Fprint(t, from)
		for _, to := range names {
			mark := linkMarks[rows[from][to]]
			if from == to {
				mark = "-"
			}
			fmt.Fprintf(t, "\t%s", mark)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(p.out, "\n+ answers   < is heard, and does not answer   x neither   . not tried of late   ? its own row did not come")
	return nil
}

// told asks for what is agreed on, or has it changed.
func (a *address) told(call string) (*leaseservice.Status, string, error) {
	line, err := a.ask(call)
	if errors.Is(err, errNoFleet) {
		return nil, "", errNoLeader
	}
	if err != nil {
		return nil, "", err
	}
	t := &leaseservice.Status{}
	return t, line, jsontext.Decode([]byte(line), t)
}

var errNoLeader = errors.New("refused: it knows of no voters, no voter that leads answers, or what is asked cannot be (its log tells)")

// FleetDuties shows duties.
type FleetDuties struct{ address }

// Run asks, and prints tables.
func (c *FleetDuties) Run(p *Program) error {
	t, line, err := c.told("DUTIES")
	if err != nil {
		return err
	}
	if c.Output == "json" {
		fmt.Fprintln(p.out, line)
		return nil
	}
	fmt.Fprintf(p.out, "%s leads in term %d; voters %s\n\n", t.Leader, t.Term, strings.Join(t.Voters, " "))
	w := table(p.out)
	fmt.Fprintln(w, "duty\tholder\ttoken\twaiting")
	for _, d := range t.Roles {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", d.Role, cmp.Or(d.Holder, "nobody"), d.Token, strings.Join(d.Candidates, " "))
	}
	fmt.Fprintln(w, "\nduty\theld by\ttoken\tstart")
	for _, h := range t.History {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", h.Role, h.Holder, h.Token, h.Boot)
	}
	return w.Flush()
}

// FleetPlans shows what was announced.
type FleetPlans struct{ address }

// Run asks, and prints a table.
func (c *FleetPlans) Run(p *Program) error {
	line, err := c.ask("CATALOGUE")
	if errors.Is(err, errNoFleet) {
		return errNotAnnounced
	}
	if err != nil {
		return err
	}
	if c.Output == "json" {
		fmt.Fprintln(p.out, line)
		return nil
	}
	var a leaseservice.AnnouncerStatus
	if err := jsontext.Decode([]byte(line), &a); err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%s announces; newest token taken %d, %d messages refused\n\n", cmp.Or(a.Holder, "nobody"), a.LastToken, a.Rejected)
	w := table(p.out)
	fmt.Fprintln(w, "revision\ttoken\tdigest")
	for _, e := range a.Entries {
		fmt.Fprintf(w, "%d\t%d\t%s\n", e.Number, e.Token, e.Digest)
	}
	return w.Flush()
}

var errNotAnnounced = errors.New("its file does not say announce in catalogue: revisions hold as its own file has them")

// FleetState shows what is shared.
type FleetState struct {
	address
	Member string `placeholder:"ID" help:"Of one member alone."`
}

// Run asks, and prints a table.
func (c *FleetState) Run(p *Program) error {
	line, err := c.ask(strings.TrimSpace("STATE " + c.Member))
	if errors.Is(err, errNoFleet) {
		return errNotShared
	}
	if err != nil {
		return err
	}
	if c.Output == "json" {
		fmt.Fprintln(p.out, line)
		return nil
	}
	var r quotasync.Report
	if err := jsontext.Decode([]byte(line), &r); err != nil {
		return err
	}
	if r.CounterTrusted {
		fmt.Fprint(p.out, "the counter is trusted: quotas go by its totals")
	} else {
		fmt.Fprintf(p.out, "the counter is not trusted (%s): quotas go by loans", cmp.Or(r.Reason, "there is none"))
	}
	fmt.Fprintf(p.out, "; %.4g units a second given, %.4g taken; %d words refused; warned of %d servers %s\n\n", r.Lent, r.Borrowed, r.Rejected, len(r.WarnedServers), strings.Join(r.WarnedServers, " "))
	parts := func(all []quotashare.Loan) (text string) {
		for _, q := range all {
			text += fmt.Sprintf("%s %.4g ", q.Peer, q.Rate)
		}
		return strings.TrimSpace(text)
	}
	w := table(p.out)
	fmt.Fprintln(w, "member\tquota\tright\tasked\tgiven\ttaken\tother doors\tsilent")
	for _, m := range r.Customers {
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%s\t%s\t%s\t%s\n", m.Customer, m.Quota, m.Grant, m.Demand, parts(m.LentTo), parts(m.BorrowedFrom),
			strings.Join(m.Gateways, " "), strings.Join(m.Silent, " "))
	}
	return w.Flush()
}

var errNotShared = errors.New("its file does not say share in membership")

// FleetDuty hands one over.
type FleetDuty struct {
	Give FleetDutyGive `cmd:"" help:"Have its holder give a duty up, and a named ingress have it next."`
}

// FleetDutyGive gives one.
type FleetDutyGive struct {
	address
	Duty string `arg:"" help:"Name of the duty."`
	To   string `arg:"" help:"Name of the ingress."`
}

// Run asks for it.
func (c *FleetDutyGive) Run(p *Program) error {
	if _, _, err := c.told("GIVE " + c.Duty + " " + c.To); err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%s goes to %s as soon as its holder has let go of it; fleet duties tells\n", c.Duty, c.To)
	return nil
}

// FleetVoters shows or changes the voters.
type FleetVoters struct {
	address
	Action string   `arg:"" optional:"" enum:"list,add,remove,replace" default:"list" help:"list, add NAME, remove NAME, or replace OLD NEW."`
	Names  []string `arg:"" optional:"" help:"Names of voters."`
}

var errNames = errors.New("add and remove take one name, replace the old one and the new one")

// Run does it: of a replacement the new one is added first, and the old one goes once that is agreed on.
func (c *FleetVoters) Run(p *Program) error {
	var steps [][2]string
	switch {
	case c.Action == "list" && len(c.Names) == 0:
	case (c.Action == "add" || c.Action == "remove") && len(c.Names) == 1:
		steps = [][2]string{{c.Action, c.Names[0]}}
	case c.Action == "replace" && len(c.Names) == 2:
		steps = [][2]string{{"add", c.Names[1]}, {"remove", c.Names[0]}}
	default:
		return errNames
	}
	for _, s := range steps {
		if _, _, err := c.told("VOTERS " + s[0] + " " + s[1]); err != nil {
			return err
		}
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(200 * time.Millisecond) {
			t, _, err := c.told("DUTIES")
			if err == nil && slices.Contains(t.Voters, s[1]) == (s[0] == "add") {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s %s is not agreed on after 10 s", s[0], s[1])
			}
		}
	}
	t, _, err := c.told("DUTIES")
	if err != nil {
		return err
	}
	fmt.Fprintln(p.out, strings.Join(t.Voters, "\n"))
	return nil
}

// FleetTurn waits for a turn.
type FleetTurn struct {
	address
	Wait time.Duration `default:"0s" help:"For how long at the most; 0: it is asked once."`
}

var errNotYet = errors.New("not now: the whole fleet is not heard, or another ingress is starting, drained or leaving")

// Run asks until it is told yes.
func (c *FleetTurn) Run(p *Program) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for end := time.Now().Add(c.Wait); ; {
		_, err := c.ask("TURN")
		if err == nil {
			fmt.Fprintln(p.out, "yes")
			return nil
		}
		if !errors.Is(err, errNoFleet) {
			return err
		}
		if time.Now().After(end) {
			return errNotYet
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
	}
}
