// Package engine runs the decision module on real time. It is the sole owner of the gateway, which
// is not safe for concurrent use: it hands it one event at a time and routes every action to the
// request, the counter or the timer that it concerns. It knows no protocol; whatever speaks one asks
// it through a Ticket.
package engine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// Clock is the module's time: Unix seconds as the machine had them at the start, carried on by the
// monotonic clock. Gateways that share a counter name their cycles by it, so it must begin alike
// everywhere; a step of the wall clock must not move it.
type Clock struct {
	base     time.Time
	baseUnix float64
	source   func() float64 // nil: this clock's own
}

// NewClock returns a clock that starts now.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{base: now, baseUnix: float64(now.UnixNano()) / 1e9}
}

// NewClockOf returns a clock that follows another: that of those who keep the counters, where the time of day is not to be believed.
// It must never go back.
func NewClockOf(now func() decision.Seconds) *Clock { return &Clock{source: now} }

// Time is the time of a moment of the module's.
func (c *Clock) Time(at decision.Seconds) time.Time {
	if c.source != nil {
		return time.Now().Add(time.Duration((at - c.source()) * float64(time.Second)))
	}
	return c.base.Add(time.Duration((at - c.baseUnix) * float64(time.Second)))
}

// Now is the module's time.
func (c *Clock) Now() decision.Seconds {
	if c.source != nil {
		return c.source()
	}
	return c.baseUnix + time.Since(c.base).Seconds()
}

// Counter carries out the module's calls to the shared counter. Add must not wait; what comes of it
// is told to Engine.Counted, once.
type Counter interface {
	Add(name string, amount float64, keep decision.Seconds)
}

// PairCounter is a Counter of pairs (decision.Settings.PairCounter): it is given the whole call, and tells CountedOf what came of it.
type PairCounter interface{ Call(decision.CounterCall) }

// Kind is what is to be done with a request.
type Kind = attempt.Kind

// The kinds. Refuse, Fail and Gone are the last word on a request.
const (
	Send     = attempt.Send
	Reject   = attempt.Reject
	Fail     = attempt.Fail
	NoAnswer = attempt.NoAnswer
)

// Decision is what the module decided for a request.
type Decision struct {
	Kind       Kind
	Backend    string           // of a Send
	Deadline   time.Time        // when to give a Send up
	OverQuota  bool             // of a Send: the request is beyond its quota
	RetryAfter decision.Seconds // of a Refuse; 0: no advice
	SlowAfter  time.Duration    // of a Send: so long after it was written, Ticket.Impatient is asked whether to give it up; 0: never
}

// Catalogue tells the terms of members where plans change in service (plans.State does). The engine asks it under
// its mutex, so that no request is decided on terms that a change told before it has replaced.
type Catalogue interface {
	// Terms are those of a member whose client names a plan; nil: those of the settings.
	Terms(member, plan string, now decision.Seconds) *decision.Terms
	// Due are the terms that changed since it was asked last and that the module must be told of.
	Due(now decision.Seconds) []decision.Terms
	// Next is when that will be so again, by what is known now; 0: never.
	Next(now decision.Seconds) decision.Seconds
	// InForce is the number of the revision that holds; 0: none.
	InForce(now decision.Seconds) uint64
}

// QuotaSharer is told of requests and of what came of calls of the counter, for ingresses that share quotas among themselves. Its calls
// must not wait, and must not call the engine.
type QuotaSharer interface {
	// ObserveRequest tells of a request: its customer's set of ingresses, its quota and the request's size in units.
	ObserveRequest(customer string, first, doors int, quota, units float64)
	// ObserveCounterCall tells of a call of the counter as it leaves.
	ObserveCounterCall(name string, amount float64, keep decision.Seconds)
	// ObserveCounterReply tells of its answer, and gives what the module is to be told: a total that cannot be is none.
	ObserveCounterReply(name string, outcome decision.Outcome, total float64) decision.Outcome
}

// Engine owns the desk at which the gateway and the requests in its hands are.
type Engine struct {
	Log *logrus.Logger // of steps that a request's life does not have; nil: none. It is set before Start.

	clock   *Clock
	counter Counter

	mu             sync.Mutex
	dispatcher     *attempt.Dispatcher
	planRates      map[string]float64          // by plan of the settings, for the sharer
	sharer         atomic.Pointer[QuotaSharer] // nil: nothing is shared
	counters       counters
	catalogue      Catalogue        // nil: none, plans are those of the settings
	catalogueTimer *time.Timer      // for what the catalogue has next
	shareExpires   decision.Seconds // when this process's part of the ingress ends unless it is renewed; 0: never
}

