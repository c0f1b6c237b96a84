package singleton

import (
	"maps"
	"slices"
)

// LeaseHolderEvent is what happens at an ingress.
type LeaseHolderEvent interface{ holderEvent() }

// The events.
type (
	// Acquire adds a duty that this ingress would do.
	Acquire struct{ Role, PreferredZone string }
	// Resign gives a duty up and does not ask for it until Wanted: it goes, or cannot do it.
	Resign struct{ Role string }
	// SteppedDown tells that the work of a duty that is to be given up has stopped.
	SteppedDown struct{ Role string }
	// ResponseReceived is the leader's answer.
	ResponseReceived struct{ Response AcquireResponse }
	// WakeReceived has it ask at once.
	WakeReceived struct{}
	// StallDetected tells that this process stood still: it acts on nothing until it has asked again.
	StallDetected struct{}
	// LeaseHolderTick lets time pass.
	LeaseHolderTick struct{ Load float64 }
)

func (Acquire) holderEvent()     {}
func (Resign) holderEvent()     {}
func (SteppedDown) holderEvent()    {}
func (ResponseReceived) holderEvent()   {}
func (WakeReceived) holderEvent()     {}
func (StallDetected) holderEvent()      {}
func (LeaseHolderTick) holderEvent() {}

// LeaseHolderAction is what is to be done.
type LeaseHolderAction interface{ holderAction() }

// The actions.
type (
	// SendRequest brings a question to the leader.
	SendRequest struct{ Request AcquireRequest }
	// LeaseGained tells that work may begin, under a token, until Lost.
	LeaseGained struct {
		Role  string
		Token uint64
	}
	// LeaseLost tells that it must stop: the lease has ended.
	LeaseLost struct {
		Role  string
		Token uint64
	}
	// StepDown tells that it is to stop, for another is to have it; Yielded answers it.
	StepDown struct{ Role string }
)

func (SendRequest) holderAction()   {}
func (LeaseGained) holderAction() {}
func (LeaseLost) holderAction()   {}
func (StepDown) holderAction()  {}

// roleLease is a duty as a holder knows it.
type roleLease struct {
	preferredZone    string
	token   uint64 // 0: not held
	expiresAt   Seconds
	acting    bool // Gained was told, Lost was not
	steppingDown  bool // Yield was told
	releasing bool // it is being given up
	resigned bool // and not wanted again
}

// LeaseHolder is the part of each ingress. Until is counted from when the question was sent that the leader confirmed.
type LeaseHolder struct {
	self   Identity
	zone   string
	load   float64
	roles map[string]*roleLease
	lastRequestID     uint64
	requestSentAt   map[uint64]Seconds // questions that are out
	nextRequestAt  Seconds
}

// NewLeaseHolder returns the part of a process.
func NewLeaseHolder(self Identity, zone string) *LeaseHolder {
	return &LeaseHolder{self: self, zone: zone, roles: map[string]*roleLease{}, requestSentAt: map[uint64]Seconds{}}
}

// SetIdentity goes by another start of this process: what it held was another's.
func (h *LeaseHolder) SetIdentity(self Identity) { h.self = self }

// FencingToken tells whether a duty may be acted on now, and under which token. It is asked before each effect.
func (h *LeaseHolder) FencingToken(now Seconds, name string) (token uint64, ok bool) {
	d := h.roles[name]
	if d == nil || d.token == 0 || !d.acting || now >= d.expiresAt-SafetyMargin && !mutated("acts-on") {
		return 0, false
	}
	return d.token, true
}

// ExpiresAt is when a duty's lease ends; 0: it is not held.
func (h *LeaseHolder) ExpiresAt(name string) Seconds {
	if d := h.roles[name]; d != nil && d.token != 0 {
		return d.expiresAt
	}
	return 0
}

