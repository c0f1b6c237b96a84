package singleton

import (
	"slices"
)

// AcquireRequest is what an ingress asks the leader: which duties it wants, and which it holds.
type AcquireRequest struct {
	From  Identity `cbor:"1,keyasint"`
	ID    uint64   `cbor:"2,keyasint"` // of the question, from the asker
	Zone  string   `cbor:"3,keyasint,omitempty"`
	Load  float64  `cbor:"4,keyasint,omitempty"` // 0 to 1
	Roles []RoleRequest   `cbor:"5,keyasint"`
}

// RoleRequest is one duty of a question.
type RoleRequest struct {
	Role  string `cbor:"1,keyasint"`
	Token uint64 `cbor:"2,keyasint,omitempty"` // that it holds; 0: none
	Release bool   `cbor:"3,keyasint,omitempty"` // it gives it up, or does not want it any more
	PreferredZone  string `cbor:"4,keyasint,omitempty"` // where it is preferred to be done
}

// AcquireResponse is the leader's.
type AcquireResponse struct {
	ID     uint64  `cbor:"1,keyasint"`
	Grants []RoleStatus `cbor:"2,keyasint"`
}

// RoleStatus is one duty of an answer.
type RoleStatus struct {
	Role   string `cbor:"1,keyasint"`
	Token  uint64 `cbor:"2,keyasint"` // of who holds it
	Confirmed   bool   `cbor:"3,keyasint"` // the asker does, and it was confirmed behind the question
	StepDown  bool   `cbor:"4,keyasint"` // it is to give it up, for another is to have it
	Holder string `cbor:"5,keyasint"`
	IsHolder   bool   `cbor:"6,keyasint"` // the asker holds it, confirmed or not
}

// ManagerEvent is what happens at the leader.
type ManagerEvent interface{ clerkEvent() }

// LeadershipGained tells that this voter leads from now on and has applied all that was agreed before; LeadershipLost that it does not any more.
type (
	LeadershipGained     struct{}
	LeadershipLost struct{}
	// RequestReceived is a question that came.
	RequestReceived struct{ Request AcquireRequest }
	// Transfer is an operator's: a duty is to go to a member.
	Transfer struct{ Role, To string }
	// CommandApplied is a command that was agreed on, with what came of it.
	CommandApplied struct {
		Command Command
		OK      bool
	}
	// ManagerTick lets time pass.
	ManagerTick struct{}
)

func (LeadershipGained) clerkEvent()       {}
func (LeadershipLost) clerkEvent()   {}
func (RequestReceived) clerkEvent()     {}
func (Transfer) clerkEvent()      {}
func (CommandApplied) clerkEvent()   {}
func (ManagerTick) clerkEvent() {}

// ManagerAction is what is to be done.
type ManagerAction interface{ clerkAction() }

// Propose brings a command to the log.
type Propose struct{ Command Command }

// Reply answers a question.
type Reply struct {
	To     Identity
	Response AcquireResponse
}

// Wake has a member ask at once: something changed for it. It may be lost.
type Wake struct{ Name string }

func (Propose) clerkAction() {}
func (Reply) clerkAction()   {}
func (Wake) clerkAction()   {}

type candidate struct {
	identity  Identity
	zone string
	load float64
	requestedAt   Seconds
}

// pendingRequest is a question that waits for renewals to be agreed on.
type pendingRequest struct {
	request  AcquireRequest
	renewalsLeft int
	receivedAt   Seconds
}

// LeaseManager is the leader's part. It is driven by one voter; where that does not lead it does nothing.
type LeaseManager struct {
	table *LeaseTable
	leading    bool
	leadingSince    Seconds
	renewedAt  map[string]Seconds // when the holder of a duty was last confirmed, or the lead began
	candidates  map[string][]candidate
	preferredZone   map[string]string // zone of a duty
	transferTo     map[string]string // member that is to have it next
	grantProposedAt map[string]Seconds
	pending  []pendingRequest
}

// NewLeaseManager returns the part of a voter whose register this is.
func NewLeaseManager(r *LeaseTable) *LeaseManager {
	return &LeaseManager{table: r, renewedAt: map[string]Seconds{}, candidates: map[string][]candidate{}, preferredZone: map[string]string{}, transferTo: map[string]string{}, grantProposedAt: map[string]Seconds{}}
}

