package retry

import "math"

const (
	defaultShare      = 0.1 // tokens for a first attempt
	defaultMaxTokens  = 8
	initialTokens     = 4   // a single failure is no storm
	healthWindow      = 2.0 // s, the time constant of a group's recent attempts
	failingShare      = 0.5 // of the recent attempts: with more failures, the group as a whole fails
	minRecentAttempts = 8.0 // fewer tell nothing of a group
)

// Budget is the retry budget of one gateway for one group of servers. New and Divided make it.
type Budget struct {
	tokens    float64 // retries that may be made now
	share     float64 // tokens for a first attempt
	maxTokens float64
	// slack is how many retries all gateways together may make beyond the share. 0: the budget is not divided
	// among them, and a retry of what was rejected costs nothing while the group is healthy.
	slack float64

	attempts  float64 // recent ones, weighted by age
	failures  float64 // of these
	decayedAt float64 // when these were computed, in seconds
}

// New returns a budget with some tokens.
func New() Budget {
	return Budget{tokens: initialTokens, share: defaultShare, maxTokens: defaultMaxTokens}
}

// Divided returns the budget of one of several gateways that together may make the given share of retries,
// and the slack beyond it in a window: each saves up its part of the slack. What a server rejected has
// reached it, and its retry costs a token too.
func Divided(share, slack float64, gateways int) Budget {
	b := Budget{share: share, slack: slack}
	b.SetGateways(gateways)
	b.tokens = b.maxTokens
	return b
}

// SetGateways sets how many gateways share a divided budget from now on.
func (b *Budget) SetGateways(n int) {
	if b.slack <= 0 {
		return
	}
	b.maxTokens = max(1, b.slack/float64(max(1, n)))
	b.tokens = min(b.tokens, b.maxTokens)
}

// ObserveFirstAttempt saves up for a request's first attempt.
func (b *Budget) ObserveFirstAttempt() { b.tokens = min(b.maxTokens, b.tokens+b.share) }

// ObserveOutcome learns how an attempt ended: served, or failed by the server. Now is in seconds.
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

// Take reports whether a retry may be made, and takes a token if it costs one. ProvenNotExecuted: the last
// attempt was certainly not executed. Queued: first attempts wait for a server; they go before retries of
// what may have been executed. Now is in seconds.
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

// Allows reports whether Take would allow a retry, and takes nothing.
func (b *Budget) Allows(now float64, provenNotExecuted, queued bool) bool {
	return b.isFree(now, provenNotExecuted) || b.tokens >= 1 && (provenNotExecuted || !queued)
}

func (b *Budget) isFree(now float64, provenNotExecuted bool) bool {
	return provenNotExecuted && !b.Failing(now) && b.slack == 0
}

// Tokens is how many retries that cost a token may be made now.
func (b *Budget) Tokens() float64 { return b.tokens }
