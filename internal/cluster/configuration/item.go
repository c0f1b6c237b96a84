package configuration

import (
	"cmp"
	"fmt"
	"strings"
	"unicode/utf8"

	"mulleinrouter/internal/mutants"
)

// Kind is the kind of an item.
type Kind uint8

// The kinds of items. There is a single item of the kind Limits, and its name is empty.
const (
	Routes Kind = iota + 1
	Tenants
	Services
	Limits
)

// sections maps the section names in operators' calls to kinds.
var sections = map[string]Kind{"routes": Routes, "customers": Tenants, "services": Services, "limits": Limits}

// String returns the kind's name in operators' calls.
func (k Kind) String() string {
	for name, kind := range sections {
		if kind == k {
			return name
		}
	}
	return "unknown"
}

// Key identifies an item.
type Key struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

// maxKeyNameBytes bounds the names in keys from other processes, in bytes. It is above the limit for operators' calls.
const maxKeyNameBytes = 4096

// Compare orders keys by kind, then by name.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// Valid reports whether a key from another process has a known kind and a name within the bounds.
func (k Key) Valid() bool {
	return k.Kind >= Routes && k.Kind <= Limits && len(k.Name) <= maxKeyNameBytes
}

// String returns the name of an item in messages to the operator.
func (k Key) String() string {
	if k.Kind == Limits && k.Name == "" {
		return "limits"
	}
	return fmt.Sprintf("%s %.80q", k.Kind, k.Name)
}

// checkName returns an error if the name of an item is invalid. Control characters are rejected, because the names of
// tenants are sent in headers.
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

// Item is one version of a configuration item.
type Item struct {
	Key     Key    `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Deleted bool   `cbor:"3,keyasint,omitempty"`

	// Body is the JSON object as the operator sent it, without insignificant space. A deleted item has none. It is
	// never modified in place.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// Epoch is the epoch of the change in which this version was chosen; 0 means not chosen yet.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// History lists the versions that this one superseded; nil means none, or that the item is not merged yet.
	History *History `cbor:"6,keyasint,omitempty"`
}

// itemOverhead is the approximate number of bytes in an item's encoding in addition to its name and its body.
const itemOverhead = 64

// Size returns the approximate length of the item's encoding in bytes, without its history.
func (i Item) Size() int { return itemOverhead + len(i.Key.Name) + len(i.Body) }

// NewerThan reports whether an item replaces another one with the same key. Only a higher version does.
func (i Item) NewerThan(old Item) bool {
	return i.Version > old.Version || i.Version == old.Version && mutants.On("configuration/equal-wins")
}

// SameContent reports whether two items are the same version with the same content, however their bodies are spelled.
func (i Item) SameContent(o Item) bool {
	return i.Key == o.Key && i.Version == o.Version && i.Deleted == o.Deleted && equalBodies(i.Body, o.Body)
}

// contradicts reports whether the content of an item differs from that which the current item has, or is known to have
// had, under the same version.
func (i Item) contradicts(current Item) bool {
	if i.Version == current.Version {
		return !i.SameContent(current)
	}
	digest, found, _ := current.lookupHistory(i.Version)
	return found && digest != i.digest()
}
