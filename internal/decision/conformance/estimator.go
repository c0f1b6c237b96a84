// Package conformance keeps how often requests turned out to be inside their quota, of those that the shared
// counter was asked about, so that others can be decided without asking. It does no I/O and reads no clock.
//
// Among 80 ingresses each meets a member about once a minute, and the counter takes half of the calls: most
// requests are first meetings that no call decides. Let in, a sixth of all that was sent on was beyond
// quotas. What an ingress can tell of such a request is whether its client marks it as a repeat: most that
// are refused for their quota come again, and by then four of five are beyond it. First tries and repeats are
// kept apart, over all members whose requests cost beyond the quota, for one ingress asks about each kind
// only once in a second or two: kept for each member, it would never learn anything.
package conformance

const (
	// Weight of what was known, with each further answer: about the last twenty count.
	observationRetention = 0.95
	priorObservations    = 1.0 // answers that count as inside, before any came
)

// Estimator are those of one ingress. The zero value knows nothing: all is inside.
type Estimator struct{ first, repeat conformingRatio }

type conformingRatio struct{ conforming, observed float64 }

func (o *Estimator) of(repeat bool) *conformingRatio {
	if repeat {
		return &o.repeat
	}
	return &o.first
}

// Observe tells what came of a request that was asked about: the chance, 0 to 1, of it being inside its
// quota.
func (o *Estimator) Observe(repeat bool, inside float64) {
	m := o.of(repeat)
	m.conforming, m.observed = observationRetention*m.conforming+inside, observationRetention*m.observed+1
}

// Conforming is the chance that a request that is not asked about is inside its quota.
func (o *Estimator) Conforming(repeat bool) float64 {
	m := o.of(repeat)
	return (m.conforming + priorObservations) / (m.observed + priorObservations)
}
