package consensus

import (
	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/mutants"
)

// Verdict is the outcome of validating an operator's call against a snapshot. The zero value means that the call must
// be validated again against the next snapshot.
type Verdict struct {
	Included       bool  // the call is part of the proposal, and succeeds once the proposal is chosen
	AlreadyApplied bool  // all items of the call are already chosen, or superseded by chosen ones
	Err            error // the reason why the call is rejected
}

// ValidateFunc validates a call's items against a snapshot of type S. It returns the items that change the snapshot,
// and the snapshot after these changes.
type ValidateFunc[S any] func(snapshot S, call []configuration.Item) (changed []configuration.Item, next S, err error)

// ComposeProposal picks the items of the next proposal from the queued calls, in their order, and returns a verdict
// on each.
//
// A call is included only if it is valid both against the snapshot alone and after the calls included before it.
// Therefore any two nodes with the same snapshot reject the same calls, whatever else is proposed with them, and no
// node rejects a call that another node's proposal includes. Before a rejection is reported, the snapshot must be known
// to be the newest one (Action.Confirmed).
//
// The included items have about maxBytes at most. The first valid call is always included, whatever its size.
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

// sizeOf returns the approximate encoded size of items in bytes.
func sizeOf(items []configuration.Item) (bytes int) {
	for _, item := range items {
		bytes += item.Size()
	}
	return bytes
}
