package singleton

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

// ManagerEvent is an event of the LeaseManager.
type ManagerEvent interface{ managerEvent() }

// Events of the LeaseManager.
type (
	// LeadershipGained reports that this voter is now the leader, and has applied all entries of earlier leaders.
	LeadershipGained struct{}
	// LeadershipLost reports that this voter is no longer the leader.
	LeadershipLost struct{}
	// RequestReceived is a request of an ingress.
	RequestReceived struct{ Request AcquireRequest }
	// Transfer is an operator's request to move a role to another member.
	Transfer struct{ Role, To string }
	// CommandApplied reports that a command of the log was passed to the table, and whether it had an effect.
	CommandApplied struct {
		Command Command
		OK      bool // the command changed or renewed a lease, see LeaseTable.Apply
	}
	// ManagerTick reports that time has passed.
	ManagerTick struct{}
)

func (LeadershipGained) managerEvent() {}
func (LeadershipLost) managerEvent()   {}
func (RequestReceived) managerEvent()  {}
func (Transfer) managerEvent()         {}
func (CommandApplied) managerEvent()   {}
func (ManagerTick) managerEvent()      {}

// ManagerAction is an action that the caller of LeaseManager.Step must carry out.
type ManagerAction interface{ managerAction() }

// Actions of the LeaseManager.
type (
	// Propose appends a command to the voters' log. The proposal may be lost.
	Propose struct{ Command Command }
	// Reply sends the response to a request. The response may be lost.
	Reply struct {
		To       Identity
		Response AcquireResponse
	}
	// Wake asks a member to send its next request at once, because a role was granted to it or is being
	// transferred. The message may be lost.
	Wake struct{ Name string }
)

func (Propose) managerAction() {}
func (Reply) managerAction()   {}
func (Wake) managerAction()    {}

// pendingRequest is a request whose response is delayed until its renewals are applied or rejected.
type pendingRequest struct {
	request      AcquireRequest
	renewalsLeft int // renewals of the request that are neither applied nor rejected yet
	receivedAt   Seconds
}

// LeaseManager queues candidates, grants roles and expires leases at the voters' leader. Each voter has one; it does
// nothing while the voter is not the leader. Its state is neither stored nor replicated, so a new leader starts without
// candidates, and waits for expireAfter before it expires a lease.
type LeaseManager struct {
	table           *LeaseTable
	leading         bool
	leadingSince    Seconds
	renewedAt       map[string]Seconds     // by role: last grant, renewal, expiry proposal or start as leader
	candidates      map[string][]candidate // by role, in no particular order
	preferredZone   map[string]string      // by role
	transferTo      map[string]string      // by role: name of the member that an operator transfers it to
	grantProposedAt map[string]Seconds     // by role: time of the proposed grant that is not applied yet
	pending         []pendingRequest
}

// NewLeaseManager returns a manager for the voter that owns table t. The manager reads the table and never changes it.
func NewLeaseManager(t *LeaseTable) *LeaseManager {
	return &LeaseManager{
		table:           t,
		renewedAt:       map[string]Seconds{},
		candidates:      map[string][]candidate{},
		preferredZone:   map[string]string{},
		transferTo:      map[string]string{},
		grantProposedAt: map[string]Seconds{},
	}
}

// SetTable replaces the table, after the voter has loaded a snapshot.
func (lm *LeaseManager) SetTable(t *LeaseTable) { lm.table = t }

// Leading reports whether this voter is the leader.
func (lm *LeaseManager) Leading() bool { return lm.leading }

// Candidates returns the names of the candidates for a role, in the order in which they would be granted it.
func (lm *LeaseManager) Candidates(role string) (names []string) {
	queue := slices.Clone(lm.candidates[role])
	lm.sortCandidates(queue, role)
	for _, c := range queue {
		names = append(names, c.identity.Name)
	}
	return names
}

// Step handles an event.
func (lm *LeaseManager) Step(now Seconds, event ManagerEvent) (actions []ManagerAction) {
	switch event.(type) {
	case LeadershipGained:
		lm.gainLeadership(now)
	case LeadershipLost:
		lm.leading, lm.pending = false, nil
		clear(lm.transferTo)
	}
	if !lm.leading {
		return nil
	}
	switch event := event.(type) {
	case CommandApplied:
		return lm.commandApplied(now, event)
	case RequestReceived:
		return lm.requestReceived(now, event.Request)
	case Transfer:
		// The limit bounds the memory, because an operator may name roles that don't exist.
		if _, known := lm.table.Leases[event.Role]; known || len(lm.transferTo) < MaxRoles {
			lm.transferTo[event.Role] = event.To
		}
		return []ManagerAction{Wake{lm.table.Leases[event.Role].Holder.Name}, Wake{event.To}}
	case ManagerTick:
		return lm.tick(now)
	}
	return nil
}

