package quota

// Report is what a holder reports to the keeper of a counter, or a question for the counter's sum.
//
// One holder reports once to a cycle: a report that comes again under the same holder and cycle replaces the one before. With
// PerRequest each report counts by itself, and Serial tells repeated ones apart.
type Report struct {
	Name       string  `cbor:"1,keyasint"` // of the counter: a tenant and its terms
	Cycle      int64   `cbor:"2,keyasint"`
	Reporter   string  `cbor:"3,keyasint"`           // the ingress that reports; with PerRequest its process
	Amount     float64 `cbor:"4,keyasint,omitempty"` // requests
	ReadOnly   bool    `cbor:"5,keyasint,omitempty"` // a question: nothing is added
	Retention  float64 `cbor:"6,keyasint,omitempty"` // seconds for which the cycle is kept
	PerRequest bool    `cbor:"7,keyasint,omitempty"`
	Serial     uint64  `cbor:"8,keyasint,omitempty"` // of a PerRequest report; rises within one holder
}

// Total is the keeper's answer to a Report.
//
// Without OK this node is not the keeper of the counter, or, where Holders is above 0, it has taken the report and does not
// know yet whether it has heard all other holders.
type Total struct {
	OK        bool    `cbor:"1,keyasint,omitempty"`
	Sum       float64 `cbor:"2,keyasint,omitempty"` // requests, over all holders
	Reporters int     `cbor:"3,keyasint,omitempty"`
}
