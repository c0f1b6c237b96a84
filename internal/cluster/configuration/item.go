package configuration

import (
	"cmp"
	"slices"

	"mulleinrouter/internal/mutants"
)

// Kind is a kind of items.
type Kind uint8

// The kinds. Limits is a single item, whose name is empty.
const (
	Routes Kind = iota + 1
	Tenants
	Services
	Limits
)

// Key names an item.
type Key struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

// Compare orders keys.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// Item is one version of an item. Its Body is the JSON object as the operator sent it, without insignificant space;
// none where it was dropped. Bodies are never changed in place.
type Item struct {
	Key     Key      `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"`
	Deleted bool     `cbor:"3,keyasint,omitempty"`
	Body    []byte   `cbor:"4,keyasint,omitempty"`
	Epoch   uint64   `cbor:"5,keyasint,omitempty"` // the change of the snapshot that it was chosen with; 0: not chosen yet
	History *History `cbor:"6,keyasint,omitempty"` // versions that it overtook, the highest first; nil: none, or it does not stand yet
}

// History is what is kept of versions that an operator was told are taken and that a higher one overtook, before they
// came or after: enough to tell an order that is sent again from another one under the same number. It is never
// changed in place.
type History []HistoricVersion

// HistoricVersion is one of them.
type HistoricVersion struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  uint64 // of what it said
}

// maxHistory is how many versions of an item are kept, the highest: who sends again after as many others has waited
// for minutes.
const maxHistory = 16

// lookupHistory tells what a version said that is overtaken. Where it is neither found nor new, it is too old:
// nothing is lookupHistory of it.
func (i Item) lookupHistory(version uint64) (sum uint64, found, isNew bool) {
	if i.History == nil || mutants.On("configuration/forgets-past") {
		return 0, false, !mutants.On("configuration/forgets-past")
	}
	past := *i.History
	n, found := slices.BinarySearchFunc(past, version, func(p HistoricVersion, v uint64) int { return cmp.Compare(v, p.Version) })
	if found {
		return past[n].Digest, true, false
	}
	return 0, false, n < maxHistory
}

// with is the past with one more version in it.
func (p *History) with(i Item) *History {
	var past History
	if p != nil {
		past = slices.Clone(*p)
	}
	n, _ := slices.BinarySearchFunc(past, i.Version, func(p HistoricVersion, v uint64) int { return cmp.Compare(v, p.Version) })
	past = slices.Insert(past, n, HistoricVersion{Version: i.Version, Digest: i.digest()})
	past = past[:min(len(past), maxHistory)]
	return &past
}

// differsFrom tells whether one past tells something else than another.
func (p *History) differsFrom(o *History) bool {
	return p != nil && (o == nil || !slices.Equal(*p, *o))
}

// contradicts tells whether an item says something else than one that stands says, or is known to have been said,
// under the same version.
func (i Item) contradicts(stands Item) bool {
	if i.Version == stands.Version {
		return !i.SameContent(stands)
	}
	sum, found, _ := stands.lookupHistory(i.Version)
	return found && sum != i.digest()
}

// NewerThan tells whether an item takes the place of another of its name: only a higher version does.
func (i Item) NewerThan(old Item) bool {
	return i.Version > old.Version || i.Version == old.Version && mutants.On("configuration/equal-wins")
}

// maxKeyNameBytes is how long a name may be, in bytes.
const maxKeyNameBytes = 4096

// Valid tells whether a key that another process told of can be one at all.
func (k Key) Valid() bool {
	return k.Kind >= Routes && k.Kind <= Limits && len(k.Name) <= maxKeyNameBytes
}

// Size is the bytes of an item on its way, about, without its past.
func (i Item) Size() int { return 64 + len(i.Key.Name) + len(i.Body) }

// SameContent tells whether two items of one version say the same, however they spell it.
func (i Item) SameContent(o Item) bool {
	return i.Key == o.Key && i.Version == o.Version && i.Deleted == o.Deleted && equalBodies(i.Body, o.Body)
}
