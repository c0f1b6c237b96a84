package consensus

import (
	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/mutants"
)

// Verdict is what becomes of a call of an operator upon a snapshot.
type Verdict struct {
	Included       bool  // it goes with the proposal, and is taken once that is chosen
	AlreadyApplied bool  // all of it is chosen already, or overtaken by what is
	Err            error // it is refused
} // none of them: it is to be looked at again upon the next snapshot

// ComposeProposal picks the items of the next proposal from calls that wait, in their order. A call goes in only if
// it is valid both upon the whole by itself and behind those before it: any two nodes with the same snapshot refuse
// the same calls, whatever they are chosen with, and so none refuses what another one's proposal still brings. Where
// a call is refused, the snapshot must be known to be the newest (Action.Sure) before that is said. Most is how many
// bytes of items may go in, about; the first one always may.
func ComposeProposal[W any](whole W, calls [][]configuration.Item, most int, check func(W, []configuration.Item) ([]configuration.Item, W, error)) (items []configuration.Item, verdicts []Verdict) {
	verdicts = make([]Verdict, len(calls))
	next, size := whole, 0
	for n, call := range calls {
		changed, alone, err := check(whole, call)
		if mutants.On("consensus/composes-together") {
			changed, alone, err = check(next, call)
		}
		switch {
		case err != nil:
			verdicts[n].Err = err
			continue
		case len(changed) == 0:
			verdicts[n].AlreadyApplied = true
			continue
		}
		bytes := 0
		for _, i := range changed {
			bytes += i.Size()
		}
		if size > 0 && !mutants.On("consensus/composes-blind") {
			if size+bytes > most {
				continue
			}
			if changed, alone, err = check(next, call); err != nil {
				continue
			}
		}
		next, size = alone, size+bytes
		items = append(items, changed...)
		verdicts[n].Included = true
	}
	return items, verdicts
}
