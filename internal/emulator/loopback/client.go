package loopback

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	maxRetries = 2 // maximum number of retries after the first attempt

	// initialBackoff is the minimum wait before the first retry, unless the answer has a Retry-After field. It doubles
	// for each further retry.
	initialBackoff = 30 * time.Millisecond

	minTimeLeft = 20 * time.Millisecond // minimum time left until the deadline for a retry to be made
)

// clientUser is a simulated client in a zone. It may keep one idle connection.
type clientUser struct {
	number int
	zone   int

	mu   sync.Mutex // guards idle
	idle *clientConn
}

// clientRequest is a request of a client, over all its attempts.
type clientRequest struct {
	class      *requestClass
	route      *route
	key        string
	user       *clientUser
	canaryEdge *machine // target of a canary, which is sent only once; nil: the platform chooses the machine
	keepAlive  bool
	startedAt  time.Time
}

// sendWithRetries sends a request and retries it as specified in section "Answers" of PROTOCOL.md.
func (cl *cluster) sendWithRetries(request *clientRequest, rng *rand.Rand) {
	backoff := initialBackoff
	for n := 0; ; n++ {
		t, retryAfter := cl.attempt(request, n, request.timeLeft(), rng)
		left := request.timeLeft()
		wait := backoff + time.Duration(rng.Int64N(int64(backoff)))
		backoff *= 2
		if retryAfter > 0 {
			wait = min(retryAfter, left/3)
		}
		exhausted := n == maxRetries || left-wait < minTimeLeft
		if !request.mayRetry(t) || exhausted || cl.lifetime.Err() != nil {
			cl.recorder.update(func() { t.Last = true })
			cl.countOutcome(t)
			return
		}
		cl.sleep(wait)
	}
}

func (c *clientRequest) timeLeft() time.Duration { return c.class.deadline - time.Since(c.startedAt) }

// mayRetry reports whether the result of an attempt allows another one. An at-most-once request may be retried only if
// the last attempt was provably not executed.
func (c *clientRequest) mayRetry(t *invariants.Attempt) bool {
	if c.canaryEdge != nil || isFinal(t) {
		return false
	}
	return !c.class.atMostOnce || isRejected(t) || t.End == invariants.NotConnected
}

// finalStatuses contains the statuses, besides success, that a retry cannot change.
var finalStatuses = []int{
	http.StatusBadRequest,
	http.StatusUnauthorized,
	http.StatusForbidden,
	http.StatusNotFound,
	http.StatusRequestEntityTooLarge,
	http.StatusRequestHeaderFieldsTooLarge,
}

// rejectionStatuses contains the statuses that prove that an attempt was not executed.
var rejectionStatuses = []int{
	http.StatusRequestTimeout,
	http.StatusMisdirectedRequest,
	http.StatusTooManyRequests,
	http.StatusServiceUnavailable,
}

// isFinal reports whether an attempt was answered with success or one of the finalStatuses.
func isFinal(t *invariants.Attempt) bool {
	if t.End != invariants.Answered {
		return false
	}
	return t.Status/100 == 2 || slices.Contains(finalStatuses, t.Status)
}

// isRejected reports whether an attempt was answered with one of the rejectionStatuses.
func isRejected(t *invariants.Attempt) bool {
	return t.End == invariants.Answered && slices.Contains(rejectionStatuses, t.Status)
}