// New returns an engine around a gateway that nobody else uses. The settings are the gateway's.
func New(gateway *decision.Gateway, settings *decision.Settings, clock *Clock) *Engine {
	e := &Engine{dispatcher: attempt.NewDispatcher(gateway, settings), clock: clock, planRates: map[string]float64{}}
	for _, p := range settings.Plans {
		e.planRates[p.Name] = p.Rate
	}
	return e
}

// Start gives the gateway its first event. Counter may be nil where the deployment has none.
func (e *Engine) Start(counter Counter) {
	e.counter = counter
	e.handle(decision.Start{})
}

// SetQuotaSharer has requests and calls of the counter told to whoever shares quotas with other ingresses.
func (e *Engine) SetQuotaSharer(s QuotaSharer) { e.sharer.Store(&s) }

// SetBackends tells news of the list of backends.
func (e *Engine) SetBackends(news decision.Backends) { e.handle(news) }

// CounterReplied tells what came of a counter call.
func (e *Engine) CounterReplied(name string, outcome decision.Outcome, total float64) {
	e.PairCounterReplied(name, outcome, total, 0)
}

// PairCounterReplied tells what came of a call of counters that are pairs: the sum, and how many gateways it is from.
func (e *Engine) PairCounterReplied(name string, outcome decision.Outcome, total float64, holders int) {
	if s := e.sharer.Load(); s != nil {
		outcome = (*s).ObserveCounterReply(name, outcome, total)
	}
	e.do(func(now decision.Seconds) []attempt.Effect {
		if e.counters.counterCalls++; outcome != decision.Succeeded {
			e.counters.failedCounterCalls++
		}
		return e.dispatcher.Handle(now, decision.CounterReply{Name: name, Outcome: outcome, Total: total, Holders: holders})
	})
}

// Reconfigure has the module go by other classes and another number of attempts from now on. Requests in hand keep the
// class they began with. No request is decided meanwhile.
func (e *Engine) Reconfigure(classes []decision.Class, maxAttempts int) {
	e.mu.Lock()
	e.dispatcher.Reconfigure(slices.Clone(classes), maxAttempts)
	e.mu.Unlock()
}

// SetShare sets how much of the ingress this process is, for so many seconds: where nothing has said otherwise by then, the
// process was stopped meanwhile, and is none of it. For 0 it holds until the next call.
func (e *Engine) SetShare(part float64, junior bool, lease decision.Seconds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shareExpires = 0; lease > 0 {
		e.shareExpires = e.clock.Now() + lease
	}
	e.dispatcher.SetShare(part, junior)
}

// HandOver hands over half of the stores to another process of this ingress, and what has been learned.
func (e *Engine) HandOver() decision.Knowledge {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.HandOver(e.clock.Now())
}

// Restore takes up what another process of this ingress handed over.
func (e *Engine) Restore(k decision.Knowledge) (customers, backends int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.Restore(e.clock.Now(), k)
}

// SetGrants sets what this ingress has of its customers' quotas, for so many seconds: behind these it has what it keeps.
func (e *Engine) SetGrants(all []decision.QuotaGrant, lease decision.Seconds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.dispatcher.SetGrants(now, all, now+lease)
}

// SetMembers tells how many gateways there are, and through how many of them customers may come.
func (e *Engine) SetMembers(gateways, doors int) {
	e.mu.Lock()
	e.dispatcher.SetMembers(gateways, doors)
	e.mu.Unlock()
}

// ExpectDisruption tells that something planned is under way, for so many seconds: patience ends no request that is here or comes meanwhile.
func (e *Engine) ExpectDisruption(seconds decision.Seconds) {
	e.mu.Lock()
	e.dispatcher.ExpectDisruption(e.now() + seconds)
	e.mu.Unlock()
}

// SetZoneRank tells where this gateway stands among those of its zone.
func (e *Engine) SetZoneRank(rank, peers int) {
	e.mu.Lock()
	e.dispatcher.SetZoneRank(rank, peers)
	e.mu.Unlock()
}

// SetSuspects tells the module of servers that others find bad.
func (e *Engine) SetSuspects(servers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetSuspects(e.now(), servers)
}

// UnhealthyServers names the servers that the module itself finds bad.
func (e *Engine) UnhealthyServers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.UnhealthyServers(e.now())
}

