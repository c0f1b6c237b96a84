package operatorcommand

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/control/operatorapi"
)

// Shards prints the leaseholder of each shard of locks, numbers and cells, and how far behind its replicas are.
type Shards struct {
	Target `embed:""`
	commandline.OutputFlag
}

// Run calls the control node, and prints its answer as a table, or unchanged if JSON was requested.
func (s *Shards) Run(out io.Writer) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	body, err := client.Shards()
	if err != nil {
		return err
	}
	if s.JSON() {
		_, err = fmt.Fprintln(out, string(body))
		return err
	}
	var shards operatorapi.Shards
	if err := json.Unmarshal(body, &shards); err != nil {
		return err
	}
	return writeShards(out, shards.Shards)
}

// writeShards writes a table with a row for each replica of each shard.
func writeShards(out io.Writer, shards []operatorapi.Shard) error {
	table := commandline.NewTable(out)
	fmt.Fprintln(table, "SHARD\tTERM\tLEASEHOLDER\tLEASE\tLOCKS\tNUMBERS\tCELLS\tREPLICA\tBEHIND")
	for _, s := range shards {
		lease := "elsewhere"
		if s.Lease {
			lease = fmt.Sprintf("%d ms old", s.LeaseAgeMs)
		}
		for _, replica := range s.Replicas {
			behind := "?"
			if replica.Behind >= 0 {
				behind = strconv.FormatInt(replica.Behind, 10)
			}
			name := replica.Addr
			if replica.Learner {
				name += " (learner)"
			}
			fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", s.Number, s.Term,
				cmp.Or(s.Leaseholder, "unknown"), lease, s.Locks, s.Numbers, s.Cells, name, behind)
		}
	}
	return table.Flush()
}

// TransferShard makes the leaseholder of a shard transfer its lease to another voter.
type TransferShard struct {
	Target `embed:""`
	Shard  uint32 `arg:"" help:"Number of the shard."`
	To     string `arg:"" help:"Control address of the voter that is to hold the lease."`
}

// Run makes the call. The control node that is called must hold the lease.
func (t *TransferShard) Run(out io.Writer) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	if err := client.Transfer(operatorapi.Transfer{Shard: t.Shard, To: t.To}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "shard %d is handed to %s\n", t.Shard, t.To)
	return err
}
