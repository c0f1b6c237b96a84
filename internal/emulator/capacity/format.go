package capacity

import (
	"fmt"
	"math"
	"strings"
)

// prefix is the prefix of a unit, with its factor.
type prefix struct {
	factor float64
	symbol string
}

var (
	largePrefixes = []prefix{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}, {1, ""}}
	timePrefixes  = []prefix{{1, ""}, {1e-3, "m"}, {1e-6, "µ"}, {1e-9, "n"}}
)

const (
	significantDigits = 3
	// roundingThreshold is the ratio of a value to the next larger prefix, or to the next power of ten, from which on
	// the value is rounded up to it when it is printed with significantDigits.
	roundingThreshold = 0.9995
)

// Amount formats a value with three significant digits and a prefix of its unit. Seconds get prefixes for factors up to
// 1, other units prefixes for factors from 1.
func Amount(value float64, unit string) string {
	prefixes := largePrefixes
	if unit == string(Seconds) {
		prefixes = timePrefixes
	}
	chosen := prefixes[len(prefixes)-1]
	for _, p := range prefixes {
		if math.Abs(value) >= p.factor*roundingThreshold {
			chosen = p
			break
		}
	}
	digits := significantDigits
	if scaled := math.Abs(value) / chosen.factor; scaled >= 100*roundingThreshold {
		digits = max(significantDigits, int(math.Log10(scaled))+1) // avoids the exponent notation
	}
	return fmt.Sprintf("%.*g %s%s", digits, value/chosen.factor, chosen.symbol, unit)
}

// formatNeed formats a need or a limit.
func formatNeed(value float64, unit Unit) string {
	switch unit {
	case Cores:
		return fmt.Sprintf("%.3g%% of a core", 100*value)
	case Items:
		return formatCount(value)
	}
	return Amount(value, string(unit))
}

// formatTerm formats a term of a requirement as the unit cost times the count.
func formatTerm(term Term, unit Unit) string {
	unitOfCost := strings.TrimSuffix(string(unit), "/s")
	if unit == Cores {
		unitOfCost = string(Seconds)
	}
	return fmt.Sprintf("%s %s x %s", term.Description, Amount(term.UnitCost, unitOfCost), formatCount(term.Count))
}

func formatCount(value float64) string { return strings.TrimSpace(Amount(value, "")) }

func formatMargin(margin float64) string {
	switch {
	case math.IsInf(margin, 0):
		return "-"
	case margin < 1:
		return fmt.Sprintf("OVER, %.3g times", 1/margin)
	}
	return fmt.Sprintf("%.3g", margin)
}

func formatScale(scale float64) string {
	switch {
	case scale == 0:
		return "no size"
	case math.IsInf(scale, 0):
		return "any size"
	case scale >= 1:
		return fmt.Sprintf("%s times", formatCount(scale))
	}
	return fmt.Sprintf("%.3g%%", 100*scale)
}
