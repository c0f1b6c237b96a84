package configuration

import (
	"cmp"
	"slices"

	"mulleinrouter/internal/mutants"
)

// History lists acknowledged versions of an item that a higher version has superseded, the highest first. A superseded
// version may have arrived before or after the higher one. The history makes it possible to tell a repeated call from a
// different call under the same version. It is never modified in place.
type History []HistoricVersion

// HistoricVersion is one superseded version.
type HistoricVersion struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  uint64 // hash of the item's content, see Item.digest
}

// maxHistory is the number of superseded versions that are kept of an item; the lowest ones are dropped. A call
// with a dropped version is accepted without a comparison of its content. A client that repeats a call only after this
// many other changes of the item has waited for minutes.
const maxHistory = 16

// find returns the index of a version in the history, or the index at which it would be inserted.
func (h History) find(version uint64) (index int, found bool) {
	return slices.BinarySearchFunc(h, version, func(v HistoricVersion, version uint64) int {
		return cmp.Compare(version, v.Version)
	})
}

// lookupHistory returns the digest of a superseded version if the history has it. If not, isNew reports whether the
// version has never arrived, because otherwise the history would still have it. A version that is neither found nor new
// is older than all that the history keeps, so it may have arrived or not.
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

// with returns the history with the version of an item added. The version must not be in the history yet.
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

// differsFrom reports whether a history is not nil and differs from another one.
func (h *History) differsFrom(o *History) bool {
	return h != nil && (o == nil || !slices.Equal(*h, *o))
}
