package configuration

import (
	"errors"
	"iter"
	"slices"
	"strings"

	"mulleinrouter/internal/mutants"
)

// Snapshot is a set of items, one to a name, with the dropped ones as tombstones. It is immutable: Merge and Check
// make new ones that share what is unchanged, at a cost that goes with the number of changes and not with the size.
// The nil and the zero Snapshot are empty.
type Snapshot struct {
	items             trie[Key, *entry]
	routesByKey       trie[routeKey, *claim[Route]] // who stands where; more than one only while news is on its way
	serviceReferences trie[word, int]               // how often routes name a service
	routes            int                           // that stand and can be read
}

// entry is an item, and what was read in it. Only routes keep their form: the snapshot needs it, and a table has
// those of the others.
type entry struct {
	Item
	route *Route
	valid bool // it stands and can be read
}

// claim is a list of those who claim one thing: the first has it, and as it lets go the next one does.
type claim[T any] struct {
	of   *T
	next *claim[T]
}

type claimant[T any] interface {
	*T
	takesPrecedenceOver(*T) bool
}

func claimed[T any, P claimant[T]](c *claim[T], x P) *claim[T] {
	if c == nil || x.takesPrecedenceOver(c.of) {
		return &claim[T]{x, c}
	}
	return &claim[T]{c.of, claimed(c.next, x)}
}

func (c *claim[T]) without(x *T) *claim[T] {
	switch {
	case c == nil:
		return nil
	case c.of == x:
		return c.next
	}
	return &claim[T]{c.of, c.next.without(x)}
}

// claims puts one more claim into an index, and unclaimed takes it out of there.
func claims[K hashed, T any, P claimant[T]](t trie[K, *claim[T]], e *edit, k K, x P) trie[K, *claim[T]] {
	c, _ := t.get(k)
	return t.with(e, k, claimed(c, x))
}

func unclaimed[K hashed, T any](t trie[K, *claim[T]], e *edit, k K, x *T) trie[K, *claim[T]] {
	c, _ := t.get(k)
	if c = c.without(x); c != nil {
		return t.with(e, k, c)
	}
	return t.without(e, k)
}

// Get is the item of that name, dropped or not.
func (b *Snapshot) Get(k Key) (Item, bool) {
	if e := b.entry(k); e != nil {
		return e.Item, true
	}
	return Item{}, false
}

// Len is the number of items, dropped ones included.
func (b *Snapshot) Len() int {
	if b == nil {
		return 0
	}
	return b.items.size
}

// All goes through the items, dropped ones included, in an order that the set alone decides.
func (b *Snapshot) All() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		if b != nil {
			b.items.all(func(_ Key, e *entry) bool { return yield(e.Item) })
		}
	}
}

func (b *Snapshot) entry(k Key) *entry {
	if b == nil {
		return nil
	}
	e, _ := b.items.get(k)
	return e
}

// serves tells whether a service stands.
func (b *Snapshot) serves(name string) bool {
	e := b.entry(Key{Services, name})
	return e != nil && e.valid
}

// Merge is the snapshot with these items, and those of them that changed it. For each name the highest version holds;
// an equal or lower one has no effect. It takes items in any order, through states that are invalid as a whole, and
// ends in the same snapshot: where two routes claim one place, the one of the higher epoch has it, then that of the
// higher version, then the first by name. An item that cannot be read is kept and passed on, but it never takes
// effect.
func (b *Snapshot) Merge(items []Item) (next *Snapshot, changed []Item) { return b.merge(items, nil) }

// merge is Merge. Read holds what was read in the items already, where they come from an operator: then those that
// are overtaken and were never told of join the past of the ones that stand, and these are what changed.
func (b *Snapshot) merge(items []Item, read []*entry) (*Snapshot, []Item) {
	next, e, changed := Snapshot{}, new(edit), []Item(nil)
	if b != nil {
		next = *b
	}
	for n, i := range items {
		old, now := next.entry(i.Key), (*entry)(nil)
		switch {
		case old == nil || i.NewerThan(old.Item):
			if old != nil && i.History == nil {
				i.History = old.History.with(old.Item)
			}
			if read != nil {
				now = read[n]
				now.History = i.History
			} else {
				now, _ = readItem(i)
			}
		case read != nil && i.Version < old.Version:
			if _, _, isNew := old.lookupHistory(i.Version); !isNew {
				continue
			}
			stands := old.Item
			stands.History, stands.Epoch = stands.History.with(i), i.Epoch
			now, _ = readItem(stands)
		case i.Version == old.Version && i.Epoch >= old.Epoch && i.History.differsFrom(old.History): // its past has grown
			now, _ = readItem(i)
		default:
			continue
		}
		next.set(e, old, now)
		changed = append(changed, now.Item)
	}
	if len(changed) == 0 {
		return b, nil
	}
	changed = slices.DeleteFunc(changed, func(i Item) bool { // overtaken by another of them
		now := next.entry(i.Key)
		return i.Version != now.Version || i.History != now.History
	})
	return &next, changed
}