// now is the module's time, the mutex held. A part whose lease has run out is none.
func (e *Engine) now() decision.Seconds {
	now := e.clock.Now()
	if e.shareExpires > 0 && now > e.shareExpires {
		e.dispatcher.SetShare(0, true)
	}
	return now
}

// PoolSize tells how many quote servers are listed, and how many of these the module avoids now.
func (e *Engine) PoolSize() (listed, avoided int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.PoolSize(e.clock.Now())
}

// Stats are what the module holds now.
func (e *Engine) Stats() decision.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.Stats(e.clock.Now())
}

// SetCatalogue lets a function change the catalogue, and tells the module what has changed by it. It returns the
// catalogue that counts from now on. No request is decided meanwhile.
func (e *Engine) SetCatalogue(change func(now decision.Seconds) Catalogue) {
	e.mu.Lock()
	e.catalogue = change(e.clock.Now())
	later := e.applyCatalogue()
	e.mu.Unlock()
	e.carryOut(later)
}

// told tells the module which terms have changed, and comes back when the next ones do. The mutex is held.
func (e *Engine) applyCatalogue() (later []attempt.Effect) {
	if e.catalogue == nil {
		return nil
	}
	now := e.clock.Now()
	for _, t := range e.catalogue.Due(now) {
		later = append(later, e.deliver(e.dispatcher.Handle(now, t))...)
	}
	if e.catalogueTimer != nil {
		e.catalogueTimer.Stop()
	}
	if next := e.catalogue.Next(now); next > 0 {
		wait := min(next-now, maxCatalogueWait) // far ahead the clocks may be set meanwhile
		e.catalogueTimer = time.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
			e.mu.Lock()
			later := e.applyCatalogue()
			e.mu.Unlock()
			e.carryOut(later)
		})
	}
	return later
}

// longestWait is for how long a timer is set for a change of terms, in seconds.
const maxCatalogueWait = 60.0

// Ticket is a request in the gateway's hands.
type Ticket struct {
	Plan     string // by which it is decided: the member's in the catalogue, or the one that the client named
	Revision uint64 // of the catalogue; 0: none

	engine  *Engine
	request *attempt.Request
	cancel  func()
	next    chan Decision
}

// Submit hands a request to the gateway. Cancel is called, perhaps from another goroutine, when the
// attempt that is out is to be stopped.
func (e *Engine) Submit(r decision.Request, cancel func()) *Ticket {
	t := &Ticket{engine: e, cancel: cancel, Plan: r.Plan,
		next: make(chan Decision, 2)} // a Send not yet taken up, and the Gone behind it
	e.mu.Lock()
	now := e.now()
	if e.catalogue != nil {
		if r.Terms = e.catalogue.Terms(r.Customer, r.Plan, now); r.Terms != nil {
			t.Plan, t.Revision = r.Terms.Plan.Name, e.catalogue.InForce(now)
		}
	}
	if s := e.sharer.Load(); s != nil {
		quota := e.planRates[r.Plan]
		if r.Terms != nil {
			quota = r.Terms.Plan.Rate
		}
		(*s).ObserveRequest(r.Customer, r.FirstGateway, r.Gateways, quota, r.Units)
	}
	var effects []attempt.Effect
	t.request, effects = e.dispatcher.Submit(now, r, t)
	later := e.deliver(effects)
	e.mu.Unlock()
	e.carryOut(later)
	return t
}

// Next waits for the next decision.
func (t *Ticket) Next() Decision { return <-t.next }

// AttemptEnded tells how the attempt that the last decision asked for ended. After Done no decision follows:
// the answer is the client's.
func (t *Ticket) AttemptEnded(outcome decision.Outcome) {
	t.engine.do(func(now decision.Seconds) []attempt.Effect {
		return t.engine.dispatcher.AttemptEnded(now, t.request, outcome)
	})
}

// ConsumeBody tells that something of the request's body has been taken that cannot be had again: the attempt that is out is
// the last.
func (t *Ticket) ConsumeBody() {
	t.engine.mu.Lock()
	t.engine.dispatcher.ConsumeBody(t.request)
	t.engine.mu.Unlock()
}

// ShouldAbandon tells whether the attempt that is out is to be given up, the patience with it having run out.
func (t *Ticket) ShouldAbandon() bool {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	return t.engine.dispatcher.ShouldAbandon(t.engine.now(), t.request)
}

