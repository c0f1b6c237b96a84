package decision

import "mulleinrouter/internal/decision/conformance"

// customer is what a gateway knows of one customer: its terms, what it uses and its part of the quota.
type customer struct {
	key           string
	hash          uint32 // of the key; equal at all gateways
	termsTag      string // Terms.Tag of the terms in force
	counterSuffix string // ends the names of its counters
	plan          *Plan
	gateways      float64 // that its requests may come through
	quota         float64 // over all gateways: units a second, or attempts in flight

	inFlight   int // attempts
	lastUsedAt Seconds
	arrivals   arrivalRate
	values     conformance.ValueDistribution // of what it asks for

	bucket tokenBucket
	limit  limitBucket
	cycle  counterCycle
	sparse sparseMode
	pairs  pairCounters
}

// arrivalRate is an exponentially weighted rate of requests.
type arrivalRate struct {
	perSecond float64
	at        Seconds // when perSecond was computed
}

// tokenBucket holds this gateway's slice of a customer's quota and what is saved up of it.
type tokenBucket struct {
	slice      float64 // units a second that this gateway may grant
	tokens     float64 // units; below 0 where requests turned out larger than guessed
	capacity   float64 // units
	refilledAt Seconds
}

// limitBucket holds this gateway's own part of a customer's hard rate limit.
type limitBucket struct {
	tokens     float64 // units
	refilledAt Seconds
}

// counterCycle is the state of one customer in the cycles of the shared counter.
type counterCycle struct {
	period    Seconds
	phase     Seconds // offset of the cycles, so that the calls of all customers spread over a period
	number    int64   // of the present cycle
	startedAt Seconds
	readAt    Seconds // when the totals are to be read; 0: not in this cycle
	demand    float64 // units asked here in this cycle
	calls     int     // made in this cycle

	localRate float64 // units a second asked here in the last cycle
	totalRate float64 // units a second asked at all gateways, by the last valid total
	reporters float64 // gateways that the total is from
	totalAt   Seconds // when the last total came; -Inf: none has
	validFor  Seconds // how long a total is believed
	holdUntil Seconds // until then totals of fewer gateways than before are not believed
}

// sparseMode is the state of a customer whose slice is less than a few requests, so that each request is decided by sampling.
type sparseMode struct {
	active      bool
	cycleTotal  float64 // total of the present cycle, as last read
	admitRatio  float64 // part of the requests that is admitted, by the last totals; the same at all gateways
	demandShare float64 // part of the demand that comes through this gateway, by the last totals
	queries     []counterQuery
}

// counterQuery is a request that waits for the counter's answer.
type counterQuery struct {
	request       *request
	plan          *Plan
	counterName   string
	cycle         int64
	sentAt        Seconds
	amount        float64 // that it added
	previousCycle bool    // reads the total of the cycle before
	spanCapacity  float64 // of a call for the shared part of the rate limit: what a span has; else 0
}

// counterHealth is how the shared counter answers this gateway.
type counterHealth struct {
	failures           int     // calls in a row without a good answer
	pausedUntil        Seconds // no calls until then
	callProbability    float64 // of a call for a request of a sparse customer
	probabilityAtReply float64 // callProbability at the last reply, also one that rejected the call
	repliedAt          Seconds
	reducedAt          Seconds // when callProbability was last reduced
	unanswered         int     // calls in a row since the last reply
}
