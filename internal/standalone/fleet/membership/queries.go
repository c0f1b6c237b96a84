package membership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// Self is what this process says of itself.
func (v *View) Self() Member { return v.self }

// Version is that of the view: it grows with each change.
func (v *View) Version() uint64 { return v.version }

// Rejected is how many words were stale, replayed or of nobody known.
func (v *View) Rejected() int { return v.rejected }

// SetIncarnation tells that a higher count is on disk and holds from now on.
func (v *View) SetIncarnation(c Incarnation) {
	v.self.Incarnation, v.raisingIncarnation, v.seq = c, false, 0
}

// Reachability is what this ingress says of itself at a time.
func (v *View) Reachability(now Seconds) Reachability {
	j := v.reachability
	if now >= j.Until {
		j.Level = Partitioned
	}
	return j
}

// Members are all that are known, by name, this process among them.
func (v *View) Members(now Seconds) []Status {
	all := []Status{{Member: v.self, Since: v.startedAt, LastContact: now, Link: LinkBidirectional}}
	for _, p := range v.peers {
		all = append(all, Status{Member: p.member, State: p.publishedState, Since: p.publishedSince, Link: v.evaluateLink(now, p), LastContact: p.lastContact})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Changes are those after a view, as far as they are remembered.
func (v *View) Changes(after uint64) []Change {
	i := slices.IndexFunc(v.changes, func(c Change) bool { return c.View > after })
	if i < 0 {
		return nil
	}
	return slices.Clone(v.changes[i:])
}

// AgreedMembers are the others of the last agreed fleet, by name: what is kept on disk.
func (v *View) AgreedMembers() (all []Member) {
	for _, name := range v.sortedNames(func(p *peer) bool { return p.agreed }) {
		all = append(all, v.peers[name].member)
	}
	return all
}

// Digest stands for who lives under which claim: two members with one digest agree.
func (v *View) Digest() string {
	living := map[string]Incarnation{v.self.Name: v.self.Incarnation}
	for name, p := range v.peers {
		if p.publishedState == Alive || p.publishedState == Suspect {
			living[name] = p.member.Incarnation
		}
	}
	h := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(living)) {
		fmt.Fprintf(h, "%q %d %d\n", name, living[name].Boot, living[name].Nonce)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Rank is this process's place among those that live and serve or start, from 0, and how many they are. It is a hint for
// taking turns, never a proof.
func (v *View) Rank() (rank, of int) {
	of = 1
	for name, p := range v.peers {
		if (p.publishedState == Alive || p.publishedState == Suspect) && p.member.Phase != Leaving {
			of++
			if name < v.self.Name {
				rank++
			}
		}
	}
	return rank, of
}

// SetAddr tells the address that others reach this process at.
func (v *View) SetAddr(addr string) { v.self.Addr = addr }

// Addr is where a member is reached; empty: it is not known.
func (v *View) Addr(name string) string {
	if p := v.peers[name]; p != nil {
		return p.member.Addr
	}
	return ""
}

// Isolated tells whether nobody else is known to live.
func (v *View) Isolated() bool {
	return len(v.sortedNames(func(p *peer) bool { return p.protocolState == Alive })) == 0
}
