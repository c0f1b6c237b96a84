package plans

import (
	"fmt"
	"math"

	"mulleinrouter/internal/decision"
)

// ValidationError is something wrong with a revision by itself.
type ValidationError struct {
	Path string // the place, such as `plan.plus.rate`
	Text string
}

func (v ValidationError) Error() string { return v.Path + ": " + v.Text }

// CapacityError says why a booking does not fit the bookable rate, and what would fit.
type CapacityError struct {
	At    decision.Seconds // the instant with the least rate left
	Free  float64          // units a second left then
	Units float64          // the most that fits in the same span
	From  decision.Seconds // the earliest later start from which the booking fits as it is; 0: it never does
}

func (c *CapacityError) Error() string {
	text := fmt.Sprintf("at Unix time %.0f only %g units a second are left; %.0f units would fit in this span",
		c.At, math.Max(0, c.Free), c.Units)
	if c.From > 0 {
		text += fmt.Sprintf(", the whole from Unix time %.0f on", c.From)
	}
	return text
}
