package gossip

import "mulleinrouter/internal/standalone/fleet/membership"

// Self returns the description of this ingress that it publishes.
func (f *Fleet) Self() membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Self()
}

// Left reports whether this process left the fleet, or lost its name to another one.
func (f *Fleet) Left() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left
}

// Reachability returns how much of the fleet this ingress reaches.
func (f *Fleet) Reachability() membership.Reachability {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachability(f.now())
}

// reachability is Reachability for callers that hold the mutex. A process that was suspended and hasn't handled that
// yet counts as partitioned.
func (f *Fleet) reachability(now membership.Seconds) membership.Reachability {
	r := f.view.Reachability(now)
	if f.paused() {
		r.Level = membership.Partitioned
	}
	return r
}

// Rank returns the position of this ingress, from 0, among the members that are alive or suspect and not leaving, and
// their number. See membership.View.Rank.
func (f *Fleet) Rank() (rank, of int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Rank()
}

// AliveMembers returns the names of the other members that are alive or suspected.
func (f *Fleet) AliveMembers() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.view.Members(f.now()) {
		if m.Name != f.options.Name && (m.State == membership.Alive || m.State == membership.Suspect) {
			names = append(names, m.Name)
		}
	}
	return names
}

// MemberNames returns the names of the known ingresses by their index, dead ones included. If several have the same
// index, one that is alive takes precedence.
func (f *Fleet) MemberNames() map[int]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := map[int]string{}
	for _, m := range f.view.Members(f.now()) {
		if names[m.Number] == "" || m.State == membership.Alive {
			names[m.Number] = m.Name
		}
	}
	return names
}

// RestartAllowed reports whether this ingress may be restarted now, which requires that it reaches the complete fleet
// and that no other member is starting, drained or leaving. Two ingresses may both be allowed at the same time, so a
// caller has to restart one before it asks the next.
func (f *Fleet) RestartAllowed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.reachability(now).Level != membership.Complete {
		return false
	}
	for _, m := range f.view.Members(now) {
		if m.Name != f.options.Name && m.State != membership.Left && m.Phase != membership.Serving {
			return false
		}
	}
	return true
}
