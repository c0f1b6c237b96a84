package plans

import (
	"fmt"
	"math"

	"mulleinrouter/internal/decision"
)

// ValidationError is one reason why a revision is invalid by itself, without regard to other revisions.
type ValidationError struct {
	Path string // position in the revision, such as `plan.plus.rate`
	Text string
}

func (v ValidationError) Error() string { return v.Path + ": " + v.Text }

// CapacityError reports that a booking does not fit in the bookable rate, and what would fit.
type CapacityError struct {
	At    decision.Seconds // time within the booking with the least rate left, Unix time
	Free  float64          // rate left at that time, units per second; negative if it is overbooked already
	Units float64          // largest number of units that fits in the same period
	From  decision.Seconds // earliest later start at which the unchanged booking fits, Unix time; 0 if there is none
}

func (c *CapacityError) Error() string {
	text := fmt.Sprintf("at Unix time %.0f only %g units a second are left; %.0f units would fit in this span",
		c.At, math.Max(0, c.Free), c.Units)
	if c.From > 0 {
		text += fmt.Sprintf("; the complete booking would fit from Unix time %.0f on", c.From)
	}
	return text
}
