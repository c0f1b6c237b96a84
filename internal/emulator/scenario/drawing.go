package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// drawing draws the parts of one day. Each method draws its values in the order of its arguments.
type drawing struct{ *rand.Rand }

// faultKind is a kind of fault that may be drawn.
type faultKind struct {
	kind   string
	weight int // its probability is its weight divided by the sum of all weights
	fields func(d drawing) []string
}

// fault draws the kind, by its weight, and the fields of a fault that begins at a time.
func (d drawing) fault(at Seconds, kinds []faultKind) Fault {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	n := d.IntN(total)
	chosen := 0
	for n >= kinds[chosen].weight {
		n -= kinds[chosen].weight
		chosen++
	}
	return Fault{at, kinds[chosen].kind, kinds[chosen].fields(d)}
}

// between draws a number that is uniformly distributed.
func (d drawing) between(low, high float64) float64 { return low + (high-low)*d.Float64() }

func (d drawing) pick(from []string) string { return from[d.IntN(len(from))] }

// how draws the field for the variant of a fault, which consists of one value from each list. Empty values add nothing.
func (d drawing) how(lists ...[]string) string {
	var variant []string
	for _, list := range lists {
		if part := d.pick(list); part != "" {
			variant = append(variant, part)
		}
	}
	return fmt.Sprintf("how = %q", strings.Join(variant, " "))
}

// duration draws the field for the duration of a fault, in seconds.
func (d drawing) duration(low, high Seconds) string {
	return fmt.Sprintf("for_s = %.1f", d.between(low, high))
}

// gap draws the field for the time between the steps of a fault, in seconds.
func (d drawing) gap(low, high Seconds) string {
	return fmt.Sprintf("gap_s = %.1f", d.between(low, high))
}

// share draws the field for the share of the machines, servers or requests that a fault affects.
func (d drawing) share(low, high float64) string {
	return fmt.Sprintf("share = %.2f", d.between(low, high))
}

// factor draws the field for the strength of a fault, in the unit of its kind.
func (d drawing) factor(low, high float64) string {
	return fmt.Sprintf("x = %.2f", d.between(low, high))
}

// count draws the field count, a number from 1 to a maximum. Its meaning depends on the kind of the fault.
func (d drawing) count(high int) string {
	return fmt.Sprintf("count = %d", 1+d.IntN(high))
}