func (lm *LeaseManager) gainLeadership(now Seconds) {
	lm.leading, lm.leadingSince = true, now
	clear(lm.renewedAt)
	clear(lm.candidates)
	clear(lm.grantProposedAt)
	lm.pending = nil
	if mutants.On("singleton/leader-forgets") {
		return
	}
	for role := range lm.table.Leases {
		lm.renewedAt[role] = now // the time of the last renewal is unknown, but not later than now
	}
}

// requestReceived proposes the renewals and releases of a request, and queues its sender as a candidate for the other
// roles. The response is sent once the renewals are applied or rejected, or at once if there are none.
func (lm *LeaseManager) requestReceived(now Seconds, r AcquireRequest) (actions []ManagerAction) {
	if len(r.Roles) > MaxRoles || r.From.Name == "" || len(r.From.Name) > maxNameLength {
		return nil
	}
	pending := pendingRequest{request: r, receivedAt: now}
	for _, requested := range r.Roles {
		lease := lm.table.Leases[requested.Role]
		holds := lease.Holder == r.From && lease.Token == requested.Token && requested.Token != 0
		command := Command{Role: requested.Role, Token: requested.Token, To: r.From}
		switch {
		case holds && requested.Release:
			command.Kind = Release
			actions = append(actions, Propose{command})
		case requested.Release:
			lm.candidates[requested.Role] = removeCandidate(lm.candidates[requested.Role], r.From)
		case holds:
			command.Kind = Renew
			actions = append(actions, Propose{command})
			pending.renewalsLeft++
		// A holder that does not know its token yet learns it from the response. Its next request confirms the lease.
		case lease.Holder != r.From:
			lm.enqueue(now, r, requested)
		}
	}
	if pending.renewalsLeft > 0 && !mutants.On("singleton/renewal-unagreed") {
		lm.pending = append(lm.pending, pending)
		return actions
	}
	return append(actions, lm.response(pending.request))
}

// enqueue makes the sender of a request a candidate for a role. MaxRoles bounds the queues for roles that were never
// granted, because any ingress may name them.
func (lm *LeaseManager) enqueue(now Seconds, r AcquireRequest, requested RoleRequest) {
	role := requested.Role
	if role == "" || len(role) > maxNameLength {
		return
	}
	if lm.table.Leases[role].Token == 0 && len(lm.candidates) >= MaxRoles {
		return
	}
	added := candidate{identity: r.From, zone: r.Zone, load: r.Load, requestedAt: now}
	lm.candidates[role] = upsertCandidate(lm.candidates[role], added)
	lm.preferredZone[role] = requested.PreferredZone
}

// response returns the response to a request, from the current state of the table.
func (lm *LeaseManager) response(r AcquireRequest) Reply {
	reply := Reply{To: r.From, Response: AcquireResponse{ID: r.ID}}
	for _, requested := range r.Roles {
		lease := lm.table.Leases[requested.Role]
		status := RoleStatus{Role: requested.Role, Token: lease.Token, Holder: lease.Holder.Name}
		if lease.Holder == r.From {
			status.IsHolder = true
			// Confirmed means that the lease was renewed after the request. A grant that the sender learns of from this
			// response is not confirmed, because its lease starts with a request that carries the token.
			status.Confirmed = requested.Token == lease.Token || mutants.On("singleton/grant-is-lease")
			next, transferred := lm.transferTo[requested.Role]
			status.StepDown = transferred && next != r.From.Name
		}
		reply.Response.Statuses = append(reply.Response.Statuses, status)
	}
	return reply
}

// commandApplied records the outcome of a command and responds to the requests that waited for it.
func (lm *LeaseManager) commandApplied(now Seconds, e CommandApplied) (actions []ManagerAction) {
	command := e.Command
	if e.OK && (command.Kind == Grant || command.Kind == Renew) {
		lm.renewedAt[command.Role] = now
	}
	switch command.Kind {
	case Grant:
		delete(lm.grantProposedAt, command.Role)
		if !e.OK {
			return nil
		}
		if lm.transferTo[command.Role] == command.To.Name {
			delete(lm.transferTo, command.Role)
		}
		return []ManagerAction{Wake{command.To.Name}}
	case Renew:
		lm.countRenewal(command)
		return lm.answerPending()
	case Release, Expire:
		if e.OK {
			return lm.grantNext(now, command.Role)
		}
	}
	return nil
}

