package gossip

import "mulleinrouter/internal/standalone/fleet/membership"

// Report is what an ingress tells of its fleet, as JSON. Spans are in ms from now.
type Report struct {
	Fleet     string         `json:"fleet"`
	Name      string         `json:"name"`
	View      uint64         `json:"view"`
	Digest    string         `json:"digest"`
	Judgement string         `json:"judgement"`
	For       int64          `json:"for_ms"`   // since when
	Until     int64          `json:"until_ms"` // believed for so long yet
	Heard     int            `json:"heard"`
	Agreed    int            `json:"agreed"`
	Stalls    int            `json:"stalls"`
	Refused   int64          `json:"refused"` // packets, streams and words that changed nothing
	Traffic   Traffic        `json:"traffic"`
	Members   []MemberReport `json:"members,omitempty"`
	Changes   []ChangeReport `json:"changes,omitempty"`
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
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone,omitempty"`
	Version string `json:"version,omitempty"`
	Boot    uint64 `json:"boot"`
	Phase   string `json:"phase"`
	State   string `json:"state"`
	For     int64  `json:"for_ms"`
	Link    string `json:"link"`
	Heard   int64  `json:"heard_ms"` // ago; -1: never
}

// ChangeReport is one step of the view.
type ChangeReport struct {
	View uint64 `json:"view"`
	Ago  int64  `json:"ago_ms"`
	Name string `json:"name"`
	What string `json:"what"`
	From string `json:"from"`
	To   string `json:"to"`
	Boot uint64 `json:"boot"`
}

// Report tells all, and the changes after a view.
func (f *Fleet) Report(after uint64) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	ms := func(s membership.Seconds) int64 { return int64(s * 1000) }
	j := f.view.Reachability(now)
	if f.still() {
		j.Level = membership.Partitioned
	}
	r := &Report{Fleet: f.o.Fleet, Name: f.o.Name, View: f.view.Version(), Digest: f.view.Digest(), Judgement: j.Level.String(),
		For: ms(now - j.Since), Until: max(0, ms(j.Until-now)), Heard: j.Alive, Agreed: j.Agreed, Stalls: f.stalls,
		Refused: f.meter.refused.Load() + int64(f.view.Rejected()) + int64(f.lost),
		Traffic: Traffic{f.meter.packetsIn.Load(), f.meter.packetsOut.Load(), f.meter.bytesIn.Load(), f.meter.bytesOut.Load()}}
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

// Living are the others that are held for alive, by name: whom it makes sense to tell something.
func (f *Fleet) Living() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.view.Members(f.now()) {
		if m.Name != f.o.Name && (m.State == membership.Alive || m.State == membership.Suspect) {
			names = append(names, m.Name)
		}
	}
	return names
}

// Numbers are the names of the ingresses by their numbers, as far as they are known; also of those that are dead.
func (f *Fleet) Numbers() map[int]string {
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

// Gone tells whether this process left the fleet, or stood aside for another of its name.
func (f *Fleet) Gone() bool { return f.isDown() }

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

// Turn tells whether this ingress may be restarted now: it hears the whole fleet, and nobody else is starting, drained or
// leaving. Two that ask in one moment may both be told yes; who restarts a fleet asks for one after another.
func (f *Fleet) Turn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.view.Reachability(now).Level != membership.Complete || f.still() {
		return false
	}
	for _, m := range f.view.Members(now) {
		if m.Name != f.o.Name && m.State != membership.Left && m.Phase != membership.Serving {
			return false
		}
	}
	return true
}
