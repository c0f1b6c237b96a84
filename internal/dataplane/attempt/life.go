// Package attempt is the life of a request: taken, sent on perhaps several times, answered once. It is written as a
// machine that serving code runs on and that an explorer drives through every order of events. It does no I/O, reads
// no clock and starts no goroutine.
//
// Life is the machine of one request; Desk holds the decision module and the lives of all requests in its hands, and
// turns what happens into what is to be done.
package attempt

import (
	"errors"
	"fmt"

	"mulleinrouter/internal/decision"
)

// Phase is where in its life a request is.
type Phase uint8

// The phases.
const (
	Waiting  Phase = iota // in the module's hands; nothing is out
	Out                   // an attempt is out, or has been decided on
	Deserted              // nobody waits for the answer any more, and an attempt is still out
	Over                  // its last word has been said
)

var phases = [...]string{"waiting", "out", "deserted", "over"}

func (p Phase) String() string { return phases[p] }

// Errors of steps that a life does not have. They are the module's or the host's mistakes: each is told with a code and
// ends in an answer that is safe.
var (
	ErrPhase  = errors.New("not in this phase")
	ErrMany   = errors.New("one attempt too many")
	ErrTwice  = errors.New("it may have run and must not run twice")
	ErrSpent  = errors.New("its body has gone")
	ErrRefuse = errors.New("a refusal, though it may have run and must not run twice")
)

// Life is the machine of one request. Its zero value is a request that may run twice, of one attempt at most.
type Life struct {
	Once  bool // it must not run twice: nothing is sent again that may have run
	Wrong bool // nor may it be asked again by its client: a refusal after it may have run would be a lie
	Most  int  // attempts

	phase    Phase
	attempts int
	mayRun   bool // an attempt that is over may have run, or may yet
	spent    bool // of its body, something has been taken that cannot be had again
}

// Phase tells where it is.
func (l *Life) Phase() Phase { return l.phase }

// Attempts is how many have been decided on.
func (l *Life) Attempts() int { return l.attempts }

// MayHaveRun tells whether an attempt may have run, or may yet, as far as is known.
func (l *Life) MayHaveRun() bool { return l.mayRun || l.phase == Out || l.phase == Deserted }

// Spend tells that something of its body has been taken that cannot be had again: the attempt that is out is the last.
func (l *Life) Spend() { l.spent = true }

// Spent tells whether it cannot be sent again.
func (l *Life) Spent() bool { return l.spent }

// Send is the decision to make an attempt.
func (l *Life) Send() error {
	switch {
	case l.phase != Waiting:
		return fmt.Errorf("send while %v: %w", l.phase, ErrPhase)
	case l.attempts >= max(1, l.Most):
		return fmt.Errorf("send after %d: %w", l.attempts, ErrMany)
	case l.spent:
		return fmt.Errorf("send: %w", ErrSpent)
	case l.Once && l.mayRun:
		return fmt.Errorf("send: %w", ErrTwice)
	}
	l.phase = Out
	l.attempts++
	return nil
}

// Ended is the end of the attempt that is out. It tells whether that was the last word: served, or nobody waits.
func (l *Life) Ended(o decision.Outcome) (over bool, err error) {
	if l.phase != Out && l.phase != Deserted {
		return false, fmt.Errorf("an attempt ends while %v: %w", l.phase, ErrPhase)
	}
	l.mayRun = l.mayRun || !o.Proves()
	if l.phase == Deserted && !mutated("deserted-waits") || o == decision.Done {
		l.phase = Over
		return true, nil
	}
	l.phase = Waiting
	return false, nil
}

// Refuse is the decision to answer that trying again does no harm.
func (l *Life) Refuse() error {
	if l.phase != Waiting {
		return fmt.Errorf("refuse while %v: %w", l.phase, ErrPhase)
	}
	if l.Wrong && l.mayRun {
		return ErrRefuse
	}
	l.phase = Over
	return nil
}

// Fail is the decision to answer that it was not served and may have run.
func (l *Life) Fail() error {
	if l.phase != Waiting {
		return fmt.Errorf("fail while %v: %w", l.phase, ErrPhase)
	}
	l.phase = Over
	return nil
}

// Leave tells that nobody waits for the answer any more. Over: nothing is out, it was the last word. It may come at
// any time, and more than once.
func (l *Life) Leave() (over bool) {
	switch l.phase {
	case Waiting:
		l.phase = Over
		return true
	case Out:
		if mutated("left-is-over") {
			l.phase = Over
			return true
		}
		l.phase = Deserted
	}
	return false
}
