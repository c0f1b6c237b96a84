package decision

import "math"

// arrivalWindow is the time constant of arrival rates, in seconds. It is short because the totals of counter
// cycles show a burst only after it has ended.
const arrivalWindow = 0.7

// arrivalRate is an exponentially weighted rate of requests.
type arrivalRate struct {
	perSecond float64
	at        Seconds // time of the last update of perSecond
}

func (ar *arrivalRate) observe(now Seconds) {
	ar.perSecond = ar.perSecond*math.Exp((ar.at-now)/arrivalWindow) + 1/arrivalWindow
	ar.at = now
}

// poissonBelow returns the probability of fewer than n events of a Poisson process, given their mean number.
func poissonBelow(n int, mean float64) float64 {
	term := math.Exp(-mean)
	sum := 0.0
	for i := range n {
		sum += term
		term *= mean / float64(i+1)
	}
	return sum
}
