package configuration

import "mulleinrouter/internal/mutants"

// Validate validates items against the snapshot. next is the snapshot with the items merged, and changed are the items
// that change it. Only what the items affect is checked, because the snapshot itself is assumed to be valid.
//
// Errors are *RejectionError. The status is 400 if an item is invalid by itself, even a superseded one, if a route
// names a service that is not in force, or if two routes match the same requests. It is 409 if the content of an item
// differs from that which the current item has, or had before, under the same version.
//
// An item that was once acknowledged is not validated again against the services and routes that are in force now. A
// superseded item that arrives for the first time is validated as if it took effect. It then joins the history of the
// current item, which counts as a change.
func (s *Snapshot) Validate(items []Item) (changed []Item, next *Snapshot, err error) {
	entries := make([]*entry, len(items))
	for n, i := range items {
		if entries[n], err = parseItem(i); err != nil {
			return nil, nil, invalid("%v: %v", i.Key, err)
		}
	}
	next, changed = s.merge(items, entries)
	if err := next.checkContradictions(items); err != nil {
		return nil, nil, err
	}
	if err := next.checkSuperseded(s, entries); err != nil {
		return nil, nil, err
	}
	if err := next.checkReferences(changed); err != nil {
		return nil, nil, err
	}
	return changed, next, nil
}

// checkContradictions rejects items whose content differs from the known content of their versions.
func (s *Snapshot) checkContradictions(items []Item) error {
	for _, i := range items {
		if i.contradicts(s.entry(i.Key).Item) && !mutants.On("configuration/takes-contradiction") {
			return &RejectionError{
				Status: statusConflict,
				Text:   i.Key.String() + ": this version says something else already",
			}
		}
	}
	return nil
}

// checkSuperseded rejects superseded routes that arrive for the first time and could not be in force.
func (s *Snapshot) checkSuperseded(before *Snapshot, entries []*entry) error {
	for _, e := range entries {
		old := before.entry(e.Key)
		if old == nil || e.Version >= old.Version || e.route == nil {
			continue
		}
		if _, _, isNew := old.lookupHistory(e.Version); !isNew && !mutants.On("configuration/judges-overtaken") {
			continue
		}
		if err := s.checkRoute(e.route); err != nil {
			return err
		}
	}
	return nil
}

// checkReferences rejects changes that leave a route without its service, and routes that could not be in force.
func (s *Snapshot) checkReferences(changed []Item) error {
	for _, i := range changed {
		switch updated := s.entry(i.Key); {
		case i.Key.Kind == Services && i.Deleted:
			if n, _ := s.serviceReferences.get(stringKey(i.Key.Name)); n > 0 {
				return invalid("%v: dropped, but routes name it", i.Key)
			}
		case updated.route != nil:
			if err := s.checkRoute(updated.route); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkRoute rejects a route that could not be in force because a service that it names is not in force or because
// another route matches the same requests.
func (s *Snapshot) checkRoute(r *Route) (err error) {
	r.eachService(func(service string) {
		if err == nil && !s.hasService(service) {
			err = invalid("%v: unknown service %.80q", Key{Routes, r.Name}, service)
		}
	})
	if err != nil {
		return err
	}
	for c, _ := s.routesByKey.get(r.key()); c != nil; c = c.next {
		if c.entity.Name != r.Name {
			return invalid("routes %.80q and %.80q: the same host and prefix", c.entity.Name, r.Name)
		}
	}
	return nil
}