// BodyUploaded tells that the body of a long request has gone out whole.
func (t *Ticket) BodyUploaded() {
	t.engine.mu.Lock()
	t.engine.dispatcher.BodyUploaded(t.engine.clock.Now(), t.request)
	t.engine.mu.Unlock()
}

// ClientGone tells that nobody waits for the answer any more. An attempt that is out is still to be told of.
func (t *Ticket) ClientDisconnected() {
	t.engine.do(func(now decision.Seconds) []attempt.Effect {
		return t.engine.dispatcher.ClientDisconnected(now, t.request)
	})
}

func (e *Engine) handle(event decision.Event) {
	e.do(func(now decision.Seconds) []attempt.Effect { return e.dispatcher.Handle(now, event) })
}

// do has something happen at the desk, under the mutex, and carries out what comes of it.
func (e *Engine) do(happen func(now decision.Seconds) []attempt.Effect) {
	e.mu.Lock()
	now := e.now() // under the mutex: the module's time never goes back
	later := e.deliver(happen(now))
	due, c := e.counters.rotate(now)
	e.mu.Unlock()
	e.carryOut(later)
	if due && e.Log != nil {
		e.Log.WithFields(logrus.Fields{"code": "engine-counts", "sent": c.decided[Send], "refused": c.decided[Reject], "failed": c.decided[Fail],
			"gone": c.decided[NoAnswer], "calls": c.counterCalls, "unanswered": c.failedCounterCalls}).Info("decided lately")
	}
}

// countsEvery is how often an ingress tells what it decided, in seconds: one alone tells little, so that lines must be few
// enough to add up over a fleet.
const countersInterval = 10.0

// counts are what was decided since a time, and the calls of the counter that were answered or not.
type counters struct {
	since                            decision.Seconds // 0: not begun
	decided                          [4]int           // by Kind
	counterCalls, failedCounterCalls int
}

// turn returns what was counted, and begins anew, when it is time to tell it.
func (c *counters) rotate(now decision.Seconds) (due bool, told counters) {
	if c.since == 0 {
		c.since = now
	}
	if now-c.since < countersInterval {
		return false, counters{}
	}
	told, *c = *c, counters{since: now}
	return told.decided != [4]int{} || told.counterCalls > 0, told
}

// decide tells decisions to those who wait for them, the mutex held: they must come in the order in which they were
// made. What reaches outside is returned, to be carried out once the mutex is free.
func (e *Engine) deliver(effects []attempt.Effect) (later []attempt.Effect) {
	for _, effect := range effects {
		tell, ok := effect.(attempt.Notify)
		if !ok {
			later = append(later, effect)
			continue
		}
		d := tell.Decision
		e.counters.decided[d.Kind]++
		told := Decision{Kind: d.Kind, Backend: d.Backend, OverQuota: d.OverQuota, RetryAfter: d.RetryAfter}
		if d.Kind == Send {
			told.Deadline = e.clock.Time(d.Deadline)
			told.SlowAfter = time.Duration(d.SlowAfter * float64(time.Second))
		}
		tell.Request.Host.(*Ticket).next <- told
	}
	return later
}

func (e *Engine) carryOut(effects []attempt.Effect) {
	for _, effect := range effects {
		switch a := effect.(type) {
		case attempt.CancelAttempt:
			e.mu.Lock()
			life := a.Request.Machine()
			e.mu.Unlock()
			if p := life.Phase(); (p == attempt.InFlight || p == attempt.Abandoned) && life.Attempts() == a.Attempt+1 {
				a.Request.Host.(*Ticket).cancel()
			}
		case attempt.Timer:
			wait := time.Duration((a.At - e.clock.Now()) * float64(time.Second))
			time.AfterFunc(max(0, wait), func() { e.handle(decision.Timer{Token: a.Token}) })
		case attempt.CounterCall:
			if p, ok := e.counter.(PairCounter); ok {
				p.Call(a.CounterCall)
				continue
			}
			if e.counter == nil {
				e.CounterReplied(a.Name, decision.ConnectionRefused, 0)
				continue
			}
			if s := e.sharer.Load(); s != nil {
				(*s).ObserveCounterCall(a.Name, a.Add, a.Retention)
			}
			e.counter.Add(a.Name, a.Add, a.Retention)
		case attempt.IllegalStep:
			if e.Log != nil {
				e.Log.WithField("code", "attempt-illegal").WithError(a.Err).Error("a step that a request's life does not have; a safe one was taken")
			}
		}
	}
}
