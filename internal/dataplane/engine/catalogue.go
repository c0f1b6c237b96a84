package engine

import (
	"time"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// maxCatalogueWait bounds the timer for a change of terms, in seconds, because the clock's source may be corrected
// while the timer runs.
const maxCatalogueWait decision.Seconds = 60

// Catalogue provides the terms of customers if plans can change while the ingress runs; plans.State implements it. The
// engine calls it under its mutex, so that no request is decided by terms that a change has already replaced.
type Catalogue interface {
	// Terms returns the terms of a member whose client names a plan; nil: the terms of the settings apply.
	Terms(member, plan string, now decision.Seconds) *decision.Terms
	// Due returns the terms that have changed since the last call and that the decision module needs.
	Due(now decision.Seconds) []decision.Terms
	// Next returns the time of the next known change of terms; 0: no change is known.
	Next(now decision.Seconds) decision.Seconds
	// InForce returns the number of the revision in force; 0: none.
	InForce(now decision.Seconds) uint64
}

// SetCatalogue calls change, uses the catalogue that it returns from now on, and applies the terms that have changed.
// No request is decided meanwhile.
func (e *Engine) SetCatalogue(change func(now decision.Seconds) Catalogue) {
	e.mu.Lock()
	e.catalogue = change(e.clock.Now())
	external := e.applyCatalogue()
	e.mu.Unlock()
	e.carryOut(external)
}

// refreshCatalogue applies the terms that have changed when the catalogue's timer fires.
func (e *Engine) refreshCatalogue() {
	e.mu.Lock()
	external := e.applyCatalogue()
	e.mu.Unlock()
	e.carryOut(external)
}

// applyCatalogue passes changed terms to the decision module and sets the timer for the next change. The caller holds
// the mutex, and carries out the returned effects after releasing it.
func (e *Engine) applyCatalogue() (external []attempt.Effect) {
	if e.catalogue == nil {
		return nil
	}
	now := e.clock.Now()
	for _, terms := range e.catalogue.Due(now) {
		external = append(external, e.deliver(e.dispatcher.Handle(now, terms))...)
	}
	if e.catalogueTimer != nil {
		e.catalogueTimer.Stop()
	}
	if next := e.catalogue.Next(now); next > 0 {
		e.catalogueTimer = time.AfterFunc(duration(min(next-now, maxCatalogueWait)), e.refreshCatalogue)
	}
	return external
}
