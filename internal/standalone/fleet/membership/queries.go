package membership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// Self returns the description of this process that it publishes.
func (v *View) Self() Member { return v.self }

// Version returns the version of the view. It increases with each change of a member.
func (v *View) Version() uint64 { return v.version }

// Rejected returns how many messages and updates were rejected because they were old, replayed or of unknown members.
func (v *View) Rejected() int { return v.rejected }

// SetIncarnation sets a higher incarnation of this process. It is called once the incarnation is on disk.
func (v *View) SetIncarnation(i Incarnation) {
	v.self.Incarnation = i
	v.raisingIncarnation = false
	v.seq = 0
}

// SetAddr sets the address at which others reach this process.
func (v *View) SetAddr(addr string) { v.self.Addr = addr }

// Reachability returns how much of the fleet is reached at a time, which may be later than the last step's.
func (v *View) Reachability(now Seconds) Reachability {
	r := v.reachability
	if now >= r.Until {
		r.Level = Partitioned
	}
	return r
}

// Members returns all known members by name, this one included.
func (v *View) Members(now Seconds) []Status {
	all := []Status{{Member: v.self, Since: v.startedAt, LastContact: now, Link: LinkBidirectional}}
	for _, p := range v.peers {
		all = append(all, Status{
			Member:      p.member,
			State:       p.publishedState,
			Since:       p.publishedSince,
			Link:        v.evaluateLink(now, p),
			LastContact: p.lastContact,
		})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Changes returns the changes of members after a version of the view. Only the latest maxChanges are available.
func (v *View) Changes(after uint64) []Change {
	i := slices.IndexFunc(v.changes, func(c Change) bool { return c.View > after })
	if i < 0 {
		return nil
	}
	return slices.Clone(v.changes[i:])
}

// AgreedMembers returns the other members of the last agreed membership, sorted by name. They are kept on disk.
func (v *View) AgreedMembers() (all []Member) {
	for _, name := range v.sortedNames(func(p *peer) bool { return p.agreed }) {
		all = append(all, v.peers[name].member)
	}
	return all
}

// Digest returns a hash of the names and incarnations of the members that are alive or suspect. Members with the same
// digest agree on them.
func (v *View) Digest() string {
	alive := map[string]Incarnation{v.self.Name: v.self.Incarnation}
	for name, p := range v.peers {
		if p.isPublishedAlive() {
			alive[name] = p.member.Incarnation
		}
	}
	h := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(alive)) {
		fmt.Fprintf(h, "%q %d %d\n", name, alive[name].Boot, alive[name].Nonce)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Rank returns the position of this process, from 0, among the members that are alive or suspect and not leaving, and
// their number. Members may disagree on the rank, so it may be used to spread load, but not to decide who acts.
func (v *View) Rank() (rank, of int) {
	of = 1
	for name, p := range v.peers {
		if !p.isPublishedAlive() || p.member.Phase == Leaving {
			continue
		}
		of++
		if name < v.self.Name {
			rank++
		}
	}
	return rank, of
}

// isPublishedAlive reports whether a peer is alive or only suspected to be dead.
func (p *peer) isPublishedAlive() bool {
	return p.publishedState == Alive || p.publishedState == Suspect
}

// Addr returns the address of a member; empty if it is not known.
func (v *View) Addr(name string) string {
	if p := v.peers[name]; p != nil {
		return p.member.Addr
	}
	return ""
}

// Isolated reports whether the SWIM protocol knows no other member that is alive.
func (v *View) Isolated() bool {
	return len(v.sortedNames(func(p *peer) bool { return p.protocolState == Alive })) == 0
}
