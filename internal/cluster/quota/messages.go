package quota

import "math"

// Report is what a reporter sends to the owner of a counter, or a question for the counter's sum.
//
// One reporter reports once to a cycle: a report that comes again from the same reporter for the same cycle replaces
// the one before. With PerRequest each report counts by itself, and Serial tells repeated ones apart.
type Report struct {
	Name       string  `cbor:"1,keyasint"` // of the counter: a tenant and its terms
	Cycle      int64   `cbor:"2,keyasint"`
	Reporter   string  `cbor:"3,keyasint"`           // the ingress that reports; with PerRequest its process
	Amount     float64 `cbor:"4,keyasint,omitempty"` // requests
	ReadOnly   bool    `cbor:"5,keyasint,omitempty"` // a question: nothing is added
	Retention  float64 `cbor:"6,keyasint,omitempty"` // seconds for which the cycle is kept
	PerRequest bool    `cbor:"7,keyasint,omitempty"`
	Serial     uint64  `cbor:"8,keyasint,omitempty"` // of a PerRequest report; rises for each reporter
}

// valid reports whether a report from another process is within the bounds of one.
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
// Without OK this node is not the owner of the counter, or, where Reporters is above 0, it has taken the report and
// does not know yet whether it has the reports of all others.
type Total struct {
	OK        bool    `cbor:"1,keyasint,omitempty"`
	Sum       float64 `cbor:"2,keyasint,omitempty"` // requests, over all reporters
	Reporters int     `cbor:"3,keyasint,omitempty"`
}
