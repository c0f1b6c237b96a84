package conformance

// ValueDistribution is what a member asks for, by worth: which part of its use, in units, each worth makes up
// lately. The zero value knows nothing.
type ValueDistribution struct {
	values, demand []float64
	total          float64
}

const (
	retention = 0.97 // weight of what was asked, with each further request: about the last thirty count
	maxValues = 16   // worths that are told apart; further ones count as none dearer
)

// Observe adds a request of a worth, in points, and what it asked, in units.
func (m *ValueDistribution) Observe(worth, units float64) {
	at := -1
	for i := range m.demand {
		m.demand[i] *= retention
		if m.values[i] == worth {
			at = i
		}
	}
	if m.total = retention*m.total + units; at < 0 && len(m.values) < maxValues {
		at, m.values, m.demand = len(m.values), append(m.values, worth), append(m.demand, 0)
	}
	if at >= 0 {
		m.demand[at] += units
	}
}

// ShareAbove is the part of what was asked, 0 to 1, that is worth more.
func (m *ValueDistribution) ShareAbove(worth float64) (part float64) {
	for i, w := range m.values {
		if w > worth && m.total > 0 {
			part += m.demand[i] / m.total
		}
	}
	return min(1, part)
}
