package configuration

import (
	"slices"
	"strings"
)

// RenderJSON returns the answer to GET /config: all items in force, with their bodies as they were sent, in the layout
// of an operator's upsert and sorted by name.
func (s *Snapshot) RenderJSON() []byte {
	const reserve = 64 // bytes for the names of the sections
	var inForce [Limits + 1][]*entry
	size := reserve
	if s != nil {
		s.items.all(func(_ Key, e *entry) bool {
			if e.inForce {
				inForce[e.Key.Kind] = append(inForce[e.Key.Kind], e)
				size += len(e.Key.Name) + len(e.Body) + len(`"":,`)
			}
			return true
		})
	}
	out := append(make([]byte, 0, size), '{')
	for n, kind := range []Kind{Routes, Tenants, Services} {
		if n > 0 {
			out = append(out, ',')
		}
		out = renderSection(out, kind, inForce[kind])
	}
	for _, e := range inForce[Limits] {
		out = append(append(out, `,"limits":`...), e.Body...)
	}
	return append(out, '}')
}

// renderSection appends the section with the items of a kind, sorted by name.
func renderSection(out []byte, kind Kind, entries []*entry) []byte {
	slices.SortFunc(entries, func(a, b *entry) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	out = append(appendQuoted(out, kind.String()), ":{"...)
	for n, e := range entries {
		if n > 0 {
			out = append(out, ',')
		}
		out = append(appendQuoted(out, e.Key.Name), ':')
		out = append(out, e.Body...)
	}
	return append(out, '}')
}
