package quotashare

import (
	"fmt"
	"slices"
	"strings"

	"mulleinrouter/internal/mutants"
)

// The counter is not trusted while it doesn't answer, and for some time after an impossible total, which is one below
// the sum that this ingress and the other gateways have added. An impossible total means that the counter was restarted
// empty or from an old state, or that parts of the fleet use different counters.
const (
	// The counter counts as not answering only if both limits are reached, so that neither a short burst of unanswered
	// calls nor a pause between calls is enough.
	maxUnansweredCalls = 4   // unanswered calls in a row
	answerTimeout      = 1.0 // seconds since the last answer

	answersToTrust = 3 // answers in a row before the counter is trusted again

	// initialDistrust is how long the counter is distrusted after the first impossible total, in seconds. It is longer
	// than a cycle of the counter, after which amounts are added under new names. The time is doubled, up to
	// maxDistrust, each time that the counter returns an impossible total after it was trusted again.
	initialDistrust    = 8.0
	maxDistrust        = 64.0  // longest distrust after an impossible total, seconds
	distrustResetAfter = 120.0 // seconds after the end of a distrust from which an impossible total counts as the first

	relativeTolerance = 2e-5 // fraction of a total, allowed for rounding
	absoluteTolerance = 1e-6 // units, allowed for rounding

	// nameTTLFactor is the fraction of a name's TTL during which its totals are checked. The counter's TTL starts with
	// the first call of any ingress, so the name may expire earlier than the TTL after this ingress's first call.
	nameTTLFactor        = 0.8
	maxNameTTL           = 60.0 // longest time for which a name is tracked, before the factor; seconds
	maxCounterNames      = 4096 // names with state; totals of further names are not checked
	maxCallsInFlight     = 16   // tracked for one name
	maxPeersPerName      = 16   // peers whose totals of a name are remembered
	maxTotalsPerCustomer = 4    // in a report to another gateway
)

// counterNameState is the local state of one name of the counter.
type counterNameState struct {
	ownTotal   float64            // units added by this ingress and acknowledged
	peerTotals map[string]float64 // units reported by other gateways, by gateway
	inFlight   []pendingCall      // calls without an answer, in the order of their start
	expiresAt  Seconds            // when the counter may have removed the name
}

// pendingCall is a call to the counter that is not answered yet.
type pendingCall struct {
	amount   float64 // units to add
	minTotal float64 // units known to have been added to the name when the call started
}

// minTotal returns the lowest total that the counter can have under the name.
func (cn *counterNameState) minTotal() float64 {
	sum := cn.ownTotal
	for _, t := range cn.peerTotals {
		sum += t
	}
	return sum
}

// counterHealth tracks whether the counter can be trusted.
type counterHealth struct {
	configured bool // whether there is a counter
	trusted    bool
	reason     string // reason of the last change; empty if trust was regained
	names      map[string]*counterNameState

	lastAnswer      Seconds
	unanswered      int     // calls since the last answer
	answeredInRow   int     // answered calls since the last unanswered one or impossible total
	distrustedUntil Seconds // end of the distrust after an impossible total
	distrustFor     Seconds // length of the distrust after the last impossible total
}

func newCounterHealth(now Seconds, configured bool) counterHealth {
	return counterHealth{
		configured: configured,
		trusted:    configured,
		names:      map[string]*counterNameState{},
		lastAnswer: now,
	}
}

// callStarted records the lowest possible total of a name at the start of a call. The answer is compared with this
// value, because amounts that are reported later may have been added after the call.
func (ch *counterHealth) callStarted(now Seconds, call CounterCall) {
	n := ch.names[call.Name]
	if n == nil {
		if len(ch.names) >= maxCounterNames || len(call.Name) > maxNameBytes {
			return
		}
		n = &counterNameState{
			peerTotals: map[string]float64{},
			expiresAt:  now + nameTTLFactor*min(maxNameTTL, call.TTL),
		}
		ch.names[call.Name] = n
	}
	if len(n.inFlight) < maxCallsInFlight {
		n.inFlight = append(n.inFlight, pendingCall{amount: call.Amount, minTotal: n.minTotal()})
	}
}

