package faulttest

import (
	"time"

	"mulleinrouter/internal/standalone/fleet/quotasync"
)

// observation is what the members reported about the fleet at one moment.
type observation struct {
	at           time.Time
	agree        bool              // the views of all running members are the same
	reachability map[string]string // by member; those that do not run are absent
}

// observe records what the members reported when they were polled last.
func (p *player) observe() {
	o := observation{at: time.Now(), agree: true, reachability: map[string]string{}}
	digest := ""
	for _, n := range p.env.nodes {
		report := n.report()
		if report == nil {
			continue
		}
		o.reachability[n.name] = report.Reachability
		if digest == "" {
			digest = report.Digest
		}
		o.agree = o.agree && report.Digest == digest
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observations = append(p.observations, o)
}

// pollNow polls nodes at once and records what they report. It is needed because a process that was suspended reports
// that it is cut off only until the first message arrives, which may be sooner than the next regular poll.
func (p *player) pollNow(nodes []*node) {
	for _, n := range nodes {
		n.poll()
	}
	p.observe()
}

// warning records that a member reported that other members had warned it of a server.
type warning struct {
	at     time.Time
	member string
}

// observeWarnings asks all members which servers others warn them of.
func (p *player) observeWarnings() {
	for _, n := range p.env.nodes {
		process := n.responsive()
		if process == nil {
			continue
		}
		report, err := query[quotasync.Report](process, callState)
		if err != nil || len(report.WarnedServers) == 0 {
			continue
		}
		p.addWarning(warning{at: time.Now(), member: n.name})
	}
}

func (p *player) addWarning(w warning) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warnings = append(p.warnings, w)
}
