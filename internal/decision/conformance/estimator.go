package conformance

const (
	// observationRetention is the factor on earlier observations at each new one: about the last twenty
	// count.
	observationRetention = 0.95
	// priorObservations is the number of conforming observations that are assumed at the start.
	priorObservations = 1.0
)

// Estimator estimates the probability that a request conforms to its quota, from the requests for which the
// shared counter was called. Its zero value estimates that all requests conform.
//
// Each of 80 gateways sees a customer about once a minute, and the counter can handle half of the calls, so
// most requests are the first of their customer and are decided without a call. If all of them were
// admitted, a sixth of the forwarded requests would be over quota. The gateway only knows whether the
// client marked such a request as a retry. Most requests that are rejected for their quota are retried, and
// four of five retries are over quota. So first requests and retries are counted separately, over all
// customers whose excess costs. They are not counted per customer, because one gateway calls the counter
// for each of the two kinds only once in a second or two, which is too little to learn from for each
// customer.
type Estimator struct{ first, retry conformingRatio }

// conformingRatio counts the observed requests and those of them that conformed, weighted by age.
type conformingRatio struct{ conforming, observed float64 }

func (e *Estimator) ratio(clientRetry bool) *conformingRatio {
	if clientRetry {
		return &e.retry
	}
	return &e.first
}

// Observe records the probability, 0 to 1, that a request for which the counter was called conformed.
func (e *Estimator) Observe(clientRetry bool, probability float64) {
	r := e.ratio(clientRetry)
	r.conforming = observationRetention*r.conforming + probability
	r.observed = observationRetention*r.observed + 1
}

// Conforming returns the estimated probability, 0 to 1, that a request conforms to its quota.
func (e *Estimator) Conforming(clientRetry bool) float64 {
	r := e.ratio(clientRetry)
	return (r.conforming + priorObservations) / (r.observed + priorObservations)
}