// callAnswered applies the outcome of the oldest call of a name.
func (ch *counterHealth) callAnswered(now Seconds, answer CounterAnswer) (actions []Action) {
	n := ch.names[answer.Name]
	var call pendingCall
	known := n != nil && len(n.inFlight) > 0
	if known {
		call = n.inFlight[0]
		n.inFlight = slices.Delete(n.inFlight, 0, 1)
	}
	if !answer.Answered {
		ch.unanswered++
		ch.answeredInRow = 0
		return nil
	}
	ch.lastAnswer = now
	ch.unanswered = 0
	ch.answeredInRow++
	if !answer.HasTotal || !known {
		return nil
	}
	n.ownTotal += call.amount
	minTotal := call.minTotal + call.amount
	tooLow := answer.Total < minTotal*(1-relativeTolerance)-absoluteTolerance
	if !tooLow || now >= n.expiresAt || mutants.On("quotashare/totals-believed") {
		return nil
	}
	ch.distrust(now)
	reason := fmt.Sprintf("%s has %.7g, at least %.7g were added", answer.Name, answer.Total, minTotal)
	return ch.setTrusted(false, reason)
}

// distrust sets how long the counter is distrusted after an impossible total. The time grows each time that the counter
// was trusted again before, because if parts of a fleet use different counters, the totals of names that only one part
// uses keep looking plausible, so that the counter would be trusted again and again.
func (ch *counterHealth) distrust(now Seconds) {
	ch.distrustFor = min(maxDistrust, 2*ch.distrustFor)
	if ch.distrustFor == 0 || now > ch.distrustedUntil+distrustResetAfter {
		ch.distrustFor = initialDistrust
	}
	if !ch.trusted {
		// It is the same incident, so the doubling is undone. At maxDistrust, where nothing was doubled, this halves
		// the time; distrustedUntil still does not decrease.
		ch.distrustFor = max(initialDistrust, ch.distrustFor/2)
	}
	ch.distrustedUntil = max(ch.distrustedUntil, now+ch.distrustFor)
	ch.answeredInRow = 0
}

// recordPeerTotals records the amounts that another gateway reports to have added.
func (ch *counterHealth) recordPeerTotals(from string, totals []CounterTotal) {
	for _, t := range totals[:min(len(totals), maxTotalsPerCustomer)] {
		n := ch.names[t.Name]
		if n == nil || !isValidRate(t.Total) {
			continue
		}
		if n.peerTotals[from] != 0 || len(n.peerTotals) < maxPeersPerName {
			n.peerTotals[from] = max(n.peerTotals[from], t.Total)
		}
	}
}

// ownTotals returns the amounts that this ingress added to a customer's names that have not expired. If there are too
// many for a report, it returns the last ones in the order of names.
func (ch *counterHealth) ownTotals(now Seconds, customer string) (all []CounterTotal) {
	for _, name := range sortedKeys(ch.names) {
		n := ch.names[name]
		if strings.HasPrefix(name, customer+"/") && n.ownTotal > 0 && now < n.expiresAt {
			all = append(all, CounterTotal{Name: name, Total: n.ownTotal})
		}
	}
	return all[max(0, len(all)-maxTotalsPerCustomer):]
}

// tick forgets expired names. It distrusts a counter that doesn't answer, and trusts one again after answersToTrust
// answers in a row, but not before distrustedUntil.
func (ch *counterHealth) tick(now Seconds) []Action {
	for name, n := range ch.names {
		if now > n.expiresAt {
			delete(ch.names, name)
		}
	}
	switch {
	case !ch.configured:
	case ch.trusted && ch.unanswered >= maxUnansweredCalls && now > ch.lastAnswer+answerTimeout:
		return ch.setTrusted(false, "it does not answer")
	case !ch.trusted && ch.answeredInRow >= answersToTrust && now >= ch.distrustedUntil:
		return ch.setTrusted(true, "")
	}
	return nil
}

func (ch *counterHealth) setTrusted(trusted bool, reason string) []Action {
	if ch.trusted == trusted {
		return nil
	}
	ch.trusted = trusted
	ch.reason = reason
	return []Action{CounterTrustChanged{Trusted: trusted, Reason: reason}}
}
