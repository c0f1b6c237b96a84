package configuration

import (
	"iter"
	"slices"
)

// Snapshot is a set of items, one for each key, with deleted ones as tombstones. It is immutable: Merge and Validate
// return new snapshots that share what is unchanged, at a cost that grows with the number of changes and not with the
// size of the set. The nil and the zero Snapshot are empty.
type Snapshot struct {
	items             trie[Key, *entry]
	routesByKey       trie[routeKey, *claim[Route]] // several claims on a key only until all updates have arrived
	serviceReferences trie[stringKey, int]          // number of mentions of a service in routes
	routes            int                           // number of routes in force
}

// entry is an item and its parsed body. Only routes are kept parsed, because the snapshot indexes them; a RoutingTable
// has the parsed form of the other kinds.
type entry struct {
	Item
	route   *Route
	inForce bool // the item is not deleted and its body is valid
}

// parseItem parses an item. The entry is usable even if there is an error.
func parseItem(i Item) (*entry, error) {
	e := &entry{Item: i}
	if err := i.Key.checkName(); err != nil {
		return e, err
	}
	if i.Deleted {
		if i.Key.Kind == Limits {
			return e, errLimitsDeleted
		}
		return e, nil
	}
	var err error
	switch i.Key.Kind {
	case Routes:
		var r Route
		if r, err = ParseRoute(i); err == nil {
			e.route = &r
		}
	case Tenants:
		_, err = ParseTenant(i)
	case Services:
		_, err = ParseService(i)
	case Limits:
		_, err = ParseClientLimits(i)
	}
	e.inForce = err == nil
	return e, err
}

// Get returns the item of a key, deleted or not.
func (s *Snapshot) Get(k Key) (Item, bool) {
	if e := s.entry(k); e != nil {
		return e.Item, true
	}
	return Item{}, false
}

// Len returns the number of items, deleted ones included.
func (s *Snapshot) Len() int {
	if s == nil {
		return 0
	}
	return s.items.size
}

// All iterates over the items, deleted ones included, in an order that depends on the set alone.
func (s *Snapshot) All() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		if s != nil {
			s.items.all(func(_ Key, e *entry) bool { return yield(e.Item) })
		}
	}
}

func (s *Snapshot) entry(k Key) *entry {
	if s == nil {
		return nil
	}
	e, _ := s.items.get(k)
	return e
}

// hasService reports whether a service is in force.
func (s *Snapshot) hasService(name string) bool {
	e := s.entry(Key{Services, name})
	return e != nil && e.inForce
}

// Merge returns the snapshot with the items merged, and those of them that changed it. For each key the highest version
// wins; an equal or lower one has no effect. Items may come in any order, and intermediate snapshots may be invalid as
// a whole: the final result is the same. If several routes match the same requests, the route with the highest epoch is
// in force, then the highest version, then the name that sorts first. An item that cannot be parsed is kept and passed
// on, but is never in force.
func (s *Snapshot) Merge(items []Item) (next *Snapshot, changed []Item) { return s.merge(items, nil) }

// merge implements Merge. entries are the parsed items if they come from an operator, and nil otherwise. With entries,
// a superseded item that is new joins the history of the current item, which then counts as changed.
func (s *Snapshot) merge(items []Item, entries []*entry) (*Snapshot, []Item) {
	next, e, changed := Snapshot{}, new(edit), []Item(nil)
	if s != nil {
		next = *s
	}
	for n, i := range items {
		var parsed *entry
		if entries != nil {
			parsed = entries[n]
		}
		old := next.entry(i.Key)
		if merged := mergeItem(old, i, parsed); merged != nil {
			next.set(e, old, merged)
			changed = append(changed, merged.Item)
		}
	}
	if len(changed) == 0 {
		return s, nil
	}
	changed = slices.DeleteFunc(changed, func(i Item) bool { // superseded by another of the items
		current := next.entry(i.Key)
		return i.Version != current.Version || i.History != current.History
	})
	return &next, changed
}

// mergeItem merges an item into the entry of its key, old, which may be nil. It returns the new entry, or nil if
// nothing changes. parsed is the parsed item if it comes from an operator, and nil otherwise.
func mergeItem(old *entry, i Item, parsed *entry) *entry {
	switch {
	case old == nil || i.NewerThan(old.Item):
		if old != nil && i.History == nil {
			i.History = old.History.with(old.Item)
		}
		if parsed == nil {
			parsed, _ = parseItem(i)
		}
		parsed.History = i.History
		return parsed
	case parsed != nil && i.Version < old.Version:
		if _, _, isNew := old.lookupHistory(i.Version); !isNew {
			return nil
		}
		current := old.Item
		current.History, current.Epoch = current.History.with(i), i.Epoch
		updated, _ := parseItem(current)
		return updated
	case i.Version == old.Version && i.Epoch >= old.Epoch && i.History.differsFrom(old.History):
		// The history has grown.
		updated, _ := parseItem(i)
		return updated
	}
	return nil
}

// set replaces old, which may be nil, by an updated entry.
func (s *Snapshot) set(e *edit, old, updated *entry) {
	if old != nil && old.route != nil {
		s.removeRoute(e, old.route)
	}
	s.items = s.items.with(e, updated.Key, updated)
	if updated.route != nil {
		s.addRoute(e, updated.route)
	}
}

func (s *Snapshot) removeRoute(e *edit, r *Route) {
	s.routes--
	s.routesByKey = removeClaim(s.routesByKey, e, r.key(), r)
	r.eachService(func(service string) {
		if n, _ := s.serviceReferences.get(stringKey(service)); n > 1 {
			s.serviceReferences = s.serviceReferences.with(e, stringKey(service), n-1)
		} else {
			s.serviceReferences = s.serviceReferences.without(e, stringKey(service))
		}
	})
}

func (s *Snapshot) addRoute(e *edit, r *Route) {
	s.routes++
	s.routesByKey = addClaim(s.routesByKey, e, r.key(), r)
	r.eachService(func(service string) {
		n, _ := s.serviceReferences.get(stringKey(service))
		s.serviceReferences = s.serviceReferences.with(e, stringKey(service), n+1)
	})
}
