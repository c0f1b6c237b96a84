// Package engine runs the decision module on real time. It is the sole owner of the gateway, which
// is not safe for concurrent use: it hands it one event at a time and routes every action to the
// request, the counter or the timer that it concerns. It knows no protocol; whatever speaks one asks
// it through a Ticket.
package engine

import (
	"sync"
	"time"

	"mulleinrouter/passhub"
)

// Clock is the module's time: Unix seconds as the machine had them at the start, carried on by the
// monotonic clock. Gateways that share a counter name their cycles by it, so it must begin alike
// everywhere; a step of the wall clock must not move it.
type Clock struct {
	base time.Time
	unix float64
}

// NewClock returns a clock that starts now.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{base: now, unix: float64(now.UnixNano()) / 1e9}
}

// Now is the module's time.
func (c *Clock) Now() passhub.Seconds { return c.unix + time.Since(c.base).Seconds() }

// Counter carries out the module's calls to the shared counter. Add must not wait; what comes of it
// is told to Engine.Counted, once.
type Counter interface {
	Add(name string, amount float64, keep passhub.Seconds)
}

// Kind is what is to be done with a request.
type Kind int

// The kinds. Refuse, Fail and Gone are the last decision on a request.
const (
	Send   Kind = iota // start an attempt, tell Ended what came of it
	Refuse             // answer that trying again does no harm
	Fail               // answer that it was not served and may have run
	Gone               // answer nothing: nobody waits
)

// Decision is what the module decided for a request.
type Decision struct {
	Kind       Kind
	Backend    string          // of a Send
	Until      time.Time       // when to give a Send up
	Beyond     bool            // of a Send: the request is beyond its quota
	RetryAfter passhub.Seconds // of a Refuse; 0: no advice
}

// Catalogue tells the terms of members where plans change in service (plans.State does). The engine asks it under
// its mutex, so that no request is decided on terms that a change told before it has replaced.
type Catalogue interface {
	// Terms are those of a member whose client names a plan; nil: those of the settings.
	Terms(member, plan string, now passhub.Seconds) *passhub.Terms
	// Due are the terms that changed since it was asked last and that the module must be told of.
	Due(now passhub.Seconds) []passhub.Terms
	// Next is when that will be so again, by what is known now; 0: never.
	Next(now passhub.Seconds) passhub.Seconds
	// InForce is the number of the revision that holds; 0: none.
	InForce(now passhub.Seconds) uint64
}

// Engine owns the gateway.
type Engine struct {
	clock   *Clock
	counter Counter

	mu        sync.Mutex
	gateway   *passhub.Gateway
	tickets   map[uint64]*Ticket
	last      uint64
	catalogue Catalogue   // nil: none, plans are those of the settings
	due       *time.Timer // for what the catalogue has next
}

// New returns an engine around a gateway that nobody else uses.
func New(gateway *passhub.Gateway, clock *Clock) *Engine {
	return &Engine{gateway: gateway, clock: clock, tickets: map[uint64]*Ticket{}}
}

// Start gives the gateway its first event. Counter may be nil where the deployment has none.
func (e *Engine) Start(counter Counter) {
	e.counter = counter
	e.handle(passhub.Start{})
}

// Backends tells news of the list of backends.
func (e *Engine) Backends(news passhub.Backends) { e.handle(news) }

// Counted tells what came of a counter call.
func (e *Engine) Counted(name string, outcome passhub.Outcome, total float64) {
	e.handle(passhub.Counted{Name: name, Outcome: outcome, Total: total})
}

// Revise lets a function change the catalogue, and tells the module what has changed by it. It returns the
// catalogue that counts from now on. No request is decided meanwhile.
func (e *Engine) Revise(change func(now passhub.Seconds) Catalogue) {
	e.mu.Lock()
	e.catalogue = change(e.clock.Now())
	later := e.told()
	e.mu.Unlock()
	e.carryOut(later)
}

// told tells the module which terms have changed, and comes back when the next ones do. The mutex is held.
func (e *Engine) told() (later []passhub.Action) {
	if e.catalogue == nil {
		return nil
	}
	now := e.clock.Now()
	for _, t := range e.catalogue.Due(now) {
		later = append(later, e.locked(t)...)
	}
	if e.due != nil {
		e.due.Stop()
	}
	if next := e.catalogue.Next(now); next > 0 {
		wait := min(next-now, longestWait) // far ahead the clocks may be set meanwhile
		e.due = time.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
			e.mu.Lock()
			later := e.told()
			e.mu.Unlock()
			e.carryOut(later)
		})
	}
	return later
}

// longestWait is for how long a timer is set for a change of terms, in seconds.
const longestWait = 60.0

