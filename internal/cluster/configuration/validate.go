package configuration

import "mulleinrouter/internal/mutants"

// Validate validates items against the snapshot: next is the snapshot with them, changed are those that change it.
// Only what the items touch is looked at: the snapshot itself is taken for valid.
//
// Errors are *RejectionError. With status 400: an item is invalid by itself, even one that is superseded; a route
// names a service that is not in force; two routes match the same requests. With status 409: an item has other
// content than the current one has, or had before, under the same version.
//
// An item that was acknowledged once is never validated again against the services and routes that are in force now.
// One that is superseded and comes for the first time is, as if it took effect; then it joins the history of the
// current item, which is a change too.
func (s *Snapshot) Validate(items []Item) (changed []Item, next *Snapshot, err error) {
	entries := make([]*entry, len(items))
	for n, i := range items {
		if entries[n], err = readItem(i); err != nil {
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

// checkContradictions rejects items that have other content than is known of their versions.
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

// checkSuperseded rejects routes that are superseded, come for the first time, and could not be in force.
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
		switch now := s.entry(i.Key); {
		case i.Key.Kind == Services && i.Deleted:
			if n, _ := s.serviceReferences.get(stringKey(i.Key.Name)); n > 0 {
				return invalid("%v: dropped, but routes name it", i.Key)
			}
		case now.route != nil:
			if err := s.checkRoute(now.route); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkRoute rejects a route that could not be in force: a service that it names is not, or another route matches the
// same requests.
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
		if c.by.Name != r.Name {
			return invalid("routes %.80q and %.80q: the same host and prefix", c.by.Name, r.Name)
		}
	}
	return nil
}
