package conformance

const (
	retention = 0.97 // factor on earlier demand at each request: about the last thirty count
	maxValues = 16   // distinct values; requests of further values count only in the total
)

// ValueDistribution is the recent demand of a customer, in units, by the value of its requests. The zero
// value is an empty distribution.
type ValueDistribution struct {
	values []float64
	demand []float64 // units, by the index of values
	total  float64   // units
}

// Observe adds a request with its value and units.
func (vd *ValueDistribution) Observe(value, units float64) {
	index := -1
	for i := range vd.demand {
		vd.demand[i] *= retention
		if vd.values[i] == value {
			index = i
		}
	}
	vd.total = retention*vd.total + units
	if index < 0 && len(vd.values) < maxValues {
		index = len(vd.values)
		vd.values = append(vd.values, value)
		vd.demand = append(vd.demand, 0)
	}
	if index >= 0 {
		vd.demand[index] += units
	}
}

// ShareAbove returns the share of the recent demand, 0 to 1, with a value above the given one.
func (vd *ValueDistribution) ShareAbove(value float64) (share float64) {
	for i, v := range vd.values {
		if v > value && vd.total > 0 {
			share += vd.demand[i] / vd.total
		}
	}
	return min(1, share)
}
