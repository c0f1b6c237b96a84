package quotashare

import (
	"math"

	"mulleinrouter/internal/mutants"
)

const (
	// LeaseDuration is for how long a borrower may use a loan, in seconds. It counts from when the borrower sent the
	// message that the lender acknowledged with the loan.
	LeaseDuration = 3.0
	// MaxClockDrift bounds by how much the rates of two clocks differ, as a fraction.
	MaxClockDrift = 0.05
	// ReclaimDelay is after how long a lender may use a loan again itself, in seconds from its last message with it.
	ReclaimDelay = LeaseDuration*(1+MaxClockDrift)/(1-MaxClockDrift) + leaseMargin
	// ReservedShare is the fraction of its even share that a gateway never lends. It can be used from the start of a
	// process, as no earlier process can have lent it.
	ReservedShare = 0.25

	leaseMargin = 0.1 // s
	grantTTL    = 1.0 // s for which SetGrants holds
)

// usesCounter reports whether a customer's quota goes by the counter: this ingress and each other gateway of
// the customer with a recent message trust it. A gateway that doesn't trust it must not be alone among
// gateways that go by totals without its requests.
func (a *Allocator) usesCounter(now Seconds, c *customer) bool {
	if !a.health.trusted {
		return false
	}
	for _, name := range a.peerGateways(c) {
		if p := a.peers[name]; p != nil && now < p.lastContact+reportTTL && !p.counterTrusted {
			return false
		}
	}
	return true
}

// ownShare returns a gateway's own share of a quota and how much of it may be lent, in units a second. Until
// the loans of an earlier process have ended, the share is only what is never lent.
func (a *Allocator) ownShare(now Seconds, c *customer) (share, lendable float64) {
	even := c.evenShare()
	if a.nameLost || now < a.startedAt+ReclaimDelay && !mutants.On("quotashare/promises-forgotten") {
		return even * ReservedShare, 0
	}
	return even, even * (1 - ReservedShare)
}

// grant returns what this ingress may use of a customer's quota while the counter is not trusted, in units a second.
func (a *Allocator) grant(now Seconds, name string, c *customer) float64 {
	rate, _ := a.ownShare(now, c)
	for _, gateway := range a.peerGateways(c) {
		p := a.peers[gateway]
		if p == nil {
			continue
		}
		if !mutants.On("quotashare/give-after-take") {
			rate -= p.maxBelieved(now, name)
		}
		if now < p.borrowedUntil || mutants.On("quotashare/loan-for-ever") {
			rate += p.borrowed[name]
		}
	}
	return max(0, rate)
}

// lentRate returns the most that other gateways may believe to be lent to them, in units a second.
func (a *Allocator) lentRate(now Seconds, name string, c *customer) float64 {
	rate := 0.0
	for _, gateway := range a.peerGateways(c) {
		if p := a.peers[gateway]; p != nil {
			rate += p.maxBelieved(now, name)
		}
	}
	return rate
}

// publishGrants sets the grants by which the decision module admits requests. Where the counter is trusted the module
// goes by its own slices, less what is still lent.
func (a *Allocator) publishGrants(now Seconds) []Action {
	set := SetGrants{Until: now + grantTTL}
	if mutants.On("quotashare/held-for-ever") {
		set.Until = math.Inf(1)
	}
	for _, name := range a.customerNames() {
		c := a.customers[name]
		g := QuotaGrant{Customer: name, Reserved: c.evenShare() * ReservedShare}
		if a.usesCounter(now, c) {
			g.Scaled = true
			g.Rate = 1
			g.Lent = a.lentRate(now, name, c)
			if g.Lent <= 0 {
				continue
			}
		} else {
			g.Rate = a.grant(now, name, c)
		}
		set.Grants = append(set.Grants, g)
	}
	if len(set.Grants) == 0 && !a.grantsPublished {
		return nil
	}
	a.grantsPublished = len(set.Grants) > 0
	return []Action{set}
}
