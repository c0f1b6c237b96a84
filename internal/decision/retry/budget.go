package retry

import "math"

const (
	defaultShare      = 0.1 // tokens added per first attempt
	defaultMaxTokens  = 8   // tokens, which bounds a burst of retries
	initialTokens     = 4   // tokens, so that the first failures after a start can be retried
	healthWindow      = 2.0 // s, time constant of the weight of a group's recent attempts
	failingShare      = 0.5 // share of failures among recent attempts from which the group as a whole fails
	minRecentAttempts = 8.0 // weighted attempts; with fewer, a group never counts as failing
)

// Budget is the retry budget of a gateway for a group of servers. New and Divided create one.
type Budget struct {
	tokens    float64 // retries that may be made now
	share     float64 // tokens added per first attempt
	maxTokens float64 // most tokens that can be saved up
	// slack is the number of retries that all gateways together may make beyond the share. 0: the budget is
	// not divided among gateways, and a retry of a rejected attempt costs nothing while the group is
	// healthy.
	slack float64

	attempts  float64 // recent attempts, weighted by age
	failures  float64 // recent attempts that failed, weighted by age
	decayedAt float64 // time of the last decay of these weights, in seconds
}

// New returns an undivided budget with initialTokens.
func New() Budget {
	return Budget{tokens: initialTokens, share: defaultShare, maxTokens: defaultMaxTokens}
}

// Divided returns the budget of one of several gateways that together may make the given share of retries,
// and in any period the slack beyond it. Each gateway can save up its part of the slack, but at least one
// token. In a divided budget a retry of a rejected attempt costs a token too, because the attempt has reached
// a server.
func Divided(share, slack float64, gateways int) Budget {
	b := Budget{share: share, slack: slack}
	b.SetGateways(gateways)
	b.tokens = b.maxTokens
	return b
}

// SetGateways changes the number of gateways that share a divided budget.
func (b *Budget) SetGateways(n int) {
	if b.slack <= 0 {
		return
	}
	b.maxTokens = max(1, b.slack/float64(max(1, n)))
	b.tokens = min(b.tokens, b.maxTokens)
}

// ObserveFirstAttempt adds the tokens of a request's first attempt.
func (b *Budget) ObserveFirstAttempt() { b.tokens = min(b.maxTokens, b.tokens+b.share) }

// ObserveOutcome records whether an attempt was served or failed. Now is in seconds.
func (b *Budget) ObserveOutcome(now float64, served bool) {
	b.decay(now)
	b.attempts++
	if !served {
		b.failures++
	}
}

func (b *Budget) decay(now float64) {
	weight := math.Exp(-max(0, now-b.decayedAt) / healthWindow)
	b.attempts *= weight
	b.failures *= weight
	b.decayedAt = max(b.decayedAt, now)
}

// Failing reports whether the group as a whole fails. Now is in seconds.
func (b *Budget) Failing(now float64) bool {
	b.decay(now)
	return b.attempts >= minRecentAttempts && b.failures >= failingShare*b.attempts
}

// Take reports whether a retry may be made, and takes a token if it costs one. ProvenNotExecuted means that
// the last attempt was certainly not executed. Queued means that first attempts wait for a server: they
// have precedence over retries of attempts that may have been executed. Now is in seconds.
func (b *Budget) Take(now float64, provenNotExecuted, queued bool) bool {
	if b.isFree(now, provenNotExecuted) {
		return true
	}
	if !b.Allows(now, provenNotExecuted, queued) {
		return false
	}
	b.tokens--
	return true
}

// Allows reports whether Take would allow a retry, without taking a token.
func (b *Budget) Allows(now float64, provenNotExecuted, queued bool) bool {
	return b.isFree(now, provenNotExecuted) || b.tokens >= 1 && (provenNotExecuted || !queued)
}

func (b *Budget) isFree(now float64, provenNotExecuted bool) bool {
	return provenNotExecuted && !b.Failing(now) && b.slack == 0
}

// Tokens returns the number of tokens: the retries that may be made now if each costs one.
func (b *Budget) Tokens() float64 { return b.tokens }
