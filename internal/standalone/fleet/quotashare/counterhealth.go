package quotashare

import (
	"fmt"
	"slices"
	"strings"

	"mulleinrouter/internal/mutants"
)

// The counter is not trusted while it doesn't answer, and for some time after an impossible total: one below what this
// ingress and the other gateways know to have added. Such a total means that the counter was restarted empty or from an
// old state, or that parts of the fleet use different counters.
const (
	maxUnansweredCalls = 4     // in a row
	answerTimeout      = 1.0   // s since the last answer
	answersToTrust     = 3     // in a row, before the counter is trusted again
	initialDistrust    = 8.0   // s after an impossible total, more than a counter cycle; doubled with each further one
	maxDistrust        = 64.0  // s
	distrustResetAfter = 120.0 // s without an impossible total until the next one counts as the first

	relativeTolerance = 2e-5 // of totals, for rounding
	absoluteTolerance = 1e-6 // units, for rounding

	nameTTLFactor        = 0.8  // the counter keeps a name from its first caller's call, which was earlier
	maxNameTTL           = 60.0 // s
	maxCounterNames      = 4096
	maxCallsInFlight     = 16 // of a name
	maxPeersPerName      = 16 // whose totals of a name are remembered
	maxTotalsPerCustomer = 4  // in a report
)

// counterName is what is known of one of the counter's names.
type counterName struct {
	ownTotal   float64            // added by this ingress and acknowledged
	peerTotals map[string]float64 // reported by other gateways
	inFlight   []pendingCall      // in the order of their start
	expiresAt  Seconds            // when the counter may have removed the name
}

// pendingCall is a call of the counter that is not answered yet.
type pendingCall struct {
	amount   float64
	minTotal float64 // known to be in the name when the call started
}

// minTotal returns what the counter must at least have under the name.
func (cn *counterName) minTotal() float64 {
	sum := cn.ownTotal
	for _, t := range cn.peerTotals {
		sum += t
	}
	return sum
}

// counterHealth concludes whether the counter can be trusted.
type counterHealth struct {
	configured bool
	trusted    bool
	reason     string // of the last change
	names      map[string]*counterName

	lastAnswer      Seconds
	unanswered      int // calls since the last answer
	answeredInRow   int
	distrustedUntil Seconds // after an impossible total
	distrustFor     Seconds // by the last one
}

func newCounterHealth(now Seconds, configured bool) counterHealth {
	return counterHealth{
		configured: configured,
		trusted:    configured,
		names:      map[string]*counterName{},
		lastAnswer: now,
	}
}

// callStarted remembers what is known to be in a name when a call starts. What is reported later may have been added
// after the call.
func (ch *counterHealth) callStarted(now Seconds, call CounterCall) {
	n := ch.names[call.Name]
	if n == nil {
		if len(ch.names) >= maxCounterNames || len(call.Name) > maxNameBytes {
			return
		}
		n = &counterName{
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

// distrust sets for how long an impossible total counts. The time grows with each one: where parts of a fleet use
// different counters, totals of names that nobody uses at the other part are plausible again and again.
func (ch *counterHealth) distrust(now Seconds) {
	ch.distrustFor = min(maxDistrust, 2*ch.distrustFor)
	if ch.distrustFor == 0 || now > ch.distrustedUntil+distrustResetAfter {
		ch.distrustFor = initialDistrust
	}
	if !ch.trusted {
		ch.distrustFor = max(initialDistrust, ch.distrustFor/2) // the same incident
	}
	ch.distrustedUntil = max(ch.distrustedUntil, now+ch.distrustFor)
	ch.answeredInRow = 0
}

// recordPeerTotals remembers what another gateway reports to have added.
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

// ownTotals returns what this ingress added to the names of a customer that are in use: the last ones by name.
func (ch *counterHealth) ownTotals(now Seconds, customer string) (all []CounterTotal) {
	for _, name := range sortedKeys(ch.names) {
		n := ch.names[name]
		if strings.HasPrefix(name, customer+"/") && n.ownTotal > 0 && now < n.expiresAt {
			all = append(all, CounterTotal{Name: name, Total: n.ownTotal})
		}
	}
	return all[max(0, len(all)-maxTotalsPerCustomer):]
}

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
