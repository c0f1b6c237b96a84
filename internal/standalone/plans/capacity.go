package plans

import (
	"cmp"
	"math"
	"slices"

	"mulleinrouter/internal/decision"
)

const (
	rateTolerance = 1e-9 // relative, for sums of rates
	unitTolerance = 1e-6 // for rounding down a number of units that fits exactly
)

// CheckCapacity returns nil if one more booking stays within the bookable rate (units a second) at every instant,
// together with those that exist.
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

// earliestStart is the earliest later start from which a booking fits, and 0 if it never does. The sum of rates
// falls only where a booking ends: nothing between such ends can be the earliest.
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

// exceedTogether returns whether the sum of the bookings' rates exceeds the bookable rate at any instant, in one
// pass.
func exceedTogether(bookings []Booking, bookableRate float64) bool {
	_, maxRate := peak(bookings, math.Inf(-1), math.Inf(1))
	return maxRate > bookableRate*(1+rateTolerance)
}

// peak is the largest sum of the bookings' rates within a span, and when it is first reached.
func peak(bookings []Booking, from, to decision.Seconds) (at decision.Seconds, maxRate float64) {
	type step struct{ at, change float64 }
	var steps []step
	for _, b := range bookings {
		if b.From < to && b.To > from {
			steps = append(steps, step{max(b.From, from), b.Rate()}, step{b.To, -b.Rate()})
		}
	}
	// At one instant, what ends comes before what begins.
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
