package configuration

import (
	"cmp"
	"fmt"
	"strings"
	"unicode/utf8"

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

// sections are the kinds by the names that the operators' calls have for them.
var sections = map[string]Kind{"routes": Routes, "customers": Tenants, "services": Services, "limits": Limits}

// String is the kind's name in the operators' calls.
func (k Kind) String() string {
	for name, kind := range sections {
		if kind == k {
			return name
		}
	}
	return "unknown"
}

// Key names an item.
type Key struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

// maxKeyNameBytes bounds the names in keys from other processes: above what any operator's call may have.
const maxKeyNameBytes = 4096

// Compare orders keys by kind, then by name.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// Valid reports whether a key from another process can be one at all.
func (k Key) Valid() bool {
	return k.Kind >= Routes && k.Kind <= Limits && len(k.Name) <= maxKeyNameBytes
}

// String is how messages to the operator name an item.
func (k Key) String() string {
	if k.Kind == Limits && k.Name == "" {
		return "limits"
	}
	return fmt.Sprintf("%s %.80q", k.Kind, k.Name)
}

// checkName reports what is wrong with the name of an item. Control characters are rejected: the names of tenants go
// into headers.
func (k Key) checkName() error {
	switch {
	case k.Kind == Limits && k.Name != "":
		return errLimitsNamed
	case k.Kind == Limits:
		return nil
	case k.Kind < Routes || k.Kind > Limits:
		return errKindUnknown
	case k.Name == "" || len(k.Name) > MaxNameBytes:
		return errNameLength
	case !utf8.ValidString(k.Name) || strings.ContainsFunc(k.Name, isControl):
		return errNameCharacters
	}
	return nil
}

func isControl(c rune) bool { return c < ' ' || c == 0x7f }

// Item is one version of an item.
type Item struct {
	Key     Key    `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Deleted bool   `cbor:"3,keyasint,omitempty"`

	// Body is the JSON object as the operator sent it, without insignificant space; none where the item is deleted. It
	// is never changed in place.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// Epoch is that of the change with which the item was chosen; 0: it is not chosen yet.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// History is the versions that this one superseded; nil: none, or it is not merged yet.
	History *History `cbor:"6,keyasint,omitempty"`
}

// itemOverhead is about how many bytes an item's encoding has beside its name and its body.
const itemOverhead = 64

// Size is about how many bytes the item's encoding has, without its history.
func (i Item) Size() int { return itemOverhead + len(i.Key.Name) + len(i.Body) }

// NewerThan reports whether an item replaces another one of its key: only a higher version does.
func (i Item) NewerThan(old Item) bool {
	return i.Version > old.Version || i.Version == old.Version && mutants.On("configuration/equal-wins")
}

// SameContent reports whether two items are the same version with the same content, however their bodies are spelled.
func (i Item) SameContent(o Item) bool {
	return i.Key == o.Key && i.Version == o.Version && i.Deleted == o.Deleted && equalBodies(i.Body, o.Body)
}

// contradicts reports whether an item has other content than the current one has, or is known to have had, under the
// same version.
func (i Item) contradicts(current Item) bool {
	if i.Version == current.Version {
		return !i.SameContent(current)
	}
	digest, found, _ := current.lookupHistory(i.Version)
	return found && digest != i.digest()
}
