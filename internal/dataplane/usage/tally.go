package usage

import (
	"cmp"
	"slices"
)

// Key identifies a row of a bill.
type Key struct {
	Tenant    string `json:"tenant,omitempty"`
	Member    string `json:"member"`
	Plan      string `json:"plan"`
	Revision  uint64 `json:"revision"`
	Class     string `json:"class"`
	Minute    int64  `json:"minute"`
	OverQuota bool   `json:"beyond"`
	Unknown   bool   `json:"unknown"` // it is not known whether an attempt arrived; listed in separate rows
}

// Sum is the total of the requests with the same key.
type Sum struct {
	Requests int64 `json:"tries"`
	Units    int64 `json:"micro_units"`
}

// Add returns the sum of both.
func (s Sum) Add(other Sum) Sum {
	return Sum{Requests: s.Requests + other.Requests, Units: s.Units + other.Units}
}

// InUnits returns the sum in units. Sums are kept in micro-units, so that they can be added up exactly.
func (s Sum) InUnits() float64 { return float64(s.Units) / MicroPerUnit }

// Row is one row of a bill.
type Row struct {
	Key
	Sum
}

// Tally sums up requests by key.
type Tally map[Key]Sum

// Add counts a request according to its arrival. A request that did not arrive is not billed.
func (t Tally) Add(r Request, a Arrival) {
	if a == NotArrived {
		return
	}
	k := Key{
		Tenant:    r.Tenant,
		Member:    r.Member,
		Plan:      r.Plan,
		Revision:  r.Revision,
		Class:     r.Class,
		Minute:    r.Minute,
		OverQuota: r.OverQuota,
		Unknown:   a != Arrived,
	}
	t[k] = t[k].Add(Sum{Requests: 1, Units: r.Units})
}

// Merge adds another tally.
func (t Tally) Merge(other Tally) {
	for k, s := range other {
		t[k] = t[k].Add(s)
	}
}

// Rows returns the rows of the tally in a fixed order, because the digest of a batch depends on their order.
func (t Tally) Rows() []Row {
	rows := make([]Row, 0, len(t))
	for k, s := range t {
		rows = append(rows, Row{k, s})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Tenant, b.Tenant),
			cmp.Compare(a.Member, b.Member),
			cmp.Compare(a.Minute, b.Minute),
			cmp.Compare(a.Plan, b.Plan),
			cmp.Compare(a.Revision, b.Revision),
			cmp.Compare(a.Class, b.Class),
			compareBool(a.OverQuota, b.OverQuota),
			compareBool(a.Unknown, b.Unknown),
		)
	})
	return rows
}

// Total sums up all rows, those of unknown arrival separately.
func (t Tally) Total() (known, unknown Sum) {
	for k, s := range t {
		if k.Unknown {
			unknown = unknown.Add(s)
		} else {
			known = known.Add(s)
		}
	}
	return known, unknown
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
