package attempt

import (
	"cmp"
	"fmt"

	"mulleinrouter/internal/decision"
)

// Kind is what is to be done with a request.
type Kind int

// The kinds. Reject, Fail and NoAnswer are the last word on a request.
const (
	Send     Kind = iota // start an attempt, tell Ended what came of it
	Reject               // answer that trying again does no harm
	Fail                 // answer that it was not served and may have run
	NoAnswer             // answer nothing: nobody waits
)

var kinds = [...]string{"send", "refuse", "fail", "gone"}

func (k Kind) String() string { return kinds[k] }

// Decision is what the module decided for a request.
type Decision struct {
	Kind       Kind
	Backend    string           // of a Send
	Deadline   decision.Seconds // when to give a Send up, module time
	RetryAfter decision.Seconds // of a Refuse; 0: no advice
	OverQuota  bool             // of a Send or a Refuse: the request is beyond its quota
	SlowAfter  decision.Seconds // of a Send: so long after it was written, Desk.Impatient is asked whether to give it up; 0: never
}

// Request is one in the module's hands.
type Request struct {
	Host any // whoever waits for its decisions; the desk does not look at it

	id       uint64
	life     Machine
	deadline decision.Seconds
	sent     decision.Seconds
	backend  string
	long     bool // its body goes up as it comes
}

// ID names it to the module.
func (r *Request) ID() uint64 { return r.id }

// Machine is where it is in its life, to look at.
func (r *Request) Machine() Machine { return r.life }

// Effect is something to be done, in order.
type Effect interface{ effect() }

// Notify tells a decision to the request's host.
type Notify struct {
	Request  *Request
	Decision Decision
}

// CancelAttempt stops the attempt that is out, unless it has ended meanwhile: it is the one with this number.
type CancelAttempt struct {
	Request *Request
	Attempt int
}

// Timer asks for the module's timer.
type Timer struct{ decision.SetTimer }

// CounterCall asks for a call of the counter.
type CounterCall struct{ decision.CounterCall }

// IllegalStep tells of a step that a request's life does not have. A safe one was taken in its place.
type IllegalStep struct {
	Request *Request
	Err     error
}

func (Notify) effect()        {}
func (CancelAttempt) effect() {}
func (Timer) effect()         {}
func (CounterCall) effect()   {}
func (IllegalStep) effect()   {}

// Dispatcher holds the module and the requests in its hands. It is not safe for use by several goroutines at once.
type Dispatcher struct {
	gateway *decision.Gateway
	most    int
	finish  bool            // attempts that must not run twice go on where the client has left
	once    map[string]bool // classes that must not run twice
	wrong   map[string]bool // of these, those where a client's repeat may run again
	open    map[uint64]*Request
	last    uint64
	out     []Effect
}

// NewDispatcher returns a desk around a gateway that nobody else uses. The settings are the gateway's.
func NewDispatcher(g *decision.Gateway, s *decision.Settings) *Dispatcher {
	d := &Dispatcher{gateway: g, open: map[uint64]*Request{}, finish: s.FinishNonIdempotent}
	d.classes(s.Classes, s.MaxAttempts)
	return d
}

// classes learns what may run twice, and how often a request may be attempted.
func (d *Dispatcher) classes(classes []decision.Class, most int) {
	d.most, d.once, d.wrong = max(1, most), map[string]bool{}, map[string]bool{}
	for _, c := range classes {
		d.once[c.Name] = c.Effect != decision.Idempotent
		d.wrong[c.Name] = wrong(&c)
	}
}

// wrong tells whether a client's repeat of a request of this class may run again.
func wrong(c *decision.Class) bool {
	return c.Effect == decision.NonIdempotent || c.Effect == decision.IdempotentByKey && c.Scope != decision.ScopeAll
}

// Reconfigure goes by other classes and another number of attempts for requests that come from now on; those in hand keep
// what their life began with. The gateway is told too.
func (d *Dispatcher) Reconfigure(classes []decision.Class, most int) {
	d.classes(classes, most)
	d.gateway.Reconfigure(classes, most)
}

// SetShare sets how much of the ingress this process is; junior: the other process reports it to the counter.
func (d *Dispatcher) SetShare(part float64, junior bool) { d.gateway.SetShare(part, junior) }

