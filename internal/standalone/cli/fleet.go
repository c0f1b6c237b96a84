package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/mgmt"
)

const (
	callTimeout  = 5 * time.Second        // bounds a call to an ingress that does not answer
	pollInterval = 200 * time.Millisecond // between calls while waiting for a state
)

// FleetCommands are the commands for a fleet. They call one ingress at its management address.
type FleetCommands struct {
	Members FleetMembersCommand `cmd:"" name:"members" help:"${fleetMembers}"`
	Links   FleetLinksCommand   `cmd:"" name:"links" help:"Show who hears whom, as a matrix."`
	Leases  FleetLeasesCommand  `cmd:"" name:"duties" help:"${fleetLeases}"`
	Plans   FleetPlansCommand   `cmd:"" name:"plans" help:"${fleetPlans}"`
	Lease   FleetLeaseCommands  `cmd:"" name:"duty" help:"Hand a duty to another ingress."`
	Voters  FleetVotersCommand  `cmd:"" name:"voters" help:"${fleetVoters}"`
	State   FleetStateCommand   `cmd:"" name:"state" help:"${fleetState}"`
	Turn    FleetTurnCommand    `cmd:"" name:"turn" help:"${fleetTurn}"`
}

// ingressFlags select the ingress to call and the format in which its reply is printed.
type ingressFlags struct {
	Mgmt string `name:"mgmt" required:"" placeholder:"HOST:PORT" help:"${ingressMgmt}"`
	commandline.OutputFlag
}

// callIngress makes a call and returns the first line of the reply, or an empty string if there is none. If the ingress
// rejects the call, it returns the given error.
func (i *ingressFlags) callIngress(call string, rejected error) (string, error) {
	lines, err := mgmt.Call(i.Mgmt, call, callTimeout)
	if errors.Is(err, mgmt.ErrRejected) {
		return "", rejected
	}
	return strings.Join(lines[:min(1, len(lines))], ""), err
}

// show makes a call whose reply is JSON. With --output json it prints the reply unchanged, otherwise it decodes the
// reply and prints it with write.
func show[T any](i *ingressFlags, out io.Writer, call string, rejected error, write func(io.Writer, *T) error) error {
	line, err := i.callIngress(call, rejected)
	if err != nil {
		return err
	}
	if i.JSON() {
		fmt.Fprintln(out, line)
		return nil
	}
	var answer T
	if err := jsontext.Decode([]byte(line), &answer); err != nil {
		return err
	}
	return write(out, &answer)
}

// FleetMembersCommand shows the members of the fleet.
type FleetMembersCommand struct{ ingressFlags }

// Run makes the call and prints the members as a table.
func (fm *FleetMembersCommand) Run(p *Program) error {
	return show(&fm.ingressFlags, p.out, "FLEET", errNoMembership, writeMembers)
}

func writeMembers(out io.Writer, r *gossip.Report) error {
	fmt.Fprintf(out, "fleet %s as %s sees it: %s for %s, %d of %d heard, view %d %s\n",
		r.Fleet, r.Name, r.Reachability, formatSpan(r.ForMillis), r.Alive, r.Agreed, r.View, r.Digest)
	fmt.Fprintf(out, "%d stalls, %d refused, %d packets and %d bytes sent\n\n",
		r.Pauses, r.Rejected, r.Traffic.PacketsOut, r.Traffic.BytesOut)
	t := commandline.NewTable(out)
	fmt.Fprintln(t, "member\tstate\tfor\tphase\tlink\theard\tzone\tstart\taddress\tversion")
	for _, m := range r.Members {
		heard := "never"
		if m.LastContactMillis >= 0 {
			heard = formatSpan(m.LastContactMillis) + " ago"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n",
			m.Name, m.State, formatSpan(m.ForMillis), m.Phase, m.Link, heard, m.Zone, m.Boot, m.Addr, m.Version)
	}
	return t.Flush()
}

// FleetLinksCommand shows which member receives messages from which.
type FleetLinksCommand struct{ ingressFlags }

// links contains the state of each link, by the member that reports it and the member at the other end. writeLinks
// prints the reporting members as rows.
type links map[string]map[string]string

// linkMarks are the characters of the matrix for the states of a link. The empty state means that the member of the
// row did not report the link, usually because its report did not arrive.
var linkMarks = map[string]string{"both": "+", "in": "<", "none": "x", "unknown": ".", "": "?"}

const linkLegend = "\nthe peer, as the reporter sees it:\n+ answers   < sends, but does not answer   x neither   " +
	". unknown   ? no report"

// Run makes the call and prints the links as a matrix.
func (fl *FleetLinksCommand) Run(p *Program) error {
	return show(&fl.ingressFlags, p.out, "LINKS", errNoMembership, writeLinks)
}

func writeLinks(out io.Writer, l *links) error {
	names := l.names()
	t := commandline.NewTable(out)
	fmt.Fprintf(t, "reporter \\ peer\t%s\n", strings.Join(names, "\t"))
	for _, from := range names {
		fmt.Fprint(t, from)
		for _, to := range names {
			mark := linkMarks[(*l)[from][to]]
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
	fmt.Fprintln(out, linkLegend)
	return nil
}

// names returns the members at either end of any link, in order.
func (l *links) names() []string {
	names := slices.Collect(maps.Keys(*l))
	for _, row := range *l {
		for to := range row {
			names = append(names, to)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// FleetTurnCommand waits until an ingress may be restarted.
type FleetTurnCommand struct {
	ingressFlags
	Wait time.Duration `name:"wait" default:"0s" help:"Longest time to wait; 0: ask once."`
}

// Run repeats the call until the ingress may be restarted or the time of --wait has passed.
func (ft *FleetTurnCommand) Run(p *Program) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for deadline := time.Now().Add(ft.Wait); ; {
		_, err := ft.callIngress("TURN", errRestartNotAllowed)
		if err == nil {
			fmt.Fprintln(p.out, "yes")
			return nil
		}
		if !errors.Is(err, errRestartNotAllowed) || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}
