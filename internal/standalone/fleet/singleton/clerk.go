package singleton

import (
	"slices"
)

// Ask is what an ingress asks the leader: which duties it wants, and which it holds.
type Ask struct {
	From  Claimant `cbor:"1,keyasint"`
	ID    uint64   `cbor:"2,keyasint"` // of the question, from the asker
	Zone  string   `cbor:"3,keyasint,omitempty"`
	Load  float64  `cbor:"4,keyasint,omitempty"` // 0 to 1
	Wants []Want   `cbor:"5,keyasint"`
}

// Want is one duty of a question.
type Want struct {
	Duty  string `cbor:"1,keyasint"`
	Token uint64 `cbor:"2,keyasint,omitempty"` // that it holds; 0: none
	Leave bool   `cbor:"3,keyasint,omitempty"` // it gives it up, or does not want it any more
	Zone  string `cbor:"4,keyasint,omitempty"` // where it is preferred to be done
}

// Answer is the leader's.
type Answer struct {
	ID     uint64  `cbor:"1,keyasint"`
	Grants []Grown `cbor:"2,keyasint"`
}

// Grown is one duty of an answer.
type Grown struct {
	Duty   string `cbor:"1,keyasint"`
	Token  uint64 `cbor:"2,keyasint"` // of who holds it
	Held   bool   `cbor:"3,keyasint"` // the asker does, and it was confirmed behind the question
	Yield  bool   `cbor:"4,keyasint"` // it is to give it up, for another is to have it
	Holder string `cbor:"5,keyasint"`
	Mine   bool   `cbor:"6,keyasint"` // the asker holds it, confirmed or not
}

// ClerkEvent is what happens at the leader.
type ClerkEvent interface{ clerkEvent() }

// Led tells that this voter leads from now on and has applied all that was agreed before; Deposed that it does not any more.
type (
	Led     struct{}
	Deposed struct{}
	// Asked is a question that came.
	Asked struct{ Ask Ask }
	// Give is an operator's: a duty is to go to a member.
	Give struct{ Duty, To string }
	// Applied is a command that was agreed on, with what came of it.
	Applied struct {
		Command Command
		OK      bool
	}
	// ClerkTick lets time pass.
	ClerkTick struct{}
)

func (Led) clerkEvent()       {}
func (Deposed) clerkEvent()   {}
func (Asked) clerkEvent()     {}
func (Give) clerkEvent()      {}
func (Applied) clerkEvent()   {}
func (ClerkTick) clerkEvent() {}

// ClerkAction is what is to be done.
type ClerkAction interface{ clerkAction() }

// Propose brings a command to the log.
type Propose struct{ Command Command }

// Reply answers a question.
type Reply struct {
	To     Claimant
	Answer Answer
}

// Nudge has a member ask at once: something changed for it. It may be lost.
type Nudge struct{ Name string }

func (Propose) clerkAction() {}
func (Reply) clerkAction()   {}
func (Nudge) clerkAction()   {}

type waiting struct {
	Who  Claimant
	Zone string
	Load float64
	at   Seconds
}

// asked is a question that waits for renewals to be agreed on.
type asked struct {
	ask  Ask
	left int
	at   Seconds
}

// Clerk is the leader's part. It is driven by one voter; where that does not lead it does nothing.
type Clerk struct {
	register *Register
	leads    bool
	since    Seconds
	renewed  map[string]Seconds // when the holder of a duty was last confirmed, or the lead began
	waiting  map[string][]waiting
	prefer   map[string]string // zone of a duty
	give     map[string]string // member that is to have it next
	granting map[string]Seconds
	pending  []asked
}

// NewClerk returns the part of a voter whose register this is.
func NewClerk(r *Register) *Clerk {
	return &Clerk{register: r, renewed: map[string]Seconds{}, waiting: map[string][]waiting{}, prefer: map[string]string{}, give: map[string]string{}, granting: map[string]Seconds{}}
}

