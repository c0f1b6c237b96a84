// Package retry decides whether a further attempt of a request may be afforded. It does no I/O and reads no
// clock.
//
// A further attempt is good where one server fails and others are well, and harmful where all fail: then each
// request costs several attempts, which is what keeps the servers down. So attempts that may have run always
// cost a token, and those that surely have not run (turned away, refused) cost one as soon as the group as a
// whole fails. Tokens are saved up by first attempts, a tenth for each. Each ingress holds further attempts
// to a tenth of its own first ones, so all of them together hold to a tenth of all, however the first ones
// are spread, and without talk.
package retry

import "math"

const (
	defaultShare = 0.1 // tokens for a first attempt
	// Tokens that are kept, and at the start: a single failure is no storm.
	defaultMaxTokens, initialTokens = 8, 4
	healthWindow                    = 2.0 // s: how far back the group's health is looked at
	failingShare                    = 0.5 // share of the attempts lately that failed: the group does
	minAttempts                     = 8.0 // attempts lately: fewer tell nothing of a group
)

// Budget is that of one ingress for one group of servers. It begins with New.
type Budget struct {
	tokens             float64
	attempts, failures float64 // lately, older ones count less
	decayedAt          float64 // when that was reckoned, in seconds

	share, maxTokens float64
	// Over all ingresses; 0: the budget is not divided, and what was turned away costs nothing while the
	// group is well.
	slack float64
}

// Divided returns the budget of one of so many ingresses where all of them together may make so large a share
// of further attempts, and the slack beyond it in a window: each saves up its part of the slack. What a
// server turned away has arrived there, and costs a token too.
func Divided(share, slack float64, ingresses int) Budget {
	b := Budget{share: share, slack: slack}
	b.SetGateways(ingresses)
	b.tokens = b.maxTokens
	return b
}

// Divide tells how many ingresses share a divided budget now.
func (b *Budget) SetGateways(ingresses int) {
	if b.slack > 0 {
		b.maxTokens = max(1, b.slack/float64(max(1, ingresses)))
		b.tokens = min(b.tokens, b.maxTokens)
	}
}

// New returns a budget with some tokens.
func New() Budget {
	return Budget{tokens: initialTokens, share: defaultShare, maxTokens: defaultMaxTokens}
}

// First tells of a request's first attempt.
func (b *Budget) ObserveFirstAttempt() { b.tokens = min(b.maxTokens, b.tokens+b.share) }

// Ended tells how an attempt ended: served, or in any other way that is the server's. Now is in seconds.
func (b *Budget) ObserveOutcome(now float64, served bool) {
	b.decay(now)
	if b.attempts++; !served {
		b.failures++
	}
}

func (b *Budget) decay(now float64) {
	part := math.Exp(-max(0, now-b.decayedAt) / healthWindow)
	b.attempts, b.failures, b.decayedAt = b.attempts*part, b.failures*part, max(b.decayedAt, now)
}

// Failing tells whether the group as a whole fails.
func (b *Budget) Failing(now float64) bool {
	b.decay(now)
	return b.attempts >= minAttempts && b.failures >= failingShare*b.attempts
}

// Again tells whether a further attempt may be made, and takes a token if it costs one. Proven: the last one
// surely has not run. Crowded: first attempts wait for a server; they go before what may have run.
func (b *Budget) Take(now float64, proven, crowded bool) bool {
	if b.free(now, proven) {
		return true
	}
	if !b.Allows(now, proven, crowded) {
		return false
	}
	b.tokens--
	return true
}

// Affords tells whether Again would say yes, and takes nothing.
func (b *Budget) Allows(now float64, proven, crowded bool) bool {
	return b.free(now, proven) || b.tokens >= 1 && (proven || !crowded)
}

func (b *Budget) free(now float64, proven bool) bool {
	return proven && !b.Failing(now) && b.slack == 0
}

// Tokens is how many further attempts that cost a token may be made now.
func (b *Budget) Tokens() float64 { return b.tokens }
