package singleton

import (
	"maps"
	"slices"

	"mulleinrouter/internal/mutants"
)

// LeaseHolderEvent is an event of the LeaseHolder.
type LeaseHolderEvent interface{ leaseHolderEvent() }

// Events of the LeaseHolder.
type (
	// Acquire makes this ingress request a role from now on.
	Acquire struct{ Role, PreferredZone string }
	// Resign releases a role and does not request it again until Acquire. It is used when the process ends or cannot do
	// the role's work.
	Resign struct{ Role string }
	// SteppedDown reports that the work of a role has stopped after StepDown.
	SteppedDown struct{ Role string }
	// ResponseReceived is a response of the leader.
	ResponseReceived struct{ Response AcquireResponse }
	// WakeReceived reports a wake-up message of the leader; the next request is sent at once.
	WakeReceived struct{}
	// StallDetected reports that this process was paused. The process must not act under any lease until the
	// leader has responded to a request that was sent after the pause.
	StallDetected struct{}
	// LeaseHolderTick reports that time has passed, and the load of this ingress.
	LeaseHolderTick struct{ Load float64 } // 0 to 1
)

func (Acquire) leaseHolderEvent()          {}
func (Resign) leaseHolderEvent()           {}
func (SteppedDown) leaseHolderEvent()      {}
func (ResponseReceived) leaseHolderEvent() {}
func (WakeReceived) leaseHolderEvent()     {}
func (StallDetected) leaseHolderEvent()    {}
func (LeaseHolderTick) leaseHolderEvent()  {}

// LeaseHolderAction is an action that the caller of LeaseHolder.Step must carry out.
type LeaseHolderAction interface{ leaseHolderAction() }

// Actions of the LeaseHolder.
type (
	// SendRequest sends a request to all voters. Only the leader responds. The request may be lost.
	SendRequest struct{ Request AcquireRequest }
	// LeaseGained starts the work of a role, under a fencing token, until LeaseLost or StepDown.
	LeaseGained struct {
		Role  string
		Token uint64
	}
	// LeaseLost stops the work of a role, because its lease has ended or the ingress releases the role.
	LeaseLost struct {
		Role  string
		Token uint64
	}
	// StepDown stops the work of a role that is being transferred. The caller reports SteppedDown afterwards.
	StepDown struct{ Role string }
)

func (SendRequest) leaseHolderAction() {}
func (LeaseGained) leaseHolderAction() {}
func (LeaseLost) leaseHolderAction()   {}
func (StepDown) leaseHolderAction()    {}

// roleLease is the local state of one role that this ingress requests.
type roleLease struct {
	preferredZone string
	token         uint64  // token of the lease; 0 if the role is not held
	expiresAt     Seconds // LeaseDuration after the latest confirmed request was sent
	acting        bool    // between LeaseGained and LeaseLost
	steppingDown  bool    // StepDown was returned
	releasing     bool    // the next request releases the role
	resigned      bool    // the role is not requested again
}

// LeaseHolder requests roles and renews leases for one ingress. Every ingress has a LeaseHolder, including those that
// hold no role; the holder of a role is the ingress whose LeaseHolder has the lease.
type LeaseHolder struct {
	self          Identity
	zone          string
	load          float64
	roles         map[string]*roleLease
	lastRequestID uint64
	requestSentAt map[uint64]Seconds // send times of requests without a response, by id
	nextRequestAt Seconds
}

// NewLeaseHolder returns a LeaseHolder without roles, for a process with the given identity.
func NewLeaseHolder(self Identity, zone string) *LeaseHolder {
	return &LeaseHolder{
		self:          self,
		zone:          zone,
		roles:         map[string]*roleLease{},
		requestSentAt: map[uint64]Seconds{},
	}
}

// SetIdentity replaces the identity of this process. Leases of the former identity are no longer renewed.
func (lh *LeaseHolder) SetIdentity(self Identity) { lh.self = self }

// FencingToken returns the token under which this ingress may act on a role now; ok is false if it may not act.
// Callers must check it before each request made under the role.
func (lh *LeaseHolder) FencingToken(now Seconds, role string) (token uint64, ok bool) {
	lease := lh.roles[role]
	if lease == nil || lease.token == 0 || !lease.acting {
		return 0, false
	}
	if now >= lease.expiresAt-SafetyMargin && !mutants.On("singleton/acts-on") {
		return 0, false
	}
	return lease.token, true
}

// ExpiresAt returns when the lease of a role ends; 0 if this ingress does not hold it.
func (lh *LeaseHolder) ExpiresAt(role string) Seconds {
	if lease := lh.roles[role]; lease != nil && lease.token != 0 {
		return lease.expiresAt
	}
	return 0
}

// Step handles an event.
func (lh *LeaseHolder) Step(now Seconds, event LeaseHolderEvent) (actions []LeaseHolderAction) {
	switch event := event.(type) {
	case Acquire:
		lh.acquire(now, event)
	case Resign:
		if lease := lh.roles[event.Role]; lease != nil {
			lease.resigned = true
			actions = lh.release(now, event.Role, lease)
		}
	case SteppedDown:
		if lease := lh.roles[event.Role]; lease != nil && lease.steppingDown {
			actions = lh.release(now, event.Role, lease)
		}
	case WakeReceived:
		lh.nextRequestAt = min(lh.nextRequestAt, now)
	case StallDetected:
		lh.stallDetected(now)
	case ResponseReceived:
		actions = lh.responseReceived(now, event.Response)
	case LeaseHolderTick:
		lh.load = event.Load
	}
	return append(actions, lh.tick(now)...)
}

