package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/jsontext"
)

// voterChangeTimeout is how long the command waits until the voters have agreed on a change of the voters. The error
// text of apply repeats it.
const voterChangeTimeout = 10 * time.Second

// callLeases is the call of the management protocol that returns the voters, the leases and their history.
const callLeases = "DUTIES"

// callLeader makes a call of the lease service, which the ingress forwards to the leader of the voters.
func (i *ingressFlags) callLeader(call string) (*leaseservice.Status, error) {
	line, err := i.callIngress(call, errLeaseCallRejected)
	if err != nil {
		return nil, err
	}
	answer := &leaseservice.Status{}
	return answer, jsontext.Decode([]byte(line), answer)
}

// FleetLeasesCommand shows the leases of singleton roles.
type FleetLeasesCommand struct{ ingressFlags }

// Run makes the call and prints the leases and their history as tables.
func (fl *FleetLeasesCommand) Run(p *Program) error {
	return show(&fl.ingressFlags, p.out, callLeases, errLeaseCallRejected, writeLeases)
}

func writeLeases(out io.Writer, answer *leaseservice.Status) error {
	fmt.Fprintf(out, "%s leads in term %d; voters %s\n\n", answer.Leader, answer.Term, strings.Join(answer.Voters, " "))
	t := commandline.NewTable(out)
	fmt.Fprintln(t, "duty\tholder\ttoken\twaiting")
	for _, d := range answer.Roles {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", d.Role, cmp.Or(d.Holder, "nobody"), d.Token, strings.Join(d.Candidates, " "))
	}
	fmt.Fprintln(t, "\nduty\theld by\ttoken\tstart")
	for _, h := range answer.History {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", h.Role, h.Holder, h.Token, h.Boot)
	}
	return t.Flush()
}

// FleetLeaseCommands are the commands for a single lease.
type FleetLeaseCommands struct {
	Transfer FleetLeaseTransferCommand `cmd:"" name:"give" help:"${fleetLeaseTransfer}"`
}

// FleetLeaseTransferCommand transfers the lease of a singleton role to another ingress.
type FleetLeaseTransferCommand struct {
	ingressFlags
	Role string `arg:"" name:"duty" help:"Name of the duty."`
	To   string `arg:"" name:"to" help:"Name of the ingress."`
}

// Run requests the transfer. It does not wait until the holder has released the lease.
func (ft *FleetLeaseTransferCommand) Run(p *Program) error {
	if _, err := ft.callLeader("GIVE " + ft.Role + " " + ft.To); err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%s goes to %s as soon as its holder has released it; fleet duties shows the holder\n",
		ft.Role, ft.To)
	return nil
}

// FleetVotersCommand shows or changes the voters.
type FleetVotersCommand struct {
	ingressFlags
	Action string   `arg:"" name:"action" optional:"" enum:"${voterActions}" default:"list" help:"${voterAction}"`
	Names  []string `arg:"" name:"names" optional:"" help:"Names of voters."`
}

// votersReport is the voters as JSON.
type votersReport struct {
	Voters []string `json:"voters"` // names of the voters
}

// voterChange adds or removes one voter. The voters accept only one change at a time.
type voterChange struct {
	action string // add or remove
	name   string
}

// changes returns the changes for the arguments. A replacement adds the new voter before it removes the old one.
func (fv *FleetVotersCommand) changes() ([]voterChange, error) {
	switch {
	case fv.Action == "list" && len(fv.Names) == 0:
		return nil, nil
	case (fv.Action == "add" || fv.Action == "remove") && len(fv.Names) == 1:
		return []voterChange{{fv.Action, fv.Names[0]}}, nil
	case fv.Action == "replace" && len(fv.Names) == 2:
		return []voterChange{{"add", fv.Names[1]}, {"remove", fv.Names[0]}}, nil
	}
	return nil, errVoterArguments
}

// Run makes the changes one after another, each when the previous one is agreed on, and prints the voters.
func (fv *FleetVotersCommand) Run(p *Program) error {
	changes, err := fv.changes()
	if err != nil {
		return err
	}
	for _, change := range changes {
		if err := fv.apply(change); err != nil {
			return err
		}
	}
	answer, err := fv.callLeader(callLeases)
	if err != nil {
		return err
	}
	return fv.Print(p.out, votersReport{answer.Voters}, func(out io.Writer) error {
		_, err := fmt.Fprintln(out, strings.Join(answer.Voters, "\n"))
		return err
	})
}

// apply requests one change and waits until the voters have agreed on it.
func (fv *FleetVotersCommand) apply(change voterChange) error {
	if _, err := fv.callLeader("VOTERS " + change.action + " " + change.name); err != nil {
		return err
	}
	for deadline := time.Now().Add(voterChangeTimeout); ; time.Sleep(pollInterval) {
		answer, err := fv.callLeader(callLeases)
		if err == nil && slices.Contains(answer.Voters, change.name) == (change.action == "add") {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s %s: the voters have not agreed on this change after 10 s", change.action, change.name)
		}
	}
}
