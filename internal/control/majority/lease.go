package majority

import (
	"sync"
	"time"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/mutants"
)

// TTL is how long a voter counts as in contact after it has answered a request, measured from the time at which the
// request was sent. Package control pings the voters every 250 ms, so a few lost messages do not end the contact. With
// a larger TTL, a node that is cut off would count as in contact for longer.
const TTL = 1500 * time.Millisecond

// Lease is a lease on a majority of the voters. A voter counts as in contact for TTL from the moment at which this
// node sent a request that the voter has answered, because an answer shows that both directions work. Expiry is
// evaluated whenever the lease is read, so that a process that resumes after a suspension finds the lease expired
// even if answers are still waiting in its receive buffers.
type Lease struct {
	self   string
	now    func() time.Duration
	voters func() []string

	mu           sync.Mutex               // guards the fields below
	lastAnswered map[string]time.Duration // send time of the newest answered request, by node
	held         bool                     // result of the last evaluation
	term         uint64                   // number of uninterrupted spans so far in which the lease was held
	termStart    time.Duration            // start of the last of these spans
	firstHeld    chan struct{}            // closed when the lease is held for the first time
}

// NewLease makes a lease that is not held. now is a monotonic clock; voters returns the addresses of the
// electorate, or nil if the electorate is unknown. Neither may block.
func NewLease(self string, now func() time.Duration, voters func() []string) *Lease {
	return &Lease{
		self:         self,
		now:          now,
		voters:       voters,
		lastAnswered: map[string]time.Duration{},
		firstHeld:    make(chan struct{}),
	}
}

// Now returns the time on the lease's clock. Callers pass it to RecordAnswer as the time at which a request was sent.
func (l *Lease) Now() time.Duration { return l.now() }

// RecordAnswer records that a node has answered a request that was sent at sentAt by the lease's clock. The lease is
// also evaluated before, because it may have expired since the last evaluation. In that case the answer may begin a new
// term.
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

// evaluate updates held and term, and returns the voters in contact, including this node if it is a voter. The caller
// holds l.mu.
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
		l.termStart = now
	}
	l.held = held
	return reachable
}

func (l *Lease) inContact(node string, now time.Duration) bool {
	ttl := TTL
	if mutants.On("majority/lease-of-one-round") {
		ttl = 250 * time.Millisecond // interval of the pings
	}
	at, ok := l.lastAnswered[node]
	return ok && now-at <= ttl
}

// Current returns the lease's term, which numbers the current or the last uninterrupted span in which the lease was
// held, and whether the lease is held now.
func (l *Lease) Current() (term uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !mutants.On("majority/contact-as-last-looked") {
		l.evaluate()
	}
	return l.term, l.held
}

// HeldFor returns the lease's term and how long the lease has been held without interruption; ok is false if it is not
// held now. A process that is suspended for longer than TTL loses the lease, so it has not been in that time.
func (l *Lease) HeldFor() (term uint64, span time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evaluate()
	return l.term, l.now() - l.termStart, l.held
}

// Held reports whether the lease is held now.
func (l *Lease) Held() bool {
	_, held := l.Current()
	return held
}

// FirstHeld returns a channel that is closed when the lease is held for the first time.
func (l *Lease) FirstHeld() <-chan struct{} { return l.firstHeld }

// Reachable returns the voters in contact now in the order of the electorate, including this node if it is a voter,
// together with the lease's term and whether the lease is held.
func (l *Lease) Reachable() (voters []string, term uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	voters = l.evaluate()
	return voters, l.term, l.held
}

// Age returns the time since the newest request that a node has answered was sent, or a negative duration if the node
// has never answered one.
func (l *Lease) Age(node string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.lastAnswered[node]; ok {
		return l.now() - at
	}
	return -1
}
