package singleton

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

// ManagerEvent is an event of the LeaseManager.
type ManagerEvent interface{ managerEvent() }

// Events of the LeaseManager.
type (
	// LeadershipGained says that this voter leads from now on, and has applied all entries of earlier leaders.
	LeadershipGained struct{}
	// LeadershipLost says that this voter does not lead any more.
	LeadershipLost struct{}
	// RequestReceived is a request of an ingress.
	RequestReceived struct{ Request AcquireRequest }
	// Transfer is an operator's request that a role go to a member.
	Transfer struct{ Role, To string }
	// CommandApplied says that a command was applied to the table.
	CommandApplied struct {
		Command Command
		OK      bool // it changed or renewed a lease, see LeaseTable.Apply
	}
	// ManagerTick says that time has passed.
	ManagerTick struct{}
)

func (LeadershipGained) managerEvent() {}
func (LeadershipLost) managerEvent()   {}
func (RequestReceived) managerEvent()  {}
func (Transfer) managerEvent()         {}
func (CommandApplied) managerEvent()   {}
func (ManagerTick) managerEvent()      {}

// ManagerAction is what the user of a LeaseManager is to do.
type ManagerAction interface{ managerAction() }

// Actions of the LeaseManager.
type (
	// Propose appends a command to the log. It may be lost.
	Propose struct{ Command Command }
	// Reply sends the response to a request. It may be lost.
	Reply struct {
		To       Identity
		Response AcquireResponse
	}
	// Wake has a member send its request at once, as something changed for it. It may be lost.
	Wake struct{ Name string }
)

func (Propose) managerAction() {}
func (Reply) managerAction()   {}
func (Wake) managerAction()    {}

// pendingRequest is a request whose response waits for renewals to be applied.
type pendingRequest struct {
	request      AcquireRequest
	renewalsLeft int
	receivedAt   Seconds
}

// LeaseManager is the leader's part: the queues of candidates and the expiry of leases. Each voter has one; it does
// nothing where the voter does not lead. Its state is soft: a new leader starts without any, and waits a full lease
// before it expires one.
type LeaseManager struct {
	table           *LeaseTable
	leading         bool
	leadingSince    Seconds
	renewedAt       map[string]Seconds // by role: when its lease was last renewed, or this leader began
	candidates      map[string][]candidate
	preferredZone   map[string]string  // by role
	transferTo      map[string]string  // by role: the member that is to hold it next
	grantProposedAt map[string]Seconds // by role: when a grant was proposed that is not applied yet
	pending         []pendingRequest
}

// NewLeaseManager returns the manager of the voter whose table t is. The manager reads the table and never changes
// it.
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

// SetTable replaces the table, by that of a snapshot.
func (lm *LeaseManager) SetTable(t *LeaseTable) { lm.table = t }

// Leading reports whether this voter leads.
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
		lm.renewedAt[role] = now // unknown, but not later than now
	}
}

// requestReceived proposes the renewals and releases of a request and queues its candidacies. The response waits for
// the renewals; without any it is sent at once.
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
		case lease.Holder != r.From: // else it does not know of its grant yet, and its next request confirms the lease
			lm.enqueue(now, r, requested)
		}
	}
	if pending.renewalsLeft > 0 && !mutants.On("singleton/renewal-unagreed") {
		lm.pending = append(lm.pending, pending)
		return actions
	}
	return append(actions, lm.response(pending.request))
}

// enqueue makes the sender of a request a candidate for a role.
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

// response answers a request from the table as it is now.
func (lm *LeaseManager) response(r AcquireRequest) Reply {
	reply := Reply{To: r.From, Response: AcquireResponse{ID: r.ID}}
	for _, requested := range r.Roles {
		lease := lm.table.Leases[requested.Role]
		status := RoleStatus{Role: requested.Role, Token: lease.Token, Holder: lease.Holder.Name}
		if lease.Holder == r.From {
			status.IsHolder = true
			// Confirmed means that the lease was renewed after the request. A grant that the sender learns of by this
			// response is not confirmed: its lease counts from a request that names the token.
			status.Confirmed = requested.Token == lease.Token || mutants.On("singleton/grant-is-lease")
			next, transferred := lm.transferTo[requested.Role]
			status.StepDown = transferred && next != r.From.Name
		}
		reply.Response.Statuses = append(reply.Response.Statuses, status)
	}
	return reply
}

// commandApplied notes the outcome of a command and answers the requests that waited for it.
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

// countRenewal notes a renewal, applied or rejected, for the oldest request that waits for it.
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

// answerPending responds to the requests that wait for no renewal any more.
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

// tick expires leases that were not renewed, and grants the roles that nobody holds.
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
		lm.renewedAt[role] = now // so that the expiry is proposed once a lease
		expire := Command{Kind: Expire, Role: role, Token: lease.Token, RenewedIndex: lease.RenewedIndex}
		actions = append(actions, Propose{expire})
	}
	return actions
}

// grantNext proposes to grant a free role to the first candidate, or to the one that a transfer names.
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
			delete(lm.transferTo, role) // it is no candidate: the transfer is dropped
		}
	}
	lm.grantProposedAt[role] = now
	lm.candidates[role] = removeCandidate(lm.candidates[role], first.identity)
	return []ManagerAction{Propose{Command{Kind: Grant, Role: role, To: first.identity, Token: lease.Token}}}
}

func (lm *LeaseManager) sortCandidates(queue []candidate, role string) {
	slices.SortFunc(queue, func(a, b candidate) int { return compareCandidates(a, b, lm.preferredZone[role]) })
}
