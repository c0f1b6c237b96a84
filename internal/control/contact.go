package control

import (
	"sync"
	"time"

	"mulleinrouter/internal/cluster/consensus"
)

const (
	contactTTL   = 1500 * time.Millisecond // for which an answered question shows that a node is in contact
	startupGrace = 2 * time.Second         // after the start: a call that comes before the first contact waits for it till then
	startupWait  = 500 * time.Millisecond  // for which one call waits
)

// contact is a lease on a majority of the voters. It runs from the moment at which this node asked what they have answered since, so it
// shows that they hear this node and that it hears them, and it is looked at when something is said: a process that stood still
// finds it run out, whatever lies in its buffers. It does no I/O.
type contact struct {
	self   string
	now    func() time.Duration // since the start of the process, steady
	voters func() []string

	mu           sync.Mutex
	lastAnswered map[string]time.Duration // when the last question was put that a node has answered
	held         bool                     // as of the last look
	term         uint64                   // spans of contact without a break, counted
	first        chan struct{}            // closed at the first contact
}

func newContact(self string, now func() time.Duration, voters func() []string) *contact {
	return &contact{self: self, now: now, voters: voters, lastAnswered: map[string]time.Duration{}, first: make(chan struct{})}
}

// answered takes an answer to a question that was put then. Between two answers contact may have been lost unseen, so it is looked
// at before and after.
func (c *contact) answered(by string, asked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	if mutated("contact-from-the-answer") {
		asked = c.now()
	}
	if at, ok := c.lastAnswered[by]; !ok || asked > at {
		c.lastAnswered[by] = asked
	}
	c.refresh()
}

// refresh notes where a span of contact begins and ends. The mutex is held.
func (c *contact) refresh() (living []string) {
	now, voters := c.now(), c.voters()
	for _, v := range voters {
		if v == c.self || c.within(v, now) {
			living = append(living, v)
		}
	}
	held := len(voters) > 0 && len(living) >= consensus.Majority(len(voters))
	if held && !c.held {
		if c.term++; c.term == 1 {
			close(c.first)
		}
	}
	c.held = held
	return living
}

func (c *contact) within(who string, now time.Duration) bool {
	at, ok := c.lastAnswered[who]
	return ok && now-at <= contactTTL
}

// current tells whether this node is in contact with a majority now, and in which span of it without a break.
func (c *contact) current() (term uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !mutated("contact-as-last-looked") {
		c.refresh()
	}
	return c.term, c.held
}

// living is the voters in contact now, this node with them if it is one, whether they are a majority, and in which span.
func (c *contact) living() (living []string, term uint64, majority bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	living = c.refresh()
	return living, c.term, c.held
}

// age is how long ago a question was put to a node that it has answered; negative: none was answered.
func (c *contact) age(who string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.lastAnswered[who]; ok {
		return c.now() - at
	}
	return -1
}