// countRenewal counts a renewal, applied or rejected, towards the oldest request that waits for it.
func (lm *LeaseManager) countRenewal(renewal Command) {
	renews := func(r RoleRequest) bool {
		return r.Role == renewal.Role && r.Token == renewal.Token && !r.Release
	}
	for i := range lm.pending {
		p := &lm.pending[i]
		if p.renewalsLeft > 0 && p.request.From == renewal.To && slices.ContainsFunc(p.request.Roles, renews) {
			p.renewalsLeft--
			return
		}
	}
}

// answerPending responds to the requests whose renewals have all been applied or rejected.
func (lm *LeaseManager) answerPending() (actions []ManagerAction) {
	lm.pending = slices.DeleteFunc(lm.pending, func(p pendingRequest) bool {
		if p.renewalsLeft > 0 {
			return false
		}
		actions = append(actions, lm.response(p.request))
		return true
	})
	return actions
}

// tick expires leases that were not renewed, and grants the roles that are free. Pending requests are dropped after
// LeaseDuration, because a LeaseHolder ignores later responses.
func (lm *LeaseManager) tick(now Seconds) (actions []ManagerAction) {
	actions = lm.expireLeases(now)
	for role, queue := range lm.candidates {
		lm.candidates[role] = removeExpired(queue, now)
	}
	roles := make([]string, 0, len(lm.candidates))
	for role, queue := range lm.candidates {
		if len(queue) > 0 {
			roles = append(roles, role)
		} else if lm.table.Leases[role].Token == 0 {
			delete(lm.candidates, role)
		}
	}
	slices.Sort(roles)
	for _, role := range roles {
		actions = append(actions, lm.grantNext(now, role)...)
	}
	lm.pending = slices.DeleteFunc(lm.pending, func(p pendingRequest) bool { return now > p.receivedAt+LeaseDuration })
	return actions
}

// expireLeases proposes the expiry of leases that were not renewed in time.
func (lm *LeaseManager) expireLeases(now Seconds) (actions []ManagerAction) {
	wait := Seconds(expireAfter)
	if mutants.On("singleton/expires-early") {
		wait = LeaseDuration / 2
	}
	for _, role := range lm.table.Roles() {
		lease := lm.table.Leases[role]
		if !lease.assigned() || now <= lm.renewedAt[role]+wait {
			continue
		}
		lm.renewedAt[role] = now // so that the expiry is proposed again only after a further expireAfter
		expire := Command{Kind: Expire, Role: role, Token: lease.Token, RenewedIndex: lease.RenewedIndex}
		actions = append(actions, Propose{expire})
	}
	return actions
}

// grantNext proposes to grant a free role to the first candidate, or to the target of a transfer.
func (lm *LeaseManager) grantNext(now Seconds, role string) []ManagerAction {
	lease := lm.table.Leases[role]
	if lease.assigned() || now < lm.leadingSince+grantDelay {
		return nil
	}
	if proposedAt, proposed := lm.grantProposedAt[role]; proposed && now < proposedAt+grantRetryInterval {
		return nil
	}
	queue := removeExpired(slices.Clone(lm.candidates[role]), now)
	if len(queue) == 0 {
		return nil
	}
	lm.sortCandidates(queue, role)
	first := queue[0]
	if to, transferred := lm.transferTo[role]; transferred {
		i := slices.IndexFunc(queue, func(c candidate) bool { return c.identity.Name == to })
		if i >= 0 {
			first = queue[i]
		} else {
			delete(lm.transferTo, role) // the target is not a candidate, so the transfer is dropped
		}
	}
	lm.grantProposedAt[role] = now
	lm.candidates[role] = removeCandidate(lm.candidates[role], first.identity)
	return []ManagerAction{Propose{Command{Kind: Grant, Role: role, To: first.identity, Token: lease.Token}}}
}

func (lm *LeaseManager) sortCandidates(queue []candidate, role string) {
	slices.SortFunc(queue, func(a, b candidate) int { return compareCandidates(a, b, lm.preferredZone[role]) })
}
