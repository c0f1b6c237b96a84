package engine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// Engine owns the dispatcher, and with it the gateway and the pending requests.
type Engine struct {
	Log log.Logger // for counts and illegal transitions; nil: no logging. It is set before Start.

	clock     *Clock
	counter   Counter                     // nil: none
	planRates map[string]float64          // units per second by plan of the settings, for the quota sharer
	sharer    atomic.Pointer[QuotaSharer] // nil: quotas are not shared

	mu             sync.Mutex // guards the fields below; released before effects act outside the engine
	dispatcher     *attempt.Dispatcher[*Ticket]
	counts         decisionCounts
	catalogue      Catalogue        // nil: the plans of the settings apply
	catalogueTimer *time.Timer      // for the catalogue's next change; nil: not set yet
	shareExpiresAt decision.Seconds // when this process's share of the ingress expires unless it is set again; 0: never
}

// New returns an engine that owns the gateway; no other code may use the gateway. The settings are those that the
// gateway was created with.
func New(gateway *decision.Gateway, settings *decision.Settings, clock *Clock) *Engine {
	e := &Engine{
		dispatcher: attempt.NewDispatcher[*Ticket](gateway, settings),
		clock:      clock,
		planRates:  map[string]float64{},
	}
	for _, p := range settings.Plans {
		e.planRates[p.Name] = p.Rate
	}
	return e
}

// Start passes the gateway its first event. The counter is nil if the deployment has none.
func (e *Engine) Start(counter Counter) {
	e.counter = counter
	e.handle(decision.Start{})
}

// SetBackends updates the list of backends.
func (e *Engine) SetBackends(update decision.Backends) { e.handle(update) }

// Reconfigure sets the classes and the maximum number of attempts for requests that are submitted from now on. Pending
// requests keep the values that they were submitted with. No request is decided meanwhile.
func (e *Engine) Reconfigure(classes []decision.Class, maxAttempts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.Reconfigure(slices.Clone(classes), maxAttempts)
}

// SetShare sets the fraction of the ingress, from 0 to 1, that this process represents while two processes of the
// ingress run. The share expires after lease seconds unless it is set again: a process that was suspended and resumes
// must not use a share that others have taken over. With a lease of 0 seconds it does not expire. If secondary is true,
// the other process reports this ingress's quota use to the counter.
func (e *Engine) SetShare(share float64, secondary bool, lease decision.Seconds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shareExpiresAt = 0
	if lease > 0 {
		e.shareExpiresAt = e.clock.Now() + lease
	}
	e.dispatcher.SetShare(share, secondary)
}

// HandOver returns the state for another process of this ingress: half of the tokens of the quota buckets, which it
// removes from them, and what the gateway has learned of customers and backends.
func (e *Engine) HandOver() decision.Knowledge {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.HandOver(e.clock.Now())
}

// Restore applies the state that HandOver returned in another process. It returns the number of customers and backends
// whose state it restored.
func (e *Engine) Restore(k decision.Knowledge) (customers, backends int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.Restore(e.clock.Now(), k)
}

// SetGrants sets the quota grants of this ingress for lease seconds. After that, the ingress has only the part of each
// quota that is reserved for it in any case (decision.QuotaGrant.Reserved).
func (e *Engine) SetGrants(grants []decision.QuotaGrant, lease decision.Seconds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.dispatcher.SetGrants(now, grants, now+lease)
}

// SetMembers sets the number of gateways, and the number of gateways through which one customer may send requests.
func (e *Engine) SetMembers(gateways, customerGateways int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetMembers(e.now(), gateways, customerGateways)
}

// ExpectDisruption announces a planned disruption that lasts for the given time. No slow attempt of a request that is
// pending now, or is submitted during the disruption, is cancelled early.
func (e *Engine) ExpectDisruption(seconds decision.Seconds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.ExpectDisruption(e.now() + seconds)
}

// SetZoneRank sets the rank of this gateway, counted from 0, among the peers of its zone.
func (e *Engine) SetZoneRank(rank, peers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetZoneRank(rank, peers)
}

// SetSuspects sets the backends that other gateways consider unhealthy.
func (e *Engine) SetSuspects(backends []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetSuspects(e.now(), backends)
}

// UnhealthyServers returns the backends that this gateway itself considers unhealthy.
func (e *Engine) UnhealthyServers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.UnhealthyServers(e.now())
}

// PoolSize returns the number of listed backends, and how many of these the gateway avoids at the moment because it has
// ejected them or because they rejected work.
func (e *Engine) PoolSize() (listed, avoided int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.PoolSize(e.clock.Now())
}

// Stats returns the gateway's statistics.
func (e *Engine) Stats() decision.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.Stats(e.clock.Now())
}

// now returns the decision module's time. If the lease of the share has expired, it sets the share to 0 and makes this
// process the secondary one (see SetShare). The caller holds the mutex.
func (e *Engine) now() decision.Seconds {
	now := e.clock.Now()
	if e.shareExpiresAt > 0 && now > e.shareExpiresAt {
		e.dispatcher.SetShare(0, true)
	}
	return now
}