// Ticket is a request in the gateway's hands.
type Ticket struct {
	Plan     string // by which it is decided: the member's in the catalogue, or the one that the client named
	Revision uint64 // of the catalogue; 0: none

	engine   *Engine
	id       uint64
	deadline time.Time
	cancel   func()
	next     chan Decision

	// Guarded by the engine's mutex.
	out     bool // an attempt is out, or decided on
	attempt int  // its number
	sent    time.Time
	backend string
	over    bool // no answer is owed any more
}

// Submit hands a request to the gateway. Cancel is called, perhaps from another goroutine, when the
// attempt that is out is to be stopped.
func (e *Engine) Submit(r passhub.Request, cancel func()) *Ticket {
	left := time.Duration(r.Left * float64(time.Second))
	t := &Ticket{engine: e, deadline: time.Now().Add(left), cancel: cancel, attempt: -1,
		next: make(chan Decision, 2)} // a Send not yet taken up, and the Gone behind it
	e.mu.Lock()
	e.last++
	t.id, r.ID, t.Plan = e.last, e.last, r.Plan
	if e.catalogue != nil {
		now := e.clock.Now()
		if r.Terms = e.catalogue.Terms(r.Customer, r.Plan, now); r.Terms != nil {
			t.Plan, t.Revision = r.Terms.Plan.Name, e.catalogue.InForce(now)
		}
	}
	e.tickets[t.id] = t
	later := e.locked(r)
	e.mu.Unlock()
	e.carryOut(later)
	return t
}

// Next waits for the next decision.
func (t *Ticket) Next() Decision { return <-t.next }

// Ended tells how the attempt that the last decision asked for ended. After Done no decision follows:
// the answer is the client's.
func (t *Ticket) Ended(outcome passhub.Outcome) {
	e := t.engine
	e.mu.Lock()
	t.out = false
	gone := t.over
	t.over = t.over || outcome == passhub.Done
	later := e.locked(passhub.AttemptEnded{
		ID: t.id, Attempt: t.attempt, Backend: t.backend, Outcome: outcome,
		Took: time.Since(t.sent).Seconds(), Settled: t.over,
	})
	if t.over {
		delete(e.tickets, t.id)
	}
	if gone {
		t.next <- Decision{Kind: Gone}
	}
	e.mu.Unlock()
	e.carryOut(later)
}

// Leave tells that nobody waits for the answer any more. An attempt that is out is still to be told of.
func (t *Ticket) Leave() {
	e := t.engine
	e.mu.Lock()
	if t.over {
		e.mu.Unlock()
		return
	}
	t.over = true
	later := e.locked(passhub.ClientGone{ID: t.id})
	if !t.out {
		delete(e.tickets, t.id)
		t.next <- Decision{Kind: Gone}
	}
	e.mu.Unlock()
	e.carryOut(later)
}

func (e *Engine) handle(event passhub.Event) {
	e.mu.Lock()
	later := e.locked(event)
	e.mu.Unlock()
	e.carryOut(later)
}

// locked gives the gateway an event and routes its actions. Those that reach outside are returned, to
// be carried out once the mutex is free.
func (e *Engine) locked(event passhub.Event) (later []passhub.Action) {
	now := e.clock.Now()
	for _, action := range e.gateway.Handle(now, event) {
		switch a := action.(type) {
		case passhub.Send:
			if t := e.tickets[a.ID]; t != nil {
				t.out, t.backend, t.sent = true, a.Backend, time.Now()
				t.attempt++
				until := t.deadline
				if a.Timeout > 0 {
					if cut := t.sent.Add(time.Duration(a.Timeout * float64(time.Second))); cut.Before(until) {
						until = cut
					}
				}
				t.next <- Decision{Kind: Send, Backend: a.Backend, Until: until, Beyond: a.Beyond}
			}
		case passhub.Refuse:
			e.finish(a.ID, Decision{Kind: Refuse, RetryAfter: a.RetryAfter})
		case passhub.Fail:
			e.finish(a.ID, Decision{Kind: Fail})
		default:
			later = append(later, action)
		}
	}
	return later
}

func (e *Engine) finish(id uint64, d Decision) {
	if t := e.tickets[id]; t != nil && !t.over {
		t.over = true
		delete(e.tickets, id)
		t.next <- d
	}
}

func (e *Engine) carryOut(actions []passhub.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case passhub.Cancel:
			e.mu.Lock()
			t := e.tickets[a.ID]
			stop := t != nil && t.out && t.attempt == a.Attempt
			e.mu.Unlock()
			if stop {
				t.cancel()
			}
		case passhub.SetTimer:
			wait := time.Duration((a.At - e.clock.Now()) * float64(time.Second))
			time.AfterFunc(max(0, wait), func() { e.handle(passhub.Timer{Token: a.Token}) })
		case passhub.Count:
			if e.counter == nil {
				e.Counted(a.Name, passhub.Refused, 0)
				continue
			}
			e.counter.Add(a.Name, a.Add, a.Keep)
		}
	}
}