// SetTable has the clerk go by another register: that of a snapshot.
func (c *LeaseManager) SetTable(r *LeaseTable) { c.table = r }

// Step takes an event.
func (c *LeaseManager) Step(now Seconds, e ManagerEvent) (actions []ManagerAction) {
	switch e := e.(type) {
	case LeadershipGained:
		c.leading, c.leadingSince = true, now
		clear(c.renewedAt)
		clear(c.candidates)
		clear(c.grantProposedAt)
		c.pending = nil
		if !mutated("leader-forgets") {
			for name := range c.table.Leases {
				c.renewedAt[name] = now // when it was last renewed nobody knows: not later than now
			}
		}
	case LeadershipLost:
		c.leading, c.pending = false, nil
		clear(c.transferTo)
	case CommandApplied:
		return c.commandApplied(now, e)
	}
	if !c.leading {
		return nil
	}
	switch e := e.(type) {
	case RequestReceived:
		return c.requestReceived(now, e.Request)
	case Transfer:
		if _, known := c.table.Leases[e.Role]; known || len(c.transferTo) < MaxRoles {
			c.transferTo[e.Role] = e.To
		}
		return []ManagerAction{Wake{c.table.Leases[e.Role].Holder.Name}, Wake{e.To}}
	case ManagerTick:
		return c.tick(now)
	}
	return nil
}

// requestReceived takes a question: renewals go to the log, the rest is answered from what is agreed on already.
func (c *LeaseManager) requestReceived(now Seconds, a AcquireRequest) (actions []ManagerAction) {
	if len(a.Roles) > MaxRoles || a.From.Name == "" || len(a.From.Name) > maxNameLength {
		return nil
	}
	q := pendingRequest{request: a, receivedAt: now}
	for _, w := range a.Roles {
		e := c.table.Leases[w.Role]
		holds := e.Holder == a.From && e.Token == w.Token && w.Token != 0
		switch {
		case holds && w.Release:
			actions = append(actions, Propose{Command{Kind: Release, Role: w.Role, Token: w.Token, To: a.From}})
		case w.Release:
			c.candidates[w.Role] = slices.DeleteFunc(c.candidates[w.Role], func(o candidate) bool { return o.identity == a.From })
		case holds:
			actions = append(actions, Propose{Command{Kind: Renew, Role: w.Role, Token: w.Token, To: a.From}})
			q.renewalsLeft++
		default:
			if e.Holder != a.From { // else it was granted, and does not know yet: its next question confirms it
				c.enqueue(now, a, w)
			}
		}
	}
	if q.renewalsLeft > 0 && !mutated("renewal-unagreed") {
		c.pending = append(c.pending, q)
		return actions
	}
	return append(actions, c.response(q))
}

func (c *LeaseManager) enqueue(now Seconds, a AcquireRequest, w RoleRequest) {
	if w.Role == "" || len(w.Role) > maxNameLength || c.table.Leases[w.Role].Token == 0 && len(c.candidates) >= MaxRoles {
		return
	}
	line := c.candidates[w.Role]
	one := candidate{identity: a.From, zone: a.Zone, load: a.Load, requestedAt: now}
	if i := slices.IndexFunc(line, func(o candidate) bool { return o.identity == a.From }); i >= 0 {
		line[i] = one
	} else if len(line) < maxCandidates {
		line = append(line, one)
	}
	c.candidates[w.Role], c.preferredZone[w.Role] = line, w.PreferredZone
}

// response tells what is agreed on now.
func (c *LeaseManager) response(q pendingRequest) Reply {
	r := Reply{To: q.request.From, Response: AcquireResponse{ID: q.request.ID}}
	for _, w := range q.request.Roles {
		e := c.table.Leases[w.Role]
		g := RoleStatus{Role: w.Role, Token: e.Token, Holder: e.Holder.Name}
		if e.Holder == q.request.From {
			// Confirmed is what was renewed behind the question. A grant that the asker hears of here is not: its lease counts
			// from a question that names the token.
			g.IsHolder, g.Confirmed = true, w.Token == e.Token || mutated("grant-is-lease")
			next, named := c.transferTo[w.Role]
			g.StepDown = named && next != q.request.From.Name
		}
		r.Response.Grants = append(r.Response.Grants, g)
	}
	return r
}

