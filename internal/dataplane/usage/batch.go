package usage

import (
	"math"
	"math/rand/v2"
)

// Batch is a unit of export to billing. The content of a batch with a given number never changes: if the batch is sent
// again, for whatever reason, it is identical byte for byte.
type Batch struct {
	Source string `json:"source"` // name of the ingress's store; a new store has another name and begins at number 1
	Number uint64 `json:"number"` // from 1, without gaps
	First  uint64 `json:"first_segment"`
	Last   uint64 `json:"last_segment"`
	Rows   []Row  `json:"rows"`
	// The rows include neither of these: requests that were forwarded while the disk was full, and records that could
	// not be read.
	Unmetered Sum `json:"unmetered"`
	Damaged   int `json:"damaged_records"`
}

// Ack is billing's acknowledgement of a batch.
type Ack struct {
	Source string `json:"source"`
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// Reply is what the billing endpoint's reply means for the batch.
type Reply int

// The replies.
const (
	Acknowledged Reply = iota
	Retry              // not accepted, or not known to be accepted: the same batch is sent again
	Conflict           // the endpoint has other content under this number: an operator must intervene
	Invalid            // the endpoint will not accept the batch unchanged: an operator must intervene
)

// InterpretStatus interprets a reply by its HTTP status; status 0 means that there was no reply. echoed is true if the
// body of the reply names this batch and its content.
func InterpretStatus(status int, echoed bool) Reply {
	switch {
	case status >= 200 && status < 300 && echoed:
		return Acknowledged
	case status == 409:
		return Conflict
	case status == 400, status == 413, status == 422:
		return Invalid
	}
	return Retry // also for a 2xx that does not name the batch, because it comes from another program
}

// Delays before a batch is sent again, in seconds. The delay doubles with each failure, from the minimum to the
// maximum. A batch that needs an operator is sent again after the maximum, because the endpoint may have been
// corrected.
const (
	minRetryDelay = 1.0
	maxRetryDelay = 300.0

	maxDoublings = 20 // bounds the exponent; the delay reaches its maximum before
)

// RetryDelay returns the delay before a batch is sent again, in seconds. failures is the number of consecutive failures
// (from 1), and reply is the last reply. advice is the delay that the endpoint asked for, in seconds; 0: none. It is a
// lower bound, up to maxRetryDelay. The delay is randomized to between half of its value and all of it, so that
// ingresses that failed together do not retry together.
func RetryDelay(failures int, reply Reply, advice float64, rng *rand.Rand) float64 {
	delay := min(maxRetryDelay, minRetryDelay*math.Exp2(float64(min(failures-1, maxDoublings))))
	if reply == Conflict || reply == Invalid {
		delay = maxRetryDelay
	}
	return max(min(advice, maxRetryDelay), delay*(0.5+0.5*rng.Float64()))
}
