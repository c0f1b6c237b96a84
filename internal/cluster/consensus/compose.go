package consensus

import (
	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/mutants"
)

// Verdict is the outcome of validating an operator's call against a snapshot. The zero value means that the call must
// be validated again upon the next snapshot.
type Verdict struct {
	Included       bool  // it is part of the proposal, and succeeds once that is chosen
	AlreadyApplied bool  // all of it is chosen already, or superseded by what is
	Err            error // it is rejected
}

// ValidateFunc validates a call's items against a snapshot of type S. It returns those that change the snapshot, and
// the snapshot with them.
type ValidateFunc[S any] func(snapshot S, call []configuration.Item) (changed []configuration.Item, next S, err error)

// ComposeProposal picks the items of the next proposal from the queued calls, in their order, and returns a verdict
// on each.
//
// A call is included only if it is valid both against the snapshot alone and behind the calls included before it. So
// any two nodes with the same snapshot reject the same calls, whatever else is proposed with them, and none rejects
// what another node's proposal still includes. Before a rejection is reported, the snapshot must be known to be the
// newest one (Action.Confirmed).
//
// At most about maxBytes of items are included, but always the first valid call.
func ComposeProposal[S any](
	snapshot S, calls [][]configuration.Item, maxBytes int, validate ValidateFunc[S],
) (items []configuration.Item, verdicts []Verdict) {
	verdicts = make([]Verdict, len(calls))
	composed, size := snapshot, 0
	for n, call := range calls {
		changed, next, err := validate(snapshot, call)
		if mutants.On("consensus/composes-together") {
			changed, next, err = validate(composed, call)
		}
		switch {
		case err != nil:
			verdicts[n].Err = err
			continue
		case len(changed) == 0:
			verdicts[n].AlreadyApplied = true
			continue
		}
		callSize := sizeOf(changed)
		if size > 0 && !mutants.On("consensus/composes-blind") {
			if size+callSize > maxBytes {
				continue
			}
			if changed, next, err = validate(composed, call); err != nil {
				continue
			}
		}
		composed, size = next, size+callSize
		items = append(items, changed...)
		verdicts[n].Included = true
	}
	return items, verdicts
}

// sizeOf is about how many bytes items have when they are encoded.
func sizeOf(items []configuration.Item) (bytes int) {
	for _, item := range items {
		bytes += item.Size()
	}
	return bytes
}