// commandApplied notes what was agreed on, and answers who waited for it.
func (c *LeaseManager) commandApplied(now Seconds, e CommandApplied) (actions []ManagerAction) {
	k := e.Command
	if !c.leading {
		return nil
	}
	switch k.Kind {
	case Grant:
		delete(c.grantProposedAt, k.Role)
		if e.OK {
			c.renewedAt[k.Role] = now
			if c.transferTo[k.Role] == k.To.Name {
				delete(c.transferTo, k.Role)
			}
			actions = append(actions, Wake{k.To.Name})
		}
	case Renew:
		if e.OK {
			c.renewedAt[k.Role] = now
		}
		for i := range c.pending {
			q := &c.pending[i]
			if q.renewalsLeft > 0 && q.request.From == k.To && slices.ContainsFunc(q.request.Roles, func(w RoleRequest) bool { return w.Role == k.Role && w.Token == k.Token && !w.Release }) {
				q.renewalsLeft--
				break
			}
		}
		c.pending = slices.DeleteFunc(c.pending, func(q pendingRequest) bool {
			if q.renewalsLeft > 0 {
				return false
			}
			actions = append(actions, c.response(q))
			return true
		})
	case Release, Expire:
		if e.OK {
			actions = append(actions, c.grantNext(now, k.Role)...)
		}
	}
	return actions
}

// tick frees what was not renewed, and grants what is free.
func (c *LeaseManager) tick(now Seconds) (actions []ManagerAction) {
	for _, name := range c.table.Roles() {
		e := c.table.Leases[name]
		wait := expireAfter
		if mutated("expires-early") {
			wait = LeaseDuration / 2
		}
		if e.Holder != (Identity{}) && now > c.renewedAt[name]+wait {
			c.renewedAt[name] = now // proposed once a lease
			actions = append(actions, Propose{Command{Kind: Expire, Role: name, Token: e.Token, RenewedAt: e.RenewedAt}})
		}
	}
	for name := range c.candidates {
		c.candidates[name] = slices.DeleteFunc(c.candidates[name], func(w candidate) bool { return now > w.requestedAt+candidateTimeout })
	}
	names := make([]string, 0, len(c.candidates))
	for name, line := range c.candidates {
		if len(line) > 0 {
			names = append(names, name)
		} else if c.table.Leases[name].Token == 0 {
			delete(c.candidates, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		actions = append(actions, c.grantNext(now, name)...)
	}
	c.pending = slices.DeleteFunc(c.pending, func(q pendingRequest) bool { return now > q.receivedAt+LeaseDuration })
	return actions
}

// grantNext grants a duty that nobody holds to the first in line.
func (c *LeaseManager) grantNext(now Seconds, name string) []ManagerAction {
	e := c.table.Leases[name]
	if at, out := c.grantProposedAt[name]; e.Holder != (Identity{}) || out && now < at+grantRetryInterval || now < c.leadingSince+grantDelay {
		return nil
	}
	line := slices.DeleteFunc(slices.Clone(c.candidates[name]), func(w candidate) bool { return now > w.requestedAt+candidateTimeout })
	if len(line) == 0 {
		return nil
	}
	slices.SortFunc(line, func(a, b candidate) int { return compareCandidates(a, b, c.preferredZone[name]) })
	first := line[0]
	if to, named := c.transferTo[name]; named {
		if i := slices.IndexFunc(line, func(w candidate) bool { return w.identity.Name == to }); i >= 0 {
			first = line[i]
		} else {
			delete(c.transferTo, name) // it does not wait for it: the line goes on without
		}
	}
	c.grantProposedAt[name] = now
	c.candidates[name] = slices.DeleteFunc(c.candidates[name], func(w candidate) bool { return w.identity == first.identity })
	return []ManagerAction{Propose{Command{Kind: Grant, Role: name, To: first.identity, Token: e.Token}}}
}

// Candidates is who waits for a duty, in the order in which they would have it.
func (c *LeaseManager) Candidates(name string) (names []string) {
	line := slices.Clone(c.candidates[name])
	slices.SortFunc(line, func(a, b candidate) int { return compareCandidates(a, b, c.preferredZone[name]) })
	for _, w := range line {
		names = append(names, w.identity.Name)
	}
	return names
}

// Leading tells whether this voter leads.
func (c *LeaseManager) Leading() bool { return c.leading }
