package attempt

import (
	"cmp"
	"fmt"

	"mulleinrouter/internal/decision"
)

// Kind is what is to be done with a request.
type Kind int

// The kinds. Refuse, Fail and Gone are the last word on a request.
const (
	Send   Kind = iota // start an attempt, tell Ended what came of it
	Refuse             // answer that trying again does no harm
	Fail               // answer that it was not served and may have run
	Gone               // answer nothing: nobody waits
)

var kinds = [...]string{"send", "refuse", "fail", "gone"}

func (k Kind) String() string { return kinds[k] }

// Decision is what the module decided for a request.
type Decision struct {
	Kind       Kind
	Backend    string           // of a Send
	Until      decision.Seconds // when to give a Send up, module time
	RetryAfter decision.Seconds // of a Refuse; 0: no advice
	Beyond     bool             // of a Send or a Refuse: the request is beyond its quota
	Patience   decision.Seconds // of a Send: so long after it was written, Desk.Impatient is asked whether to give it up; 0: never
}

// Request is one in the module's hands.
type Request struct {
	Host any // whoever waits for its decisions; the desk does not look at it

	id       uint64
	life     Life
	deadline decision.Seconds
	sent     decision.Seconds
	backend  string
	long     bool // its body goes up as it comes
}

// ID names it to the module.
func (r *Request) ID() uint64 { return r.id }

// Life is where it is in its life, to look at.
func (r *Request) Life() Life { return r.life }

// Effect is something to be done, in order.
type Effect interface{ effect() }

// Tell tells a decision to the request's host.
type Tell struct {
	Request  *Request
	Decision Decision
}

// Stop stops the attempt that is out, unless it has ended meanwhile: it is the one with this number.
type Stop struct {
	Request *Request
	Attempt int
}

// Timer asks for the module's timer.
type Timer struct{ decision.SetTimer }

// Count asks for a call of the counter.
type Count struct{ decision.Count }

// Illegal tells of a step that a request's life does not have. A safe one was taken in its place.
type Illegal struct {
	Request *Request
	Err     error
}

func (Tell) effect()    {}
func (Stop) effect()    {}
func (Timer) effect()   {}
func (Count) effect()   {}
func (Illegal) effect() {}

// Desk holds the module and the requests in its hands. It is not safe for use by several goroutines at once.
type Desk struct {
	gateway *decision.Gateway
	most    int
	finish  bool            // attempts that must not run twice go on where the client has left
	once    map[string]bool // classes that must not run twice
	wrong   map[string]bool // of these, those where a client's repeat may run again
	open    map[uint64]*Request
	last    uint64
	out     []Effect
}

// NewDesk returns a desk around a gateway that nobody else uses. The settings are the gateway's.
func NewDesk(g *decision.Gateway, s *decision.Settings) *Desk {
	d := &Desk{gateway: g, open: map[uint64]*Request{}, finish: s.FinishUnsafe}
	d.classes(s.Classes, s.MaxAttempts)
	return d
}

// classes learns what may run twice, and how often a request may be attempted.
func (d *Desk) classes(classes []decision.Class, most int) {
	d.most, d.once, d.wrong = max(1, most), map[string]bool{}, map[string]bool{}
	for _, c := range classes {
		d.once[c.Name] = c.Effect != decision.Safe
		d.wrong[c.Name] = wrong(&c)
	}
}

// wrong tells whether a client's repeat of a request of this class may run again.
func wrong(c *decision.Class) bool {
	return c.Effect == decision.Unsafe || c.Effect == decision.Keyed && c.Scope != decision.ScopeAll
}

// Retune goes by other classes and another number of attempts for requests that come from now on; those in hand keep
// what their life began with. The gateway is told too.
func (d *Desk) Retune(classes []decision.Class, most int) {
	d.classes(classes, most)
	d.gateway.Retune(classes, most)
}

