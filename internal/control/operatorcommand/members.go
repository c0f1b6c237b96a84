package operatorcommand

import (
	"encoding/json"
	"fmt"
	"io"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/control/operatorapi"
)

// Members prints which control nodes are voters, which are learners, and how far behind they are.
type Members struct {
	Target `embed:""`
	commandline.OutputFlag
	AsJSON bool `name:"json" hidden:"" help:"Earlier form of --output json."`
}

// Run calls the control node, and prints its answer as a table, or unchanged if JSON was requested.
func (m *Members) Run(out io.Writer) error {
	client, err := m.client()
	if err != nil {
		return err
	}
	body, err := client.Members()
	if err != nil {
		return err
	}
	if m.AsJSON || m.JSON() {
		_, err = fmt.Fprintln(out, string(body))
		return err
	}
	var members operatorapi.Members
	if err := json.Unmarshal(body, &members); err != nil {
		return err
	}
	return writeMembers(out, &members)
}

// writeMembers writes the voters and learners as a table.
func writeMembers(out io.Writer, members *operatorapi.Members) error {
	contact := "in contact with a majority"
	if !members.Contact {
		contact = "NOT in contact with a majority: this may be old"
	}
	fmt.Fprintf(out, "epoch %d; these voters since epoch %d, for %.0f s as seen here; %d wanted; %s\n\n",
		members.Epoch, members.SinceEpoch, members.AgeSeconds, members.Wanted, contact)
	table := commandline.NewTable(out)
	fmt.Fprintln(table, "ROLE\tAT\tZONE\tSTATE\tBEHIND\tHEARD")
	for _, voter := range members.Voters {
		writeMember(table, "voter", voter)
	}
	for _, learner := range members.Learners {
		writeMember(table, "learner", learner)
	}
	return table.Flush()
}

// writeMember writes the table row of a control node.
func writeMember(out io.Writer, role string, m operatorapi.Member) {
	state, heard := "silent", "never"
	switch {
	case m.DiskReplaced:
		state = "new disk, being taken in"
	case m.Self:
		state = "answers"
	case m.Up:
		state = "up"
	}
	if m.LastContactSeconds >= 0 {
		heard = fmt.Sprintf("%.1f s ago", m.LastContactSeconds)
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%s\n", role, m.Addr, m.Zone, state, m.EpochsBehind, heard)
}
