package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usagesegment"
)

// UsageShowCommand shows usage records, summed or row by row.
type UsageShowCommand struct {
	Dir string `arg:"" name:"dir" type:"path" help:"Folder of the records."`
	By  string `name:"by" enum:"member,plan,class,minute,all" default:"plan" help:"${usageShowBy}"`
	commandline.OutputFlag
}

// Run shows the records of all segments, including those that are still being written.
func (us *UsageShowCommand) Run(p *Program) error {
	rows, err := readUsage(us.Dir)
	if err != nil {
		return err
	}
	asJSON := us.JSON()
	switch {
	// plan is the default of --by, so without --by the JSON has all rows.
	case asJSON && (us.By == "all" || us.By == "plan"):
		return writeJSON(p.out, rows)
	case us.By == "all":
		return writeUsageRows(p.out, rows)
	}
	sums := sumUsage(rows, us.By)
	if asJSON {
		return writeJSON(p.out, sums)
	}
	return writeUsageSums(p.out, us.By, sums)
}

// readUsage reads and merges the segments of a folder.
func readUsage(dir string) ([]usage.Row, error) {
	if err := checkExists(dir); err != nil {
		return nil, err
	}
	segments, err := usagesegment.List(dir)
	if err != nil {
		return nil, fileError{err}
	}
	var replayer usage.Replayer
	all := usage.Tally{}
	for _, s := range segments {
		header, data, err := usagesegment.Read(s.Path)
		if err != nil {
			return nil, fileError{err}
		}
		tally, _, err := replayer.Replay(header, data)
		if err != nil {
			return nil, fileError{fmt.Errorf("%s: %w", s.Path, err)}
		}
		all.Merge(tally)
	}
	return all.Rows(), nil
}

// writeUsageRows prints all rows.
func writeUsageRows(out io.Writer, rows []usage.Row) error {
	t := commandline.NewTable(out)
	fmt.Fprintln(t, "minute\tmember\tplan\trevision\tclass\tbeyond\tunknown\ttries\tunits")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%v\t%v\t%d\t%.6g\n", formatMinute(r.Minute),
			r.Member, r.Plan, r.Revision, r.Class, r.OverQuota, r.Unknown, r.Requests, r.InUnits())
	}
	return t.Flush()
}

// usageSum is the sum of the rows with one name. Tries is the number of requests, each counted once, however many
// attempts it had. Inside, Beyond and Unknown are their units within the quota, beyond it, and with unknown arrival.
type usageSum struct {
	Name    string  `json:"Name"`
	Tries   int64   `json:"Tries"`
	Inside  float64 `json:"Inside"`
	Beyond  float64 `json:"Beyond"`
	Unknown float64 `json:"Unknown"`
}

// sumUsage sums rows by member, plan, class or minute, and returns the sums in order of their names.
func sumUsage(rows []usage.Row, by string) []*usageSum {
	byName := map[string]*usageSum{}
	for _, r := range rows {
		name := map[string]string{
			"member": r.Member,
			"plan":   r.Plan,
			"class":  r.Class,
			"minute": formatMinute(r.Minute),
		}[by]
		sum := byName[name]
		if sum == nil {
			sum = &usageSum{Name: name}
			byName[name] = sum
		}
		sum.Tries += r.Requests
		units := r.InUnits()
		switch {
		case r.Unknown:
			sum.Unknown += units
		case r.OverQuota:
			sum.Beyond += units
		default:
			sum.Inside += units
		}
	}
	byOrder := func(a, b *usageSum) int { return cmp.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(byName), byOrder)
}

// writeUsageSums prints sums as a table.
func writeUsageSums(out io.Writer, by string, sums []*usageSum) error {
	t := commandline.NewTable(out)
	fmt.Fprintf(t, "%s\ttries\tunits inside\tbeyond quota\tarrival unknown\n", by)
	for _, sum := range sums {
		fmt.Fprintf(t, "%s\t%d\t%.6g\t%.6g\t%.6g\n", sum.Name, sum.Tries, sum.Inside, sum.Beyond, sum.Unknown)
	}
	return t.Flush()
}

// formatMinute formats a time in minutes since the Unix epoch for tables.
func formatMinute(m int64) string { return time.Unix(m*60, 0).UTC().Format("2006-01-02T15:04Z") }