func (lh *LeaseHolder) acquire(now Seconds, event Acquire) {
	if len(lh.roles) < MaxRoles {
		lease := lh.roles[event.Role]
		if lease == nil {
			lease = &roleLease{}
			lh.roles[event.Role] = lease
		}
		lease.preferredZone, lease.resigned = event.PreferredZone, false
	}
	lh.nextRequestAt = now
}

// release stops acting on a role, and releases it by a request that is sent at once.
func (lh *LeaseHolder) release(now Seconds, role string, lease *roleLease) []LeaseHolderAction {
	lease.releasing = true
	lh.nextRequestAt = now
	return lh.stopActing(role, lease)
}

// stallDetected ends all leases. Responses to requests that were sent before the pause may still arrive; they are
// ignored.
func (lh *LeaseHolder) stallDetected(now Seconds) {
	if mutants.On("singleton/woken-acts") {
		return
	}
	clear(lh.requestSentAt)
	for _, lease := range lh.roles {
		lease.expiresAt = 0
	}
	lh.nextRequestAt = now
}

// responseReceived applies the leader's response, if the request has no response yet.
func (lh *LeaseHolder) responseReceived(now Seconds, r AcquireResponse) (actions []LeaseHolderAction) {
	sentAt, waiting := lh.requestSentAt[r.ID]
	if !waiting {
		return nil // a duplicate response, or one to a request from before a pause of this process
	}
	delete(lh.requestSentAt, r.ID)
	if mutants.On("singleton/lease-from-answer") {
		sentAt = now
	}
	for _, status := range r.Statuses {
		if lease := lh.roles[status.Role]; lease != nil {
			actions = append(actions, lh.applyStatus(now, sentAt, lease, status)...)
		}
	}
	return actions
}

// applyStatus applies the status of one role from a response. sentAt is when the request was sent.
func (lh *LeaseHolder) applyStatus(now, sentAt Seconds, lease *roleLease, status RoleStatus) []LeaseHolderAction {
	switch {
	case status.Token < lease.token: // a response that is older than the current lease
		return nil
	case status.IsHolder && !status.Confirmed && status.Token > lease.token && !lease.releasing:
		// The role was granted. The lease starts with the next request, which is the first to carry the token.
		lease.token, lease.expiresAt = status.Token, 0
		lh.nextRequestAt = now
		return nil
	case status.IsHolder && mutants.On("singleton/grant-is-lease") && status.Token > lease.token:
		lease.token, lease.expiresAt, lease.acting = status.Token, sentAt+LeaseDuration, true
		return []LeaseHolderAction{LeaseGained{status.Role, lease.token}}
	case status.Confirmed && status.Token == lease.token && !lease.releasing:
		return lh.renewed(now, sentAt, lease, status)
	case !status.IsHolder: // the role is held by another ingress, or is free
		actions := lh.stopActing(status.Role, lease)
		lease.token, lease.releasing, lease.steppingDown = 0, false, false
		return actions
	}
	return nil
}

// renewed extends a lease that the leader confirmed.
func (lh *LeaseHolder) renewed(now, sentAt Seconds, lease *roleLease, status RoleStatus) (actions []LeaseHolderAction) {
	lease.expiresAt = max(lease.expiresAt, sentAt+LeaseDuration)
	if !lease.acting && now < lease.expiresAt-SafetyMargin {
		lease.acting = true
		actions = append(actions, LeaseGained{status.Role, lease.token})
	}
	if status.StepDown && !lease.steppingDown && lease.acting {
		lease.steppingDown = true
		actions = append(actions, StepDown{status.Role})
	}
	return actions
}

// stopActing returns LeaseLost if the ingress acts on a role.
func (lh *LeaseHolder) stopActing(role string, lease *roleLease) []LeaseHolderAction {
	if !lease.acting {
		return nil
	}
	lease.acting = false
	return []LeaseHolderAction{LeaseLost{role, lease.token}}
}

// tick stops acting on leases that end within SafetyMargin, and sends a request when one is due. It forgets requests
// sent more than LeaseDuration ago, because a response to one of them could only confirm a lease that has ended.
func (lh *LeaseHolder) tick(now Seconds) (actions []LeaseHolderAction) {
	for _, role := range slices.Sorted(maps.Keys(lh.roles)) {
		if lease := lh.roles[role]; lease.acting && now >= lease.expiresAt-SafetyMargin {
			actions = append(actions, lh.stopActing(role, lease)...)
		}
	}
	for id, sentAt := range lh.requestSentAt {
		if now > sentAt+LeaseDuration {
			delete(lh.requestSentAt, id)
		}
	}
	if now < lh.nextRequestAt || len(lh.roles) == 0 {
		return actions
	}
	return append(actions, SendRequest{lh.nextRequest(now)})
}

// nextRequest returns a request for all roles. A role that was resigned and is not held is included a last time, as a
// release, and then removed.
func (lh *LeaseHolder) nextRequest(now Seconds) AcquireRequest {
	lh.nextRequestAt = now + renewInterval
	lh.lastRequestID++
	lh.requestSentAt[lh.lastRequestID] = now
	r := AcquireRequest{From: lh.self, ID: lh.lastRequestID, Zone: lh.zone, Load: lh.load}
	for _, role := range slices.Sorted(maps.Keys(lh.roles)) {
		lease := lh.roles[role]
		if lease.resigned && lease.token == 0 {
			delete(lh.roles, role)
			r.Roles = append(r.Roles, RoleRequest{Role: role, Release: true})
			continue
		}
		r.Roles = append(r.Roles, RoleRequest{
			Role:          role,
			Token:         lease.token,
			Release:       lease.releasing,
			PreferredZone: lease.preferredZone,
		})
	}
	return r
}
