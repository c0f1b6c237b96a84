package faulttest

import (
	"fmt"
	"slices"
	"time"
)

// evaluate looks for an expectation in what was seen.
func (p *player) evaluate(e Expectation) Finding {
	f := Finding{Expectation: e}
	limit := time.Duration(float64(e.Within) * p.Slack)
	of, by := e.Members, e.Observers
	if len(of) == 0 {
		of = p.env.scenario.Names()
	}
	if len(by) == 0 {
		by = p.env.scenario.Names()
	}
	from := p.startedAt.Add(e.After)
	switch e.Kind {
	case "state":
		f.Passed, f.Text = true, "by all"
		for _, n := range p.nodesOf(by) {
			if n.running() == nil || n.running().Stopped() {
				continue
			}
			for _, m := range of {
				if m == n.name {
					continue
				}
				at, ok := n.reported(m, e.Value, from)
				if !ok || at.After(from.Add(limit)) {
					f.Passed, f.Text = false, fmt.Sprintf("%s does not hold %s for %s in time", n.name, m, e.Value)
					continue
				}
				f.Times = append(f.Times, max(0, at.Sub(from)))
			}
		}
		if len(f.Times) == 0 {
			f.Passed, f.Text = false, "nobody was there to say it"
		}
	case "never":
		reported, looked := 0, 0
		for _, n := range p.nodesOf(by) {
			n.mu.Lock()
			changes := slices.Clone(n.changes)
			n.mu.Unlock()
			looked++
			for _, c := range changes {
				if c.What == "state" && c.To == e.Value && slices.Contains(of, c.Name) && c.at.After(from) &&
					c.at.Before(from.Add(e.Within)) {
					reported++
					f.Text = fmt.Sprintf("%s told %s %s after %.1f s", n.name, c.Name, e.Value, c.at.Sub(from).Seconds())
				}
			}
		}
		if f.Passed = reported == 0 && looked > 0; f.Passed {
			f.Text = fmt.Sprintf("by %d", looked)
		} else {
			f.Text = fmt.Sprintf("%d times; %s", reported, f.Text)
		}
	case "not":
		f.Passed, f.Text = false, "nothing was seen in that time"
		for _, m := range p.observations {
			if m.at.Before(from) || m.at.After(from.Add(e.Within)) {
				continue
			}
			if f.Passed, f.Text = true, ""; len(m.reachability) == 0 {
				continue
			}
			for _, n := range of {
				if m.reachability[n] == e.Value {
					f.Passed, f.Text = false, fmt.Sprintf("%s said so after %.1f s", n, m.at.Sub(from).Seconds())
					return f
				}
			}
		}
	case "held":
		f = p.findTenure(e, f, from, limit)
	case "fenced":
		f = p.findFenced(f)
	case "stale":
		f.Passed, f.Text = p.rejectedBatches > 0, fmt.Sprintf("%d refused", p.rejectedBatches)
	case "billed":
		f = p.findBilled(f)
	case "one":
		f = p.findTokenHolders(f)
	case "warned":
		f = p.findWarned(f, of, from, limit)
	case "use":
		f = p.findUse(f, from)
	case "announced":
		f = p.findAnnounced(f, from, limit)
	case "agree", "judgement":
		f = p.findReachability(e, f)
	case "answered":
		f.Passed = p.requests.unanswered == 0 && p.requests.served > 0
		f.Text = fmt.Sprintf(
			"%d of %d without an answer, %d served %s",
			p.requests.unanswered,
			p.requests.sent,
			p.requests.served,
			p.requests.lastError,
		)
	case "refused":
		f.Passed, f.Text = true, ""
		for _, n := range p.nodesOf(of) {
			if r := n.report(); r == nil || r.Rejected == 0 {
				f.Passed = false
				f.Text += n.name + " refused nothing "
			} else {
				f.Text += fmt.Sprintf("%s %d ", n.name, r.Rejected)
			}
		}
	}
	return f
}

// told is when a member first held another for something, from a time on; it may have done so before.
func (n *node) reported(name, state string, from time.Time) (at time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	passed := ""
	for _, c := range n.changes {
		if c.Name != name || c.What != "state" {
			continue
		}
		if c.at.Before(from) {
			passed = c.To
			continue
		}
		if passed == state {
			return from, true
		}
		if c.To == state {
			return c.at, true
		}
	}
	return from, passed == state
}

// observation is what the fleet was like at a moment.
type observation struct {
	at           time.Time
	agree        bool
	reachability map[string]string
}

// findReachability looks for the first moment from which on something is so until its limit, or once at all for a judgement.
func (p *player) findReachability(e Expectation, f Finding) Finding {
	from, limit := p.startedAt.Add(e.After), time.Duration(float64(e.Within)*p.Slack)
	for _, m := range p.observations {
		if m.at.Before(from) || m.at.After(from.Add(limit)) {
			continue
		}
		ok := m.agree
		if e.Kind == "judgement" {
			ok = true
			for _, n := range e.Members {
				ok = ok && m.reachability[n] == e.Value
			}
			if len(e.Members) == 0 {
				for _, j := range m.reachability {
					ok = ok && j == e.Value
				}
			}
		}
		if ok {
			f.Passed, f.Times, f.Text = true, []time.Duration{m.at.Sub(from)}, "once"
			return f
		}
		f.Text = fmt.Sprint("last ", m.reachability)
	}
	if f.Text == "" {
		f.Text = "nothing was seen in that time"
	}
	return f
}

// pollNow has nodes looked at, and notes what the fleet is like. A process that was suspended reports that it is cut
// off only until the first message arrives, which may be sooner than the next regular look.
func (p *player) pollNow(nodes []*node) {
	for _, n := range nodes {
		n.poll()
	}
	p.observe()
}

// observe notes what the fleet is like, every so often.
func (p *player) observe() {
	m := observation{at: time.Now(), agree: true, reachability: map[string]string{}}
	digest := ""
	for _, n := range p.env.nodes {
		r := n.report()
		if r == nil {
			continue
		}
		m.reachability[n.name] = r.Reachability
		if digest == "" {
			digest = r.Digest
		}
		m.agree = m.agree && r.Digest == digest
	}
	p.observationsMu.Lock()
	defer p.observationsMu.Unlock()
	p.observations = append(p.observations, m)
}