// Follow has the clerk go by another register: that of a snapshot.
func (c *Clerk) Follow(r *Register) { c.register = r }

// Step takes an event.
func (c *Clerk) Step(now Seconds, e ClerkEvent) (actions []ClerkAction) {
	switch e := e.(type) {
	case Led:
		c.leads, c.since = true, now
		clear(c.renewed)
		clear(c.waiting)
		clear(c.granting)
		c.pending = nil
		if !mutated("leader-forgets") {
			for name := range c.register.Duties {
				c.renewed[name] = now // when it was last renewed nobody knows: not later than now
			}
		}
	case Deposed:
		c.leads, c.pending = false, nil
		clear(c.give)
	case Applied:
		return c.applied(now, e)
	}
	if !c.leads {
		return nil
	}
	switch e := e.(type) {
	case Asked:
		return c.asked(now, e.Ask)
	case Give:
		if _, known := c.register.Duties[e.Duty]; known || len(c.give) < MostDuties {
			c.give[e.Duty] = e.To
		}
		return []ClerkAction{Nudge{c.register.Duties[e.Duty].Holder.Name}, Nudge{e.To}}
	case ClerkTick:
		return c.tick(now)
	}
	return nil
}

// asked takes a question: renewals go to the log, the rest is answered from what is agreed on already.
func (c *Clerk) asked(now Seconds, a Ask) (actions []ClerkAction) {
	if len(a.Wants) > MostDuties || a.From.Name == "" || len(a.From.Name) > mostName {
		return nil
	}
	q := asked{ask: a, at: now}
	for _, w := range a.Wants {
		e := c.register.Duties[w.Duty]
		holds := e.Holder == a.From && e.Token == w.Token && w.Token != 0
		switch {
		case holds && w.Leave:
			actions = append(actions, Propose{Command{Kind: Free, Duty: w.Duty, Token: w.Token, To: a.From}})
		case w.Leave:
			c.waiting[w.Duty] = slices.DeleteFunc(c.waiting[w.Duty], func(o waiting) bool { return o.Who == a.From })
		case holds:
			actions = append(actions, Propose{Command{Kind: Renew, Duty: w.Duty, Token: w.Token, To: a.From}})
			q.left++
		default:
			if e.Holder != a.From { // else it was granted, and does not know yet: its next question confirms it
				c.wait(now, a, w)
			}
		}
	}
	if q.left > 0 && !mutated("renewal-unagreed") {
		c.pending = append(c.pending, q)
		return actions
	}
	return append(actions, c.answer(q))
}

func (c *Clerk) wait(now Seconds, a Ask, w Want) {
	if w.Duty == "" || len(w.Duty) > mostName || c.register.Duties[w.Duty].Token == 0 && len(c.waiting) >= MostDuties {
		return
	}
	line := c.waiting[w.Duty]
	one := waiting{Who: a.From, Zone: a.Zone, Load: a.Load, at: now}
	if i := slices.IndexFunc(line, func(o waiting) bool { return o.Who == a.From }); i >= 0 {
		line[i] = one
	} else if len(line) < mostWaiting {
		line = append(line, one)
	}
	c.waiting[w.Duty], c.prefer[w.Duty] = line, w.Zone
}

// answer tells what is agreed on now.
func (c *Clerk) answer(q asked) Reply {
	r := Reply{To: q.ask.From, Answer: Answer{ID: q.ask.ID}}
	for _, w := range q.ask.Wants {
		e := c.register.Duties[w.Duty]
		g := Grown{Duty: w.Duty, Token: e.Token, Holder: e.Holder.Name}
		if e.Holder == q.ask.From {
			// Confirmed is what was renewed behind the question. A grant that the asker hears of here is not: its lease counts
			// from a question that names the token.
			g.Mine, g.Held = true, w.Token == e.Token || mutated("grant-is-lease")
			next, named := c.give[w.Duty]
			g.Yield = named && next != q.ask.From.Name
		}
		r.Answer.Grants = append(r.Answer.Grants, g)
	}
	return r
}

