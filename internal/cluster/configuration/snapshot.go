package configuration

import (
	"iter"
	"slices"
)

// Snapshot is a set of items, one of each key, with deleted ones as tombstones. It is immutable: Merge and Validate
// make new ones that share what is unchanged, at a cost that grows with the number of changes and not with the size.
// The nil and the zero Snapshot are empty.
type Snapshot struct {
	items             trie[Key, *entry]
	routesByKey       trie[routeKey, *claim[Route]] // more than one claim only while updates are on their way
	serviceReferences trie[stringKey, int]          // how often routes name a service
	routes            int                           // that are in force
}

// entry is an item, and what was read from its body. Only routes are kept in that form: the snapshot needs it, and a
// RoutingTable has that of the others.
type entry struct {
	Item
	route   *Route
	inForce bool // it is not deleted and can be read
}

// readItem reads an item. The entry is of use even where there is an error.
func readItem(i Item) (*entry, error) {
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

// Get is the item of a key, deleted or not.
func (s *Snapshot) Get(k Key) (Item, bool) {
	if e := s.entry(k); e != nil {
		return e.Item, true
	}
	return Item{}, false
}

// Len is the number of items, deleted ones included.
func (s *Snapshot) Len() int {
	if s == nil {
		return 0
	}
	return s.items.size
}

// All goes through the items, deleted ones included, in an order that depends on the set alone.
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

// Merge is the snapshot with items, and those of them that changed it. For each key the highest version wins; an
// equal or lower one has no effect. Items may come in any order, and through states that are invalid as a whole: the
// result is the same. Where two routes match the same requests, the one of the higher epoch is in force, then that of
// the higher version, then the first by name. An item that can't be read is kept and passed on, but is never in
// force.
func (s *Snapshot) Merge(items []Item) (next *Snapshot, changed []Item) { return s.merge(items, nil) }

// merge is Merge. entries is what was read from the items already, if they come from an operator. Then items that are
// superseded and new join the history of the current ones, which are among the changed items for it.
func (s *Snapshot) merge(items []Item, entries []*entry) (*Snapshot, []Item) {
	next, e, changed := Snapshot{}, new(edit), []Item(nil)
	if s != nil {
		next = *s
	}
	for n, i := range items {
		var read *entry
		if entries != nil {
			read = entries[n]
		}
		old := next.entry(i.Key)
		if now := mergeItem(old, i, read); now != nil {
			next.set(e, old, now)
			changed = append(changed, now.Item)
		}
	}
	if len(changed) == 0 {
		return s, nil
	}
	changed = slices.DeleteFunc(changed, func(i Item) bool { // superseded by another one of them
		now := next.entry(i.Key)
		return i.Version != now.Version || i.History != now.History
	})
	return &next, changed
}

// mergeItem is the entry in place of an old one, which may be nil, after an item is merged; nil: it is unchanged.
// read is what was read from the item, if it comes from an operator.
func mergeItem(old *entry, i Item, read *entry) *entry {
	switch {
	case old == nil || i.NewerThan(old.Item):
		if old != nil && i.History == nil {
			i.History = old.History.with(old.Item)
		}
		if read == nil {
			read, _ = readItem(i)
		}
		read.History = i.History
		return read
	case read != nil && i.Version < old.Version:
		if _, _, isNew := old.lookupHistory(i.Version); !isNew {
			return nil
		}
		current := old.Item
		current.History, current.Epoch = current.History.with(i), i.Epoch
		now, _ := readItem(current)
		return now
	case i.Version == old.Version && i.Epoch >= old.Epoch && i.History.differsFrom(old.History): // it has grown
		now, _ := readItem(i)
		return now
	}
	return nil
}

// set puts an entry in place of an old one, which may be nil.
func (s *Snapshot) set(e *edit, old, now *entry) {
	if old != nil && old.route != nil {
		s.removeRoute(e, old.route)
	}
	s.items = s.items.with(e, now.Key, now)
	if now.route != nil {
		s.addRoute(e, now.route)
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
