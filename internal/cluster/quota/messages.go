package quota

import "math"

// Report is a report to the owner of a counter, or a read-only query for the counter's sum.
//
// A reporter reports once per cycle: a further report from the same reporter for the same cycle replaces the earlier
// one. With PerRequest each report counts by itself, and Serial identifies repeated ones.
type Report struct {
	Name       string  `cbor:"1,keyasint"`           // name of the counter, which is the tenant's name
	Cycle      int64   `cbor:"2,keyasint"`           // number of the cycle, the same at all ingresses
	Reporter   string  `cbor:"3,keyasint"`           // ingress that reports; with PerRequest its process
	Amount     float64 `cbor:"4,keyasint,omitempty"` // units per second; with PerRequest units
	ReadOnly   bool    `cbor:"5,keyasint,omitempty"` // query: nothing is added
	Retention  float64 `cbor:"6,keyasint,omitempty"` // seconds for which the counter is kept after its last use
	PerRequest bool    `cbor:"7,keyasint,omitempty"`
	Serial     uint64  `cbor:"8,keyasint,omitempty"` // number of a PerRequest report; rises for each reporter
}

// valid reports whether a report from another process is within the limits.
func (r *Report) valid() bool {
	if len(r.Name) > maxNameLength || len(r.Reporter) > maxNameLength {
		return false
	}
	if r.Reporter == "" && !r.ReadOnly {
		return false
	}
	return !math.IsNaN(r.Amount) && !math.IsInf(r.Amount, 0) && r.Amount >= 0
}

// Total is the owner's answer to a Report.
//
// Without OK, the total is partial if Reporters is above 0: this node owns the counter and has accepted the report, but
// may not have the reports of all other reporters yet. Owners of an earlier version leave Sum at 0 then. If Reporters
// is 0, this node does not own the counter, has rejected an invalid report, or has no report for a query yet.
type Total struct {
	OK        bool    `cbor:"1,keyasint,omitempty"`
	Sum       float64 `cbor:"2,keyasint,omitempty"` // over the reporters, in the unit of Report.Amount
	Reporters int     `cbor:"3,keyasint,omitempty"` // number of reporters in Sum
}
