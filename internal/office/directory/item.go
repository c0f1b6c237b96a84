// Package directory is the configuration as a set of items: each has a name, a version of its own and, where it was dropped,
// a tombstone. Copies merge item by item. It reads the operators' calls, says whether a whole is valid, writes a whole as
// the operators read it back, and is the table by which requests find their route and their tenant. It does no I/O, reads no
// clock and starts no goroutine.
package directory

import "cmp"

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

// Item is one version of an item. Its Body is the JSON object as the operator sent it, without insignificant space; none
// where it was dropped. Bodies are never changed in place.
type Item struct {
	Key     Key    `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Dropped bool   `cbor:"3,keyasint,omitempty"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
	Epoch   uint64 `cbor:"5,keyasint,omitempty"` // the change of the whole that it was chosen with; 0: not chosen yet
}

// Newer tells whether an item takes the place of another of its name: only a higher version does.
func (i Item) Newer(old Item) bool { return i.Version > old.Version }

// Same tells whether two items of one version say the same, however they spell it.
func (i Item) Same(o Item) bool {
	return i.Key == o.Key && i.Version == o.Version && i.Dropped == o.Dropped && says(i.Body, o.Body)
}
