package plans

import (
	"cmp"
	"math"
	"slices"

	"mulleinrouter/internal/decision"
)

const (
	rateTolerance = 1e-9 // relative rounding error allowed in sums of rates

	// unitTolerance, in units, is added before rounding down, so that a rounding error does not reduce a whole number
	// of units that fits exactly to the next lower one.
	unitTolerance = 1e-6
)

// CheckCapacity returns nil if a further booking, together with the existing ones, stays within the bookable rate
// (units per second) at every instant. Otherwise the error has the number of units and the start that would fit.
func CheckCapacity(existing []Booking, b Booking, bookableRate float64) *CapacityError {
	at, maxRate := peak(existing, b.From, b.To)
	if maxRate+b.Rate() <= bookableRate*(1+rateTolerance) {
		return nil
	}
	return &CapacityError{
		At:    at,
		Free:  bookableRate - maxRate,
		Units: math.Floor(math.Max(0, bookableRate-maxRate)*(b.To-b.From) + unitTolerance),
		From:  earliestStart(existing, b, bookableRate),
	}
}

// earliestStart returns the earliest later start at which a booking fits, or 0 if there is none. The sum of rates
// decreases only where a booking ends, so only these ends can be the earliest start.
func earliestStart(existing []Booking, b Booking, bookableRate float64) decision.Seconds {
	ends := make([]decision.Seconds, 0, len(existing))
	for _, other := range existing {
		if other.To > b.From {
			ends = append(ends, other.To)
		}
	}
	slices.Sort(ends)
	for _, from := range slices.Compact(ends) {
		if _, maxRate := peak(existing, from, from+b.To-b.From); maxRate+b.Rate() <= bookableRate*(1+rateTolerance) {
			return from
		}
	}
	return 0
}

// exceedsBookableRate reports whether the sum of the bookings' rates exceeds the bookable rate at any instant. It
// takes one pass over the bookings.
func exceedsBookableRate(bookings []Booking, bookableRate float64) bool {
	_, maxRate := peak(bookings, math.Inf(-1), math.Inf(1))
	return maxRate > bookableRate*(1+rateTolerance)
}

// peak returns the largest sum of the bookings' rates within a period, and the time at which it is first reached.
func peak(bookings []Booking, from, to decision.Seconds) (at decision.Seconds, maxRate float64) {
	type step struct{ at, change float64 }
	var steps []step
	for _, b := range bookings {
		if b.From < to && b.To > from {
			steps = append(steps, step{max(b.From, from), b.Rate()}, step{b.To, -b.Rate()})
		}
	}
	// A booking that ends at an instant is subtracted before one that begins then is added, because the two do not
	// overlap.
	slices.SortFunc(steps, func(a, b step) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change))
	})
	at, sum := from, 0.0
	for _, s := range steps {
		if sum += s.change; s.at < to && sum > maxRate {
			at, maxRate = s.at, sum
		}
	}
	return at, maxRate
}
