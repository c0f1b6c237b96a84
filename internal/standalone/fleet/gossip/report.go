package gossip

import "mulleinrouter/internal/standalone/fleet/membership"

// Report is the state of the fleet as one ingress sees it, in JSON for operators. Times are relative to the time of the
// report.
type Report struct {
	Fleet        string         `json:"fleet"`
	Name         string         `json:"name"`
	View         uint64         `json:"view"`
	Digest       string         `json:"digest"`
	Reachability string         `json:"judgement"`
	ForMillis    int64          `json:"for_ms"`   // time since the reachability changed to this level
	UntilMillis  int64          `json:"until_ms"` // time until the level expires, unless it is renewed
	Alive        int            `json:"heard"`
	Agreed       int            `json:"agreed"`
	Pauses       int            `json:"stalls"`
	Rejected     int64          `json:"refused"` // packets, streams and messages that were discarded
	Traffic      Traffic        `json:"traffic"`
	Members      []MemberReport `json:"members,omitempty"`
	Changes      []ChangeReport `json:"changes,omitempty"`
}

// Traffic counts what this process has received and sent since its start.
type Traffic struct {
	PacketsIn  int64 `json:"packets_in"`
	PacketsOut int64 `json:"packets_out"`
	BytesIn    int64 `json:"bytes_in"`
	BytesOut   int64 `json:"bytes_out"`
}

// MemberReport describes one member.
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
	LastContactMillis int64  `json:"heard_ms"` // time since the last contact; -1: never
}

// ChangeReport is one change of the view.
type ChangeReport struct {
	View      uint64 `json:"view"`
	AgoMillis int64  `json:"ago_ms"`
	Name      string `json:"name"`
	What      string `json:"what"`
	From      string `json:"from"`
	To        string `json:"to"`
	Boot      uint64 `json:"boot"`
}

// neverMillis is the reported time since the last contact if there was no contact.
const neverMillis = -1

// Report returns the state of the fleet, with the changes since the given version of the view.
func (f *Fleet) Report(after uint64) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	reachability := f.reachability(now)
	r := &Report{
		Fleet:        f.options.Fleet,
		Name:         f.options.Name,
		View:         f.view.Version(),
		Digest:       f.view.Digest(),
		Reachability: reachability.Level.String(),
		ForMillis:    millis(now - reachability.Since),
		UntilMillis:  max(0, millis(reachability.Until-now)),
		Alive:        reachability.Alive,
		Agreed:       reachability.Agreed,
		Pauses:       f.pauses,
		Rejected:     f.meter.rejected.Load() + int64(f.view.Rejected()) + int64(f.dropped),
		Traffic: Traffic{
			PacketsIn:  f.meter.packetsIn.Load(),
			PacketsOut: f.meter.packetsOut.Load(),
			BytesIn:    f.meter.bytesIn.Load(),
			BytesOut:   f.meter.bytesOut.Load(),
		},
	}
	for _, s := range f.view.Members(now) {
		r.Members = append(r.Members, newMemberReport(now, s))
	}
	for _, c := range f.view.Changes(after) {
		r.Changes = append(r.Changes, ChangeReport{
			View:      c.View,
			AgoMillis: millis(now - c.At),
			Name:      c.Name,
			What:      c.What,
			From:      c.From.String(),
			To:        c.To.String(),
			Boot:      c.Boot,
		})
	}
	return r
}

func newMemberReport(now membership.Seconds, s membership.Status) MemberReport {
	lastContact := int64(neverMillis)
	if s.LastContact > 0 {
		lastContact = millis(now - s.LastContact)
	}
	return MemberReport{
		Name:              s.Name,
		Addr:              s.Addr,
		Zone:              s.Zone,
		Version:           s.Version,
		Boot:              s.Boot,
		Phase:             s.Phase.String(),
		State:             s.State.String(),
		ForMillis:         millis(now - s.Since),
		Link:              s.Link.String(),
		LastContactMillis: lastContact,
	}
}

func millis(s membership.Seconds) int64 { return int64(s * 1000) }
