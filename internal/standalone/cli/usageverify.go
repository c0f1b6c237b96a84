package cli

import (
	"fmt"
	"io"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usageexport"
)

// verificationReport is the result of usage verify, as JSON.
type verificationReport struct {
	Segments       int        `json:"segments"`
	Records        int        `json:"records"`
	Batches        uint64     `json:"batches"`
	Billed         usageTotal `json:"billed"`
	ArrivalUnknown usageTotal `json:"arrivalUnknown"` // not in Billed
	NotRecorded    usageTotal `json:"notRecorded"`    // could not be recorded because the disk was full
	NotExported    usageTotal `json:"notExported"`    // not yet in a batch
	InFlight       int        `json:"inFlight"`       // requests that have not ended
	Problems       []string   `json:"problems"`       // empty: no problem was found
}

// usageTotal is a number of requests and the sum of their units. A request counts once, however many attempts it had.
type usageTotal struct {
	Units float64 `json:"units"`
	Tries int64   `json:"tries"`
}

func newVerificationReport(v *usageexport.Verification) verificationReport {
	sum := func(s usage.Sum) usageTotal { return usageTotal{Units: s.InUnits(), Tries: s.Requests} }
	return verificationReport{
		Segments:       v.Segments,
		Records:        v.Records,
		Batches:        v.Batches,
		Billed:         sum(v.Known),
		ArrivalUnknown: sum(v.Unknown),
		NotRecorded:    sum(v.Unmetered),
		NotExported:    sum(v.NotExported),
		InFlight:       v.InFlight,
		Problems:       append([]string{}, v.Problems...),
	}
}

// writeVerification prints the totals as a table, without the problems.
func writeVerification(out io.Writer, v *usageexport.Verification) error {
	units := func(s usage.Sum) string {
		return fmt.Sprintf("%.6g units in %d tries", s.InUnits(), s.Requests)
	}
	t := commandline.NewTable(out)
	fmt.Fprintf(t, "segments\t%d, with %d records\n", v.Segments, v.Records)
	fmt.Fprintf(t, "batches\t%d\n", v.Batches)
	fmt.Fprintf(t, "billed\t%s\n", units(v.Known))
	fmt.Fprintf(t, "arrival not known\t%s, listed apart\n", units(v.Unknown))
	fmt.Fprintf(t, "not recorded\t%s, for lack of disk space\n", units(v.Unmetered))
	fmt.Fprintf(t, "in no batch yet\t%s\n", units(v.NotExported))
	fmt.Fprintf(t, "in flight\t%d tries\n", v.InFlight)
	return t.Flush()
}
