package gossip

import "mulleinrouter/internal/standalone/fleet/membership"

// Report is what an ingress tells of its fleet, as JSON. Spans are in ms from now.
type Report struct {
	Fleet        string         `json:"fleet"`
	Name         string         `json:"name"`
	View         uint64         `json:"view"`
	Digest       string         `json:"digest"`
	Reachability string         `json:"judgement"`
	ForMillis    int64          `json:"for_ms"`   // since when
	UntilMillis  int64          `json:"until_ms"` // believed for so long yet
	Alive        int            `json:"heard"`
	Agreed       int            `json:"agreed"`
	Pauses       int            `json:"stalls"`
	Rejected     int64          `json:"refused"` // packets, streams and words that changed nothing
	Traffic      Traffic        `json:"traffic"`
	Members      []MemberReport `json:"members,omitempty"`
	Changes      []ChangeReport `json:"changes,omitempty"`
}

// Traffic is what crossed the network since the start.
type Traffic struct {
	PacketsIn  int64 `json:"packets_in"`
	PacketsOut int64 `json:"packets_out"`
	BytesIn    int64 `json:"bytes_in"`
	BytesOut   int64 `json:"bytes_out"`
}

// MemberReport is one member.
type MemberReport struct {
	Name              string `json:"name"`
	Addr              string `json:"addr"`
	Zone              string `json:"zone,omitempty"`
	Version           string `json:"version,omitempty"`
	Boot              uint64 `json:"boot"`
	Phase             string `json:"phase"`
	State             string `json:"state"`
	ForMillis         int64  `json:"for_ms"`
	Link              string `json:"link"`
	LastContactMillis int64  `json:"heard_ms"` // ago; -1: never
}

// ChangeReport is one step of the view.
type ChangeReport struct {
	View      uint64 `json:"view"`
	AgoMillis int64  `json:"ago_ms"`
	Name      string `json:"name"`
	What      string `json:"what"`
	From      string `json:"from"`
	To        string `json:"to"`
	Boot      uint64 `json:"boot"`
}

// Report tells all, and the changes after a view.
func (f *Fleet) Report(after uint64) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	ms := func(s membership.Seconds) int64 { return int64(s * 1000) }
	j := f.view.Reachability(now)
	if f.paused() {
		j.Level = membership.Partitioned
	}
	r := &Report{Fleet: f.options.Fleet, Name: f.options.Name, View: f.view.Version(), Digest: f.view.Digest(), Reachability: j.Level.String(),
		ForMillis: ms(now - j.Since), UntilMillis: max(0, ms(j.Until-now)), Alive: j.Alive, Agreed: j.Agreed, Pauses: f.pauses,
		Rejected: f.meter.rejected.Load() + int64(f.view.Rejected()) + int64(f.dropped),
		Traffic:  Traffic{f.meter.packetsIn.Load(), f.meter.packetsOut.Load(), f.meter.bytesIn.Load(), f.meter.bytesOut.Load()}}
	for _, s := range f.view.Members(now) {
		heard := int64(-1)
		if s.LastContact > 0 {
			heard = ms(now - s.LastContact)
		}
		r.Members = append(r.Members, MemberReport{s.Name, s.Addr, s.Zone, s.Version, s.Boot, s.Phase.String(), s.State.String(), ms(now - s.Since), s.Link.String(), heard})
	}
	for _, c := range f.view.Changes(after) {
		r.Changes = append(r.Changes, ChangeReport{c.View, ms(now - c.At), c.Name, c.What, c.From.String(), c.To.String(), c.Boot})
	}
	return r
}

// AliveMembers are the others that are held for alive, by name: whom it makes sense to tell something.
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

// MemberNames are the names of the ingresses by their numbers, as far as they are known; also of those that are dead.
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

// Left tells whether this process left the fleet, or stood aside for another of its name.
func (f *Fleet) Left() bool { return f.hasLeft() }

// LinkNames is Links in words.
func (f *Fleet) LinkNames() map[string]map[string]string {
	all := map[string]map[string]string{}
	for from, row := range f.Links() {
		all[from] = map[string]string{}
		for to, l := range row {
			all[from][to] = l.String()
		}
	}
	return all
}

// RestartAllowed tells whether this ingress may be restarted now: it hears the whole fleet, and nobody else is starting, drained or
// leaving. Two that ask in one moment may both be told yes; who restarts a fleet asks for one after another.
func (f *Fleet) RestartAllowed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.view.Reachability(now).Level != membership.Complete || f.paused() {
		return false
	}
	for _, m := range f.view.Members(now) {
		if m.Name != f.options.Name && m.State != membership.Left && m.Phase != membership.Serving {
			return false
		}
	}
	return true
}