// Step takes an event.
func (h *LeaseHolder) Step(now Seconds, e LeaseHolderEvent) (actions []LeaseHolderAction) {
	switch e := e.(type) {
	case Acquire:
		if len(h.roles) < MaxRoles {
			if h.roles[e.Role] == nil {
				h.roles[e.Role] = &roleLease{}
			}
			h.roles[e.Role].preferredZone, h.roles[e.Role].resigned = e.PreferredZone, false
		}
		h.nextRequestAt = now
	case Resign:
		if d := h.roles[e.Role]; d != nil {
			d.resigned, d.releasing = true, true
			actions = h.stopActing(e.Role, d)
			h.nextRequestAt = now
		}
	case SteppedDown:
		if d := h.roles[e.Role]; d != nil && d.steppingDown {
			d.releasing = true
			actions = h.stopActing(e.Role, d)
			h.nextRequestAt = now
		}
	case WakeReceived:
		h.nextRequestAt = min(h.nextRequestAt, now)
	case StallDetected:
		if mutated("woken-acts") {
			break
		}
		clear(h.requestSentAt) // an answer to what was sent before counts from then, and may still come: it would say little
		for _, name := range slices.Sorted(maps.Keys(h.roles)) {
			h.roles[name].expiresAt = 0
		}
		h.nextRequestAt = now
	case ResponseReceived:
		actions = h.responseReceived(now, e.Response)
	case LeaseHolderTick:
		h.load = e.Load
	}
	return append(actions, h.tick(now)...)
}

// responseReceived goes by the leader's answer.
func (h *LeaseHolder) responseReceived(now Seconds, a AcquireResponse) (actions []LeaseHolderAction) {
	sent, out := h.requestSentAt[a.ID]
	if !out {
		return nil // answered already, or asked before this process stood still
	}
	delete(h.requestSentAt, a.ID)
	if mutated("lease-from-answer") {
		sent = now
	}
	for _, g := range a.Grants {
		d := h.roles[g.Role]
		switch {
		case d == nil || g.Token < d.token: // an answer that was overtaken
		case g.IsHolder && !g.Confirmed && g.Token > d.token && !d.releasing:
			d.token, d.expiresAt, h.nextRequestAt = g.Token, 0, now // granted: the next question confirms it, and its lease counts from there
		case g.IsHolder && mutated("grant-is-lease") && g.Token > d.token:
			d.token, d.expiresAt, d.acting = g.Token, sent+LeaseDuration, true
			actions = append(actions, LeaseGained{g.Role, d.token})
		case g.Confirmed && g.Token == d.token && !d.releasing:
			d.expiresAt = max(d.expiresAt, sent+LeaseDuration)
			if !d.acting && now < d.expiresAt-SafetyMargin {
				d.acting = true
				actions = append(actions, LeaseGained{g.Role, d.token})
			}
			if g.StepDown && !d.steppingDown && d.acting {
				d.steppingDown = true
				actions = append(actions, StepDown{g.Role})
			}
		case !g.IsHolder: // another's, or nobody's
			actions = append(actions, h.stopActing(g.Role, d)...)
			d.token, d.releasing, d.steppingDown = 0, false, false
		}
	}
	return actions
}

// stopActing stops acting on a duty.
func (h *LeaseHolder) stopActing(name string, d *roleLease) []LeaseHolderAction {
	if !d.acting {
		return nil
	}
	d.acting = false
	return []LeaseHolderAction{LeaseLost{name, d.token}}
}

// tick ends what has ended, and asks.
func (h *LeaseHolder) tick(now Seconds) (actions []LeaseHolderAction) {
	for _, name := range slices.Sorted(maps.Keys(h.roles)) {
		if d := h.roles[name]; d.acting && now >= d.expiresAt-SafetyMargin {
			actions = append(actions, h.stopActing(name, d)...)
		}
	}
	for id, at := range h.requestSentAt {
		if now > at+LeaseDuration {
			delete(h.requestSentAt, id)
		}
	}
	if now < h.nextRequestAt || len(h.roles) == 0 {
		return actions
	}
	h.nextRequestAt = now + renewInterval
	h.lastRequestID++
	a := AcquireRequest{From: h.self, ID: h.lastRequestID, Zone: h.zone, Load: h.load}
	for _, name := range slices.Sorted(maps.Keys(h.roles)) {
		d := h.roles[name]
		if d.resigned && d.token == 0 {
			delete(h.roles, name)
			a.Roles = append(a.Roles, RoleRequest{Role: name, Release: true})
			continue
		}
		a.Roles = append(a.Roles, RoleRequest{Role: name, Token: d.token, Release: d.releasing, PreferredZone: d.preferredZone})
	}
	h.requestSentAt[h.lastRequestID] = now
	return append(actions, SendRequest{a})
}
