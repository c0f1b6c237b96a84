package quotashare

import (
	"math"

	"mulleinrouter/internal/mutants"
)

const (
	// LeaseDuration is how long a borrower may use a loan, in seconds. The lease starts when the borrower sent the
	// message that the lender acknowledges in the message with the loan.
	LeaseDuration = 3.0
	// MaxClockDrift is the maximum drift of a clock against real time, as a fraction.
	MaxClockDrift = 0.05
	// ReclaimDelay is the time after its last message with a loan until a lender may use the loan itself again, in
	// seconds. It is longer than LeaseDuration, in case the borrower's clock is slow and the lender's is fast.
	ReclaimDelay = LeaseDuration*(1+MaxClockDrift)/(1-MaxClockDrift) + leaseMargin
	// ReservedShare is the fraction of its even share that a gateway never lends. A process can use it from its start,
	// because no earlier process can have lent it.
	ReservedShare = 0.25

	leaseMargin = 0.1 // extra wait beyond clock drift before a lender reclaims a loan, seconds
	grantTTL    = 1.0 // seconds for which SetGrants is valid, so that a suspended process doesn't use old grants
)

// usesCounter reports whether a customer's quota is enforced by the counter. That is the case if this ingress and each
// other gateway of the customer with a recent message trust the counter. As long as one gateway distrusts it, all use
// grants, because the totals of the counter lack the requests of that gateway.
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

// ownShare returns this gateway's own share of a quota and how much of it may be lent, in units a second. Until the
// loans of an earlier process of this ingress have ended, and after NameLost, the share is only the part that is never
// lent.
func (a *Allocator) ownShare(now Seconds, c *customer) (share, lendable float64) {
	even := c.evenShare()
	if a.nameLost || now < a.startedAt+ReclaimDelay && !mutants.On("quotashare/promises-forgotten") {
		return even * ReservedShare, 0
	}
	return even, even * (1 - ReservedShare)
}

// grant returns the part of a customer's quota that this ingress may use while the counter is not trusted, in units a
// second.
func (a *Allocator) grant(now Seconds, name string, c *customer) float64 {
	rate, _ := a.ownShare(now, c)
	for _, gateway := range a.peerGateways(c) {
		p := a.peers[gateway]
		if p == nil {
			continue
		}
		if !mutants.On("quotashare/give-after-take") {
			rate -= p.maxUsableLoan(now, name)
		}
		if now < p.borrowedUntil || mutants.On("quotashare/loan-for-ever") {
			rate += p.borrowed[name]
		}
	}
	return max(0, rate)
}

// lentRate returns the sum of the loans that other gateways may still use, in units a second.
func (a *Allocator) lentRate(now Seconds, name string, c *customer) float64 {
	rate := 0.0
	for _, gateway := range a.peerGateways(c) {
		if p := a.peers[gateway]; p != nil {
			rate += p.maxUsableLoan(now, name)
		}
	}
	return rate
}

// publishGrants sets the grants by which the decision module admits requests. If a customer's quota is enforced by the
// counter, the module uses its own slices of the quota, less the loans that other gateways may still use.
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
