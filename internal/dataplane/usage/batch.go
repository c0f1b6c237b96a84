package usage

import (
	"math"
	"math/rand/v2"
)

// Batch is what is sent to billing at once. Its number and its content belong together for ever: a batch that is sent
// again, whatever happened meanwhile, is byte for byte the same.
type Batch struct {
	Source string `json:"source"` // the ingress's store: a new one begins at number 1 under another name
	Number uint64 `json:"number"` // from 1, without gaps
	First  uint64 `json:"first_segment"`
	Last   uint64 `json:"last_segment"`
	Rows   []Row  `json:"rows"`
	// What the rows do not hold: requests forwarded while the disk was full, and records that could not be read.
	Unmetered Sum `json:"unmetered"`
	Damaged   int `json:"damaged_records"`
}

// Ack is billing's acknowledgement of a batch.
type Ack struct {
	Source string `json:"source"`
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// Reply is what the reply of the billing endpoint means for the batch.
type Reply int

// The replies.
const (
	Acknowledged Reply = iota
	Retry              // not accepted, or it is not known whether: the same batch is sent again
	Conflict           // there is other content under this number: an operator must look
	Invalid            // it will not be accepted as it is: an operator must look
)

// InterpretStatus interprets a reply by its status; 0: there was none. Echoed: its body names this batch and its
// content.
func InterpretStatus(status int, echoed bool) Reply {
	switch {
	case status >= 200 && status < 300 && echoed:
		return Acknowledged
	case status == 409:
		return Conflict
	case status == 400, status == 413, status == 422:
		return Invalid
	}
	return Retry // also after a 2xx that does not name the batch: some other program sent it
}

// The delays before a batch is sent again, in seconds: doubled from the first to the maximum. What an operator must
// look at is sent again after the maximum: the endpoint may have been corrected.
const (
	minRetryDelay = 1.0
	maxRetryDelay = 300.0

	maxDoublings = 20
)

// RetryDelay returns the delay before a batch is sent again, in seconds, after so many failures in a row (from 1), of
// which this is the last reply. Advice is what the endpoint asked for, in seconds; 0: nothing. The delay is
// randomized, so that ingresses that failed together do not come back together.
func RetryDelay(failures int, reply Reply, advice float64, rng *rand.Rand) float64 {
	delay := min(maxRetryDelay, minRetryDelay*math.Exp2(float64(min(failures-1, maxDoublings))))
	if reply == Conflict || reply == Invalid {
		delay = maxRetryDelay
	}
	return max(min(advice, maxRetryDelay), delay*(0.5+0.5*rng.Float64()))
}