// Part sets how much of the ingress this process is; junior: the other process reports it to the counter.
func (d *Desk) Part(part float64, junior bool) { d.gateway.Part(part, junior) }

// Share hands over half of the stores, and what has been learned.
func (d *Desk) Share(now decision.Seconds) decision.Knowledge { return d.gateway.Share(now) }

// Take takes that up.
func (d *Desk) Take(now decision.Seconds, k decision.Knowledge) (customers, backends int) {
	return d.gateway.Take(now, k)
}

// Pool tells how many quote servers are listed, and how many of these the gateway avoids now.
func (d *Desk) Pool(now decision.Seconds) (listed, avoided int) { return d.gateway.Pool(now) }

// Figures are what the gateway holds now.
func (d *Desk) Figures(now decision.Seconds) decision.Figures { return d.gateway.Figures(now) }

// Hold sets what the gateway has of quotas until a time; Warn tells it of servers that others find bad, and Bad which it does itself.
func (d *Desk) Hold(now decision.Seconds, all []decision.Right, until decision.Seconds) {
	d.gateway.Hold(now, all, until)
}

// Warn tells of servers that others find bad.
func (d *Desk) Warn(now decision.Seconds, servers []string) { d.gateway.Warn(now, servers) }

// Bad names those that this gateway finds bad.
func (d *Desk) Bad(now decision.Seconds) []string { return d.gateway.Bad(now) }

// Members tells how many gateways there are, and through how many of them customers may come.
func (d *Desk) Members(gateways, doors int) {
	d.gateway.Members(gateways)
	d.gateway.Doors(doors)
}

// Place tells where this gateway stands among those of its zone.
func (d *Desk) Place(rank, peers int) { d.gateway.Place(rank, peers) }

// Open is how many requests are in hand.
func (d *Desk) Open() int { return len(d.open) }

// Submit takes a request. Its id is given here.
func (d *Desk) Submit(now decision.Seconds, r decision.Request, host any) (*Request, []Effect) {
	d.last++
	r.ID = d.last
	q := &Request{Host: host, id: d.last, deadline: now + r.Left, long: r.Long, life: Life{Once: d.once[r.Class], Wrong: d.wrong[r.Class], Most: d.most}}
	if c := r.Kind; c != nil {
		q.life = Life{Once: c.Effect != decision.Safe, Wrong: wrong(c), Most: cmp.Or(c.Attempts, d.most)}
	}
	d.open[q.id] = q
	return q, d.Handle(now, r)
}

// Ended tells how the attempt that was decided on last has ended. After Done no decision follows: the answer is the
// client's.
func (d *Desk) Ended(now decision.Seconds, q *Request, o decision.Outcome) []Effect {
	d.out = nil
	gone := q.life.phase == Deserted
	over, err := q.life.Ended(o)
	if err != nil {
		d.out = append(d.out, Illegal{q, err})
		return d.out
	}
	if over && !mutated("ended-stays") {
		delete(d.open, q.id)
	}
	d.handle(now, decision.AttemptEnded{ID: q.id, Attempt: q.life.attempts - 1, Backend: q.backend, Outcome: o, Took: now - q.sent, Settled: over, Spent: q.life.spent && !mutated("spent-untold")})
	if gone && !mutated("gone-untold") {
		d.out = append(d.out, Tell{q, Decision{Kind: Gone}})
	}
	return d.out
}

// Spend tells that something of a request's body has been taken that cannot be had again.
func (d *Desk) Spend(q *Request) { q.life.Spend() }

// Impatient tells whether the attempt that is out is to be given up, the patience with it having run out. What cannot be sent again is not.
func (d *Desk) Impatient(now decision.Seconds, q *Request) bool {
	return q.life.phase == Out && !q.life.Once && !q.life.spent && (d.gateway.Impatient(now, q.id) || mutated("impatient-always"))
}

