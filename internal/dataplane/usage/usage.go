// Package usage decides what of the tries that an ingress sent on is to be billed: when a try counts, how it is
// written down, how records become batches, and when a batch that was not acknowledged is sent again.
//
// It does no I/O and reads no clock. Segments of records are written by package segment, batches are sent by
// package export.
package usage

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"mulleinrouter/internal/decision"
)

// Arrival tells whether an attempt's request arrived whole at a quote server. The larger one wins over the
// attempts of a try.
type Arrival uint8

// The arrivals.
const (
	Never Arrival = iota
	Unknown
	Whole
)

var arrivals = [...]string{"never", "unknown", "whole"}

func (a Arrival) String() string {
	if int(a) < len(arrivals) {
		return arrivals[a]
	}
	return fmt.Sprintf("arrival %d", uint8(a))
}

// ArrivalOf is what an attempt's outcome proves (PROTOCOL, "Ingresses to quote servers"). Answered: a whole answer
// came, after the request had been written whole. A server that turns a request away has it whole, too: units
// are taken when the first attempt has arrived, not when it has run.
func ArrivalOf(outcome decision.Outcome, answered bool) Arrival {
	switch {
	case answered || outcome == decision.Succeeded || outcome == decision.Rejected:
		return Whole
	case outcome == decision.ConnectionRefused || outcome == decision.NotSent:
		return Never
	}
	return Unknown // written whole, and then broken, silent or given up
}

// Micro is the number of micro-units in a unit. Sums of whole numbers are the same in any order.
const Micro = 1_000_000

// ToMicro rounds units to micro-units.
func ToMicro(units float64) int64 { return int64(math.Round(units * Micro)) }

// Try is a client's request that was sent on, as far as billing is concerned. All attempts of it are one try.
type Try struct {
	Tenant, Member, Plan, Class string
	Revision                    uint64 // of the catalogue, by which the plan was told; 0: the settings
	Units                       int64  // micro-units
	Beyond                      bool   // it was sent on beyond the quota
	Minute                      int64  // Unix time in minutes, when its first attempt went out
}

// Key is what a bill tells apart.
type Key struct {
	Tenant   string `json:"tenant,omitempty"`
	Member   string `json:"member"`
	Plan     string `json:"plan"`
	Revision uint64 `json:"revision"`
	Class    string `json:"class"`
	Minute   int64  `json:"minute"`
	Beyond   bool   `json:"beyond"`
	Unknown  bool   `json:"unknown"` // whether an attempt arrived whole is not known: listed apart
}

// Sum is what came under a key.
type Sum struct {
	Tries int64 `json:"tries"`
	Units int64 `json:"micro_units"`
}

// Plus adds another sum.
func (s Sum) Plus(o Sum) Sum { return Sum{s.Tries + o.Tries, s.Units + o.Units} }

// InUnits is the sum in units: micro-units are for adding up.
func (s Sum) InUnits() float64 { return float64(s.Units) / Micro }

// Row is one line of a bill.
type Row struct {
	Key
	Sum
}

// Tally adds tries up.
type Tally map[Key]Sum

// Add counts a try by what is known of its arrival. One that never arrived is not billed.
func (t Tally) Add(try Try, a Arrival) {
	if a == Never {
		return
	}
	k := Key{try.Tenant, try.Member, try.Plan, try.Revision, try.Class, try.Minute, try.Beyond, a != Whole}
	t[k] = t[k].Plus(Sum{1, try.Units})
}

// Merge adds another tally.
func (t Tally) Merge(other Tally) {
	for k, s := range other {
		t[k] = t[k].Plus(s)
	}
}

// Rows are the lines of a tally in a fixed order.
func (t Tally) Rows() []Row {
	rows := make([]Row, 0, len(t))
	for k, s := range t {
		rows = append(rows, Row{k, s})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Member, b.Member), cmp.Compare(a.Minute, b.Minute),
			cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Class, b.Class),
			compareBool(a.Beyond, b.Beyond), compareBool(a.Unknown, b.Unknown))
	})
	return rows
}

// Total adds up all rows, those with an unknown arrival apart.
func (t Tally) Total() (known, unknown Sum) {
	for k, s := range t {
		if k.Unknown {
			unknown = unknown.Plus(s)
		} else {
			known = known.Plus(s)
		}
	}
	return known, unknown
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Ledger replays segments in order and tells what each adds to the bill. Tries that were out when a segment
// ended are carried into the next.
type Ledger struct {
	Writer  uint64         // whose segment came last: one run of one ingress
	Pending map[uint64]Try // sent and not ended, by number
}

// overdue is after how many minutes a try without an end counts as one whose end is not known: no client waits
// for longer than five, and its end was lost, to a full disk for example.
const overdue = 10

// ErrOrder tells of a segment that does not follow the one before it.
var ErrOrder = errors.New("segments are not in order")

// Segment replays one segment.
func (l *Ledger) Segment(h Header, data []byte) (Tally, Report, error) {
	t := Tally{}
	if l.Pending == nil {
		l.Pending = map[uint64]Try{}
	}
	if h.Writer != l.Writer {
		l.abandon(t, math.MaxInt64) // that run is over: what it had out will never be known
		l.Writer = h.Writer
	}
	report, err := Scan(data, func(r Record) {
		switch r.Kind {
		case Sent:
			l.Pending[r.Seq] = r.Try
		case Ended:
			if try, ok := l.Pending[r.Seq]; ok {
				delete(l.Pending, r.Seq)
				t.Add(try, r.Arrival)
			}
		}
	})
	if h.Sealed > 0 {
		l.abandon(t, h.Sealed/60_000-overdue)
	}
	return t, report, err
}

// abandon counts tries that went out before a minute as unknown.
func (l *Ledger) abandon(t Tally, before int64) {
	for seq, try := range l.Pending {
		if try.Minute < before {
			delete(l.Pending, seq)
			t.Add(try, Unknown)
		}
	}
}
