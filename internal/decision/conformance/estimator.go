package conformance

const (
	// observationRetention is the weight of what was known at each further observation: about the last twenty
	// count.
	observationRetention = 0.95
	// priorObservations is how many observations count as conforming before any was made.
	priorObservations = 1.0
)

// Estimator estimates the probability that a request conforms to its quota, from the requests about which the
// shared counter was called. The zero value knows nothing: all requests conform.
//
// Among 80 gateways each sees a customer about once a minute, and the counter takes half of the calls: most
// requests are the first of their customer and no call decides them. Were all of them admitted, a sixth of
// what is forwarded would be over quota. What a gateway knows of such a request is whether its client marks
// it as a retry: most that are rejected for their quota come again, and by then four of five are over quota.
// So first requests and retries are kept apart, over all customers whose excess costs: one gateway calls the
// counter about each kind only once in a second or two, and kept for each customer it would never learn
// anything.
type Estimator struct{ first, retry conformingRatio }

// conformingRatio is how many requests conformed of those that were observed, weighted by age.
type conformingRatio struct{ conforming, observed float64 }

func (e *Estimator) ratio(clientRetry bool) *conformingRatio {
	if clientRetry {
		return &e.retry
	}
	return &e.first
}

// Observe learns the probability, 0 to 1, with which a request conformed that the counter was called about.
func (e *Estimator) Observe(clientRetry bool, probability float64) {
	r := e.ratio(clientRetry)
	r.conforming = observationRetention*r.conforming + probability
	r.observed = observationRetention*r.observed + 1
}

// Conforming is the estimated probability, 0 to 1, that a request conforms to its quota.
func (e *Estimator) Conforming(clientRetry bool) float64 {
	r := e.ratio(clientRetry)
	return (r.conforming + priorObservations) / (r.observed + priorObservations)
}