// set puts an entry in the place of another, which may be none.
func (b *Snapshot) set(e *edit, old, now *entry) {
	if old != nil && old.route != nil {
		b.routes--
		b.routesByKey = unclaimed(b.routesByKey, e, old.route.key(), old.route)
		old.route.names(func(service string) {
			if n, _ := b.serviceReferences.get(word(service)); n > 1 {
				b.serviceReferences = b.serviceReferences.with(e, word(service), n-1)
			} else {
				b.serviceReferences = b.serviceReferences.without(e, word(service))
			}
		})
	}
	b.items = b.items.with(e, now.Key, now)
	if now.route != nil {
		b.routes++
		b.routesByKey = claims(b.routesByKey, e, now.route.key(), now.route)
		now.route.names(func(service string) {
			n, _ := b.serviceReferences.get(word(service))
			b.serviceReferences = b.serviceReferences.with(e, word(service), n+1)
		})
	}
}

// readItem reads an item. The entry is of use even where there is an error.
func readItem(i Item) (*entry, error) {
	e := &entry{Item: i}
	err := checkName(i.Key)
	switch {
	case err != nil:
	case i.Deleted && i.Key.Kind == Limits:
		err = errors.New("cannot be dropped")
	case i.Deleted:
		return e, nil
	case i.Key.Kind == Routes:
		var r Route
		if r, err = ParseRoute(i); err == nil {
			e.route = &r
		}
	case i.Key.Kind == Tenants:
		_, err = ParseTenant(i)
	case i.Key.Kind == Services:
		_, err = ParseService(i)
	case i.Key.Kind == Limits:
		_, err = ParseClientLimits(i)
	}
	e.valid = err == nil
	return e, err
}

// Validate tells what the snapshot would be with these items, and whether it may be: next is the snapshot with them,
// changed are those that change it. Errors are *Refusal: with 400, where an item is invalid by itself (even one that
// is too old to have an effect), where a route names a service that does not stand, or where two routes stand at one
// place; with 409, where an item says something else than what stands or was taken before under the same version. An
// item that was taken once is never judged anew: neither by the services that stand now nor by its place. One that is
// overtaken and comes for the first time is, as it would be if it took effect; then the past of the one that stands
// holds it, which is a change too. Only what the items touch is looked at: a snapshot that stands is taken for valid.
func (b *Snapshot) Validate(items []Item) (changed []Item, next *Snapshot, err error) {
	read := make([]*entry, len(items))
	for n, i := range items {
		if read[n], err = readItem(i); err != nil {
			return nil, nil, invalid("%v: %v", i.Key, err)
		}
	}
	next, changed = b.merge(items, read)
	for _, i := range items {
		if i.contradicts(next.entry(i.Key).Item) && !mutants.On("configuration/takes-contradiction") {
			return nil, nil, &RejectionError{Status: 409, Text: i.Key.String() + ": this version says something else already"}
		}
	}
	for n, i := range items {
		old := b.entry(i.Key)
		if old == nil || i.Version >= old.Version || read[n].route == nil {
			continue
		}
		if _, _, isNew := old.lookupHistory(i.Version); isNew || mutants.On("configuration/judges-overtaken") {
			if err := next.checkRoute(read[n].route); err != nil {
				return nil, nil, err
			}
		}
	}
	for _, i := range changed {
		switch now := next.entry(i.Key); {
		case i.Key.Kind == Services && i.Deleted:
			if n, _ := next.serviceReferences.get(word(i.Key.Name)); n > 0 {
				return nil, nil, invalid("%v: dropped, but routes name it", i.Key)
			}
		case now.route != nil:
			if err := next.checkRoute(now.route); err != nil {
				return nil, nil, err
			}
		}
	}
	return changed, next, nil
}

// checkRoute tells whether a route could stand: the services that it names do, and no other has its place.
func (b *Snapshot) checkRoute(r *Route) (err error) {
	r.names(func(service string) {
		if err == nil && !b.serves(service) {
			err = invalid("%v: unknown service %.80q", Key{Routes, r.Name}, service)
		}
	})
	if err != nil {
		return err
	}
	for c, _ := b.routesByKey.get(r.key()); c != nil; c = c.next {
		if c.of.Name != r.Name {
			return invalid("routes %.80q and %.80q: the same host and prefix", c.of.Name, r.Name)
		}
	}
	return nil
}

// RenderJSON is the answer to GET /config: all items that stand, their bodies as they were sent, laid out as the
// operator lays out upsert and sorted by name.
func (b *Snapshot) RenderJSON() []byte {
	var stand [Limits + 1][]*entry
	size := 64
	if b != nil {
		b.items.all(func(_ Key, e *entry) bool {
			if e.valid {
				stand[e.Key.Kind] = append(stand[e.Key.Kind], e)
				size += len(e.Key.Name) + len(e.Body) + 4
			}
			return true
		})
	}
	out := make([]byte, 0, size)
	for n, kind := range []Kind{Routes, Tenants, Services} {
		slices.SortFunc(stand[kind], func(a, b *entry) int { return strings.Compare(a.Key.Name, b.Key.Name) })
		out = append(out, "{,,"[n])
		out = append(quoted(out, kind.String()), ":{"...)
		for n, e := range stand[kind] {
			if n > 0 {
				out = append(out, ',')
			}
			out = append(append(quoted(out, e.Key.Name), ':'), e.Body...)
		}
		out = append(out, '}')
	}
	for _, e := range stand[Limits] {
		out = append(append(out, `,"limits":`...), e.Body...)
	}
	return append(out, '}')
}
