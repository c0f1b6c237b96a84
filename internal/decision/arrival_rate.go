package decision

import "math"

// arrivalWindow is the time constant of arrival rates, in seconds: a burst is over before a cycle shows it.
const arrivalWindow = 0.7

// arrivalRate is an exponentially weighted rate of requests.
type arrivalRate struct {
	perSecond float64
	at        Seconds // when perSecond was computed
}

func (ar *arrivalRate) observe(now Seconds) {
	ar.perSecond = ar.perSecond*math.Exp((ar.at-now)/arrivalWindow) + 1/arrivalWindow
	ar.at = now
}

// poissonBelow is the probability of fewer than n events where mean are expected.
func poissonBelow(n int, mean float64) float64 {
	term := math.Exp(-mean)
	sum := 0.0
	for i := range n {
		sum += term
		term *= mean / float64(i+1)
	}
	return sum
}