// applied notes what was agreed on, and answers who waited for it.
func (c *Clerk) applied(now Seconds, e Applied) (actions []ClerkAction) {
	k := e.Command
	if !c.leads {
		return nil
	}
	switch k.Kind {
	case Grant:
		delete(c.granting, k.Duty)
		if e.OK {
			c.renewed[k.Duty] = now
			if c.give[k.Duty] == k.To.Name {
				delete(c.give, k.Duty)
			}
			actions = append(actions, Nudge{k.To.Name})
		}
	case Renew:
		if e.OK {
			c.renewed[k.Duty] = now
		}
		for i := range c.pending {
			q := &c.pending[i]
			if q.left > 0 && q.ask.From == k.To && slices.ContainsFunc(q.ask.Wants, func(w Want) bool { return w.Duty == k.Duty && w.Token == k.Token && !w.Leave }) {
				q.left--
				break
			}
		}
		c.pending = slices.DeleteFunc(c.pending, func(q asked) bool {
			if q.left > 0 {
				return false
			}
			actions = append(actions, c.answer(q))
			return true
		})
	case Free, Expire:
		if e.OK {
			actions = append(actions, c.next(now, k.Duty)...)
		}
	}
	return actions
}

// tick frees what was not renewed, and grants what is free.
func (c *Clerk) tick(now Seconds) (actions []ClerkAction) {
	for _, name := range c.register.Names() {
		e := c.register.Duties[name]
		wait := expiry
		if mutated("expires-early") {
			wait = Lease / 2
		}
		if e.Holder != (Claimant{}) && now > c.renewed[name]+wait {
			c.renewed[name] = now // proposed once a lease
			actions = append(actions, Propose{Command{Kind: Expire, Duty: name, Token: e.Token, Seen: e.Seen}})
		}
	}
	for name := range c.waiting {
		c.waiting[name] = slices.DeleteFunc(c.waiting[name], func(w waiting) bool { return now > w.at+waits })
	}
	names := make([]string, 0, len(c.waiting))
	for name, line := range c.waiting {
		if len(line) > 0 {
			names = append(names, name)
		} else if c.register.Duties[name].Token == 0 {
			delete(c.waiting, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		actions = append(actions, c.next(now, name)...)
	}
	c.pending = slices.DeleteFunc(c.pending, func(q asked) bool { return now > q.at+Lease })
	return actions
}

// next grants a duty that nobody holds to the first in line.
func (c *Clerk) next(now Seconds, name string) []ClerkAction {
	e := c.register.Duties[name]
	if at, out := c.granting[name]; e.Holder != (Claimant{}) || out && now < at+again || now < c.since+gather {
		return nil
	}
	line := slices.DeleteFunc(slices.Clone(c.waiting[name]), func(w waiting) bool { return now > w.at+waits })
	if len(line) == 0 {
		return nil
	}
	slices.SortFunc(line, func(a, b waiting) int { return better(a, b, c.prefer[name]) })
	first := line[0]
	if to, named := c.give[name]; named {
		if i := slices.IndexFunc(line, func(w waiting) bool { return w.Who.Name == to }); i >= 0 {
			first = line[i]
		} else {
			delete(c.give, name) // it does not wait for it: the line goes on without
		}
	}
	c.granting[name] = now
	c.waiting[name] = slices.DeleteFunc(c.waiting[name], func(w waiting) bool { return w.Who == first.Who })
	return []ClerkAction{Propose{Command{Kind: Grant, Duty: name, To: first.Who, Token: e.Token}}}
}

// Line is who waits for a duty, in the order in which they would have it.
func (c *Clerk) Line(name string) (names []string) {
	line := slices.Clone(c.waiting[name])
	slices.SortFunc(line, func(a, b waiting) int { return better(a, b, c.prefer[name]) })
	for _, w := range line {
		names = append(names, w.Who.Name)
	}
	return names
}

// Leads tells whether this voter leads.
func (c *Clerk) Leads() bool { return c.leads }
