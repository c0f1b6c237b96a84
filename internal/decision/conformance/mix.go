package conformance

// ValueDistribution is what a member asks for, by worth: which part of its use, in units, each worth makes up lately. The zero value knows nothing.
type ValueDistribution struct {
	worths, asked []float64
	sum           float64
}

const (
	keepMix   = 0.97 // weight of what was asked, with each further request: about the last thirty count
	mostKinds = 16   // worths that are told apart; further ones count as none dearer
)

// Observe adds a request of a worth, in points, and what it asked, in units.
func (m *ValueDistribution) Observe(worth, units float64) {
	at := -1
	for i := range m.asked {
		m.asked[i] *= keepMix
		if m.worths[i] == worth {
			at = i
		}
	}
	if m.sum = keepMix*m.sum + units; at < 0 && len(m.worths) < mostKinds {
		at, m.worths, m.asked = len(m.worths), append(m.worths, worth), append(m.asked, 0)
	}
	if at >= 0 {
		m.asked[at] += units
	}
}

// ShareAbove is the part of what was asked, 0 to 1, that is worth more.
func (m *ValueDistribution) ShareAbove(worth float64) (part float64) {
	for i, w := range m.worths {
		if w > worth && m.sum > 0 {
			part += m.asked[i] / m.sum
		}
	}
	return min(1, part)
}