// HandOver hands over half of the stores, and what has been learned.
func (d *Dispatcher) HandOver(now decision.Seconds) decision.Knowledge {
	return d.gateway.HandOver(now)
}

// Restore takes that up.
func (d *Dispatcher) Restore(now decision.Seconds, k decision.Knowledge) (customers, backends int) {
	return d.gateway.Restore(now, k)
}

// PoolSize tells how many quote servers are listed, and how many of these the gateway avoids now.
func (d *Dispatcher) PoolSize(now decision.Seconds) (listed, avoided int) {
	return d.gateway.PoolSize(now)
}

// Stats are what the gateway holds now.
func (d *Dispatcher) Stats(now decision.Seconds) decision.Stats { return d.gateway.Stats(now) }

// SetGrants sets what the gateway has of quotas until a time; Warn tells it of servers that others find bad, and Bad which it does itself.
func (d *Dispatcher) SetGrants(now decision.Seconds, all []decision.QuotaGrant, until decision.Seconds) {
	d.gateway.SetGrants(now, all, until)
}

// SetSuspects tells of servers that others find bad.
func (d *Dispatcher) SetSuspects(now decision.Seconds, servers []string) {
	d.gateway.SetSuspects(now, servers)
}

// UnhealthyServers names those that this gateway finds bad.
func (d *Dispatcher) UnhealthyServers(now decision.Seconds) []string {
	return d.gateway.UnhealthyServers(now)
}

// SetMembers tells how many gateways there are, and through how many of them customers may come.
func (d *Dispatcher) SetMembers(gateways, doors int) {
	d.gateway.SetMembers(gateways)
	d.gateway.SetCustomerGateways(doors)
}

// SetZoneRank tells where this gateway stands among those of its zone.
func (d *Dispatcher) SetZoneRank(rank, peers int) { d.gateway.SetZoneRank(rank, peers) }

// Pending is how many requests are in hand.
func (d *Dispatcher) Pending() int { return len(d.open) }

// Submit takes a request. Its id is given here.
func (d *Dispatcher) Submit(now decision.Seconds, r decision.Request, host any) (*Request, []Effect) {
	d.last++
	r.ID = d.last
	q := &Request{Host: host, id: d.last, deadline: now + r.TimeLeft, long: r.Streamed, life: Machine{AtMostOnce: d.once[r.Class], NoClientRetry: d.wrong[r.Class], MaxAttempts: d.most}}
	if c := r.Kind; c != nil {
		q.life = Machine{AtMostOnce: c.Effect != decision.Idempotent, NoClientRetry: wrong(c), MaxAttempts: cmp.Or(c.MaxAttempts, d.most)}
	}
	d.open[q.id] = q
	return q, d.Handle(now, r)
}

// AttemptEnded tells how the attempt that was decided on last has ended. After Done no decision follows: the answer is the
// client's.
func (d *Dispatcher) AttemptEnded(now decision.Seconds, q *Request, o decision.Outcome) []Effect {
	d.out = nil
	gone := q.life.phase == Abandoned
	over, err := q.life.AttemptEnded(o)
	if err != nil {
		d.out = append(d.out, IllegalStep{q, err})
		return d.out
	}
	if over && !mutated("ended-stays") {
		delete(d.open, q.id)
	}
	d.handle(now, decision.AttemptEnded{ID: q.id, Attempt: q.life.attempts - 1, Backend: q.backend, Outcome: o, Duration: now - q.sent, Answered: over, BodyConsumed: q.life.spent && !mutated("spent-untold")})
	if gone && !mutated("gone-untold") {
		d.out = append(d.out, Notify{q, Decision{Kind: NoAnswer}})
	}
	return d.out
}

// ConsumeBody tells that something of a request's body has been taken that cannot be had again.
func (d *Dispatcher) ConsumeBody(q *Request) { q.life.ConsumeBody() }

// ShouldAbandon tells whether the attempt that is out is to be given up, the patience with it having run out. What cannot be sent again is not.
func (d *Dispatcher) ShouldAbandon(now decision.Seconds, q *Request) bool {
	return q.life.phase == InFlight && !q.life.AtMostOnce && !q.life.spent && (d.gateway.ShouldAbandon(now, q.id) || mutated("impatient-always"))
}

