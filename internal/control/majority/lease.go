package majority

import (
	"sync"
	"time"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/mutants"
)

// TTL is how long an answered request shows that a voter is in contact, counted from when the request was sent.
const TTL = 1500 * time.Millisecond

// Lease is a lease on a majority of the voters. A voter counts for TTL from the moment at which this node sent
// the request that the voter has answered since: so it shows that both directions work. Expiry is evaluated
// whenever the lease is read, so that a process that was suspended finds the lease expired, whatever its buffers
// hold.
type Lease struct {
	self   string
	now    func() time.Duration
	voters func() []string

	mu           sync.Mutex               // guards the fields below
	lastAnswered map[string]time.Duration // per node: when the newest request that it answered was sent
	held         bool                     // as of the last evaluation
	term         uint64                   // number of uninterrupted spans in which the lease was held
	firstHeld    chan struct{}            // closed when the lease is held for the first time
}

// NewLease makes a lease that is not held. Now is a monotonic clock; voters returns the addresses of the
// electorate, nil if it is unknown. Neither may block.
func NewLease(self string, now func() time.Duration, voters func() []string) *Lease {
	return &Lease{
		self:         self,
		now:          now,
		voters:       voters,
		lastAnswered: map[string]time.Duration{},
		firstHeld:    make(chan struct{}),
	}
}

// Now reads the lease's clock, for RecordAnswer.
func (l *Lease) Now() time.Duration { return l.now() }

// RecordAnswer records that a node has answered a request that was sent at sentAt by the lease's clock. Between
// two answers the lease may have expired unobserved, so it is evaluated before and after.
func (l *Lease) RecordAnswer(node string, sentAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evaluate()
	if mutants.On("majority/contact-from-the-answer") {
		sentAt = l.now()
	}
	if at, ok := l.lastAnswered[node]; !ok || sentAt > at {
		l.lastAnswered[node] = sentAt
	}
	l.evaluate()
}

// evaluate updates held and term, and returns the voters in contact, this node included if it is one. l.mu is held.
func (l *Lease) evaluate() (reachable []string) {
	now, voters := l.now(), l.voters()
	for _, voter := range voters {
		if voter == l.self || l.inContact(voter, now) {
			reachable = append(reachable, voter)
		}
	}
	held := len(voters) > 0 && len(reachable) >= consensus.Majority(len(voters))
	if held && !l.held {
		if l.term++; l.term == 1 {
			close(l.firstHeld)
		}
	}
	l.held = held
	return reachable
}

func (l *Lease) inContact(node string, now time.Duration) bool {
	ttl := TTL
	if mutants.On("majority/lease-of-one-round") {
		ttl = 250 * time.Millisecond
	}
	at, ok := l.lastAnswered[node]
	return ok && now-at <= ttl
}

// Current tells whether the lease is held now, and its term: the number of the uninterrupted span in which it is
// or was held.
func (l *Lease) Current() (term uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !mutants.On("majority/contact-as-last-looked") {
		l.evaluate()
	}
	return l.term, l.held
}

// Held tells whether the lease is held now.
func (l *Lease) Held() bool {
	_, held := l.Current()
	return held
}

// FirstHeld returns a channel that is closed when the lease is held for the first time.
func (l *Lease) FirstHeld() <-chan struct{} { return l.firstHeld }

// Reachable returns the voters in contact now, this node included if it is one, and the lease's term and whether
// it is held.
func (l *Lease) Reachable() (voters []string, term uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	voters = l.evaluate()
	return voters, l.term, l.held
}

// Age is how long ago the newest request was sent that a node has answered; negative: it never answered one.
func (l *Lease) Age(node string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.lastAnswered[node]; ok {
		return l.now() - at
	}
	return -1
}