// Planned tells that something planned is under way, until a time: see decision.Gateway.Planned.
func (d *Desk) Planned(till decision.Seconds) {
	if !mutated("planned-untold") {
		d.gateway.Planned(till)
	}
}

// Arrived tells that the body of a request has gone out whole: the quote server's time counts from now on.
func (d *Desk) Arrived(now decision.Seconds, q *Request) {
	q.sent = now
	d.gateway.Arrived(now, q.id)
}

// Leave tells that nobody waits for the answer any more. An attempt that is out is still to be told of.
func (d *Desk) Leave(now decision.Seconds, q *Request) []Effect {
	d.out = nil
	before := q.life.phase
	if before != Waiting && before != Out {
		return nil
	}
	over := q.life.Leave()
	if over {
		delete(d.open, q.id)
	}
	if !mutated("leaving-untold") {
		d.handle(now, decision.ClientGone{ID: q.id})
	}
	if over {
		d.out = append(d.out, Tell{q, Decision{Kind: Gone}})
	}
	return d.out
}

// Handle gives the module an event.
func (d *Desk) Handle(now decision.Seconds, e decision.Event) []Effect {
	d.out = nil
	d.handle(now, e)
	return d.out
}

func (d *Desk) handle(now decision.Seconds, e decision.Event) {
	actions := d.gateway.Handle(now, e)
	switch e.(type) {
	case decision.Timer, decision.Counted: // a cycle may have turned: what is held goes before it
		d.gateway.Held(now)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case decision.Send:
			d.send(now, a)
		case decision.Refuse:
			if q := d.open[a.ID]; q != nil && q.life.phase != Deserted {
				d.say(q, q.life.Refuse(), Decision{Kind: Refuse, RetryAfter: a.RetryAfter, Beyond: a.Beyond})
			}
		case decision.Fail:
			if q := d.open[a.ID]; q != nil && q.life.phase != Deserted {
				word := Decision{Kind: Fail}
				if mutated("fail-refuses") {
					word.Kind = Refuse
				}
				d.say(q, q.life.Fail(), word)
			}
		case decision.Cancel:
			if q := d.open[a.ID]; q != nil && q.life.MayHaveRun() && a.Attempt == q.life.attempts-1 && !(d.finish && q.life.Once && q.life.phase == Deserted) {
				if !mutated("cancel-lost") {
					d.out = append(d.out, Stop{q, a.Attempt})
				}
			}
		case decision.SetTimer:
			d.out = append(d.out, Timer{a})
		case decision.Count:
			d.out = append(d.out, Count{a})
		}
	}
}

// send takes up the decision to make an attempt. One that must not be made is told to the module as never made.
func (d *Desk) send(now decision.Seconds, a decision.Send) {
	q := d.open[a.ID]
	if q == nil {
		return
	}
	if err := q.life.Send(); err != nil {
		d.out = append(d.out, Illegal{q, err})
		if q.life.phase == Waiting {
			d.say(q, q.life.Fail(), Decision{Kind: Fail})
		}
		return
	}
	q.backend, q.sent = a.Backend, now
	if q.long {
		d.gateway.Uploading(q.id)
	}
	until := q.deadline
	if mutated("no-time-out") {
		until += 60
	}
	if a.Timeout > 0 {
		until = min(until, now+a.Timeout)
	}
	d.out = append(d.out, Tell{q, Decision{Kind: Send, Backend: a.Backend, Until: until, Beyond: a.Beyond, Patience: a.Patience}})
}

// say says the last word on a request. A refusal that would lie becomes a failure.
func (d *Desk) say(q *Request, err error, word Decision) {
	if err != nil {
		d.out = append(d.out, Illegal{q, fmt.Errorf("%v: %w", word.Kind, err)})
		if q.life.phase != Waiting {
			return
		}
		q.life.Fail()
		word = Decision{Kind: Fail}
	}
	delete(d.open, q.id)
	d.out = append(d.out, Tell{q, word})
}
