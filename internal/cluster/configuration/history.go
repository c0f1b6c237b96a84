package configuration

import (
	"cmp"
	"slices"

	"mulleinrouter/internal/mutants"
)

// History is what is kept of acknowledged versions of an item that a higher one has superseded, whether they came
// before or after it: enough to tell a call that is sent again from another one under the same version. The highest
// version comes first. It is never changed in place.
type History []HistoricVersion

// HistoricVersion is one superseded version.
type HistoricVersion struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  uint64 // of the item's content, see Item.digest
}

// maxHistory is how many versions of an item are kept, the highest. A client that sends again after as many other
// changes of one item has waited for minutes.
const maxHistory = 16

// find is where a version is in the history, or would be inserted.
func (h History) find(version uint64) (index int, found bool) {
	return slices.BinarySearchFunc(h, version, func(v HistoricVersion, version uint64) int {
		return cmp.Compare(version, v.Version)
	})
}

// lookupHistory is the digest of a superseded version, if it is found. Where it is not, isNew tells whether it never
// came: the history would still have it otherwise. A version that is neither found nor new is too old, and nothing is
// known about it.
func (i Item) lookupHistory(version uint64) (digest uint64, found, isNew bool) {
	if i.History == nil || mutants.On("configuration/forgets-past") {
		return 0, false, !mutants.On("configuration/forgets-past")
	}
	history := *i.History
	n, found := history.find(version)
	if found {
		return history[n].Digest, true, false
	}
	return 0, false, n < maxHistory
}

// with is the history with one more version.
func (h *History) with(i Item) *History {
	var history History
	if h != nil {
		history = slices.Clone(*h)
	}
	n, _ := history.find(i.Version)
	history = slices.Insert(history, n, HistoricVersion{Version: i.Version, Digest: i.digest()})
	history = history[:min(len(history), maxHistory)]
	return &history
}

// differsFrom reports whether a history has something that another one lacks or contradicts.
func (h *History) differsFrom(o *History) bool {
	return h != nil && (o == nil || !slices.Equal(*h, *o))
}
