package engine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// Engine owns the dispatcher, with the gateway and the pending requests.
type Engine struct {
	Log *logrus.Logger // of counts and of illegal steps; nil: none. It is set before Start.

	clock     *Clock
	counter   Counter                     // nil: none
	planRates map[string]float64          // units per second by plan of the settings, for the sharer
	sharer    atomic.Pointer[QuotaSharer] // nil: quotas are not shared

	mu             sync.Mutex // guards what follows; released before effects reach anything outside
	dispatcher     *attempt.Dispatcher[*Ticket]
	counters       counters
	catalogue      Catalogue        // nil: none, plans are those of the settings
	catalogueTimer *time.Timer      // for the catalogue's next change; nil: not set yet
	shareExpires   decision.Seconds // when this process's share of the ingress expires unless it is set again; 0: never
}

// New returns an engine around a gateway that nobody else uses. The settings are the gateway's.
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

// Start gives the gateway its first event. Counter may be nil where the deployment has none.
func (e *Engine) Start(counter Counter) {
	e.counter = counter
	e.handle(decision.Start{})
}

// SetBackends updates the list of backends.
func (e *Engine) SetBackends(update decision.Backends) { e.handle(update) }

// Reconfigure sets the classes and the number of attempts for requests that are submitted from now on. Pending requests
// keep those that they were submitted with. No request is decided meanwhile.
func (e *Engine) Reconfigure(classes []decision.Class, maxAttempts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.Reconfigure(slices.Clone(classes), maxAttempts)
}

// SetShare sets which part of the ingress, from 0 to 1, this process is, for so many seconds: where it has not been
// set again by then, the process was stopped meanwhile, and is no part of it. With 0 seconds it does not expire. A
// secondary process is one whose quota use the other process of the ingress reports to the counter.
func (e *Engine) SetShare(share float64, secondary bool, lease decision.Seconds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shareExpires = 0
	if lease > 0 {
		e.shareExpires = e.clock.Now() + lease
	}
	e.dispatcher.SetShare(share, secondary)
}

// HandOver returns, for another process of this ingress, half of the tokens of the quota buckets, which it takes from
// them, and what the gateway has learned.
func (e *Engine) HandOver() decision.Knowledge {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.HandOver(e.clock.Now())
}

// Restore takes over what HandOver of another process returned, and returns how many customers and backends it was of.
func (e *Engine) Restore(k decision.Knowledge) (customers, backends int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.Restore(e.clock.Now(), k)
}

// SetGrants sets the quota grants of this ingress, for so many seconds: after these it has what it would have without.
func (e *Engine) SetGrants(grants []decision.QuotaGrant, lease decision.Seconds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.dispatcher.SetGrants(now, grants, now+lease)
}

// SetMembers sets how many gateways there are, and how many of them a customer may use.
func (e *Engine) SetMembers(gateways, customerGateways int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetMembers(e.now(), gateways, customerGateways)
}

// ExpectDisruption announces a planned disruption of so many seconds: no slow attempt of a request that is pending
// now or submitted meanwhile is given up early.
func (e *Engine) ExpectDisruption(seconds decision.Seconds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.ExpectDisruption(e.now() + seconds)
}

// SetZoneRank sets the rank of this gateway among the peers of its zone.
func (e *Engine) SetZoneRank(rank, peers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetZoneRank(rank, peers)
}

// SetSuspects sets the backends that other gateways find unhealthy.
func (e *Engine) SetSuspects(backends []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetSuspects(e.now(), backends)
}

// UnhealthyServers returns the backends that this gateway itself finds unhealthy.
func (e *Engine) UnhealthyServers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.UnhealthyServers(e.now())
}

// PoolSize returns how many backends are listed, and how many of these the gateway avoids now.
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

// now returns the decision module's time. A share whose lease has expired becomes none. The mutex is held.
func (e *Engine) now() decision.Seconds {
	now := e.clock.Now()
	if e.shareExpires > 0 && now > e.shareExpires {
		e.dispatcher.SetShare(0, true)
	}
	return now
}