// ExpectDisruption tells that something planned is under way, until a time: see decision.Gateway.ExpectDisruption.
func (d *Dispatcher) ExpectDisruption(till decision.Seconds) {
	if !mutated("planned-untold") {
		d.gateway.ExpectDisruption(till)
	}
}

// BodyUploaded tells that the body of a request has gone out whole: the quote server's time counts from now on.
func (d *Dispatcher) BodyUploaded(now decision.Seconds, q *Request) {
	q.sent = now
	d.gateway.BodyUploaded(now, q.id)
}

// ClientGone tells that nobody waits for the answer any more. An attempt that is out is still to be told of.
func (d *Dispatcher) ClientGone(now decision.Seconds, q *Request) []Effect {
	d.out = nil
	before := q.life.phase
	if before != Waiting && before != InFlight {
		return nil
	}
	over := q.life.ClientGone()
	if over {
		delete(d.open, q.id)
	}
	if !mutated("leaving-untold") {
		d.handle(now, decision.ClientDisconnected{ID: q.id})
	}
	if over {
		d.out = append(d.out, Notify{q, Decision{Kind: NoAnswer}})
	}
	return d.out
}

// Handle gives the module an event.
func (d *Dispatcher) Handle(now decision.Seconds, e decision.Event) []Effect {
	d.out = nil
	d.handle(now, e)
	return d.out
}

func (d *Dispatcher) handle(now decision.Seconds, e decision.Event) {
	actions := d.gateway.Handle(now, e)
	switch e.(type) {
	case decision.Timer, decision.CounterReply: // a cycle may have turned: what is held goes before it
		d.gateway.ReapplyGrants(now)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case decision.Send:
			d.send(now, a)
		case decision.Reject:
			if q := d.open[a.ID]; q != nil && q.life.phase != Abandoned {
				d.say(q, q.life.Reject(), Decision{Kind: Reject, RetryAfter: a.RetryAfter, OverQuota: a.OverQuota})
			}
		case decision.Fail:
			if q := d.open[a.ID]; q != nil && q.life.phase != Abandoned {
				word := Decision{Kind: Fail}
				if mutated("fail-refuses") {
					word.Kind = Reject
				}
				d.say(q, q.life.Fail(), word)
			}
		case decision.Cancel:
			if q := d.open[a.ID]; q != nil && q.life.MayHaveRun() && a.Attempt == q.life.attempts-1 && !(d.finish && q.life.AtMostOnce && q.life.phase == Abandoned) {
				if !mutated("cancel-lost") {
					d.out = append(d.out, CancelAttempt{q, a.Attempt})
				}
			}
		case decision.SetTimer:
			d.out = append(d.out, Timer{a})
		case decision.CounterCall:
			d.out = append(d.out, CounterCall{a})
		}
	}
}

// send takes up the decision to make an attempt. One that must not be made is told to the module as never made.
func (d *Dispatcher) send(now decision.Seconds, a decision.Send) {
	q := d.open[a.ID]
	if q == nil {
		return
	}
	if err := q.life.Send(); err != nil {
		d.out = append(d.out, IllegalStep{q, err})
		if q.life.phase == Waiting {
			d.say(q, q.life.Fail(), Decision{Kind: Fail})
		}
		return
	}
	q.backend, q.sent = a.Backend, now
	if q.long {
		d.gateway.BodyUploading(q.id)
	}
	until := q.deadline
	if mutated("no-time-out") {
		until += 60
	}
	if a.Timeout > 0 {
		until = min(until, now+a.Timeout)
	}
	d.out = append(d.out, Notify{q, Decision{Kind: Send, Backend: a.Backend, Deadline: until, OverQuota: a.OverQuota, SlowAfter: a.SlowAfter}})
}

// say says the last word on a request. A refusal that would lie becomes a failure.
func (d *Dispatcher) say(q *Request, err error, word Decision) {
	if err != nil {
		d.out = append(d.out, IllegalStep{q, fmt.Errorf("%v: %w", word.Kind, err)})
		if q.life.phase != Waiting {
			return
		}
		q.life.Fail()
		word = Decision{Kind: Fail}
	}
	delete(d.open, q.id)
	d.out = append(d.out, Notify{q, word})
}
