package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"mulleinrouter/internal/standalone/fleet/leaseservice"
)

// tenure is an observation of which member held the lease of the export role, as the leader reported it.
type tenure struct {
	at      time.Time
	ingress string // name of the holder; empty: no member held the lease
	token   uint64 // fencing token of the lease
	running bool   // the holder's process ran at that time, and was not suspended
}

// observeTenure asks the members in order, until one answers, which member holds the lease of the export role. The
// member that is asked forwards the call to the leader.
func (p *player) observeTenure() {
	for _, n := range p.env.nodes {
		process := n.responsive()
		if process == nil {
			continue
		}
		status, err := query[leaseservice.Status](process, callLeases)
		if err != nil {
			continue
		}
		p.addTenure(p.exportTenure(status))
		return
	}
}

// exportTenure returns the tenure of the export role from a leader's report.
func (p *player) exportTenure(status leaseservice.Status) tenure {
	t := tenure{at: time.Now()}
	for _, role := range status.Roles {
		if role.Role == leaseservice.RoleExport {
			t.ingress, t.token = role.Holder, role.Token
		}
	}
	if nodes := p.nodesOf([]string{t.ingress}); len(nodes) == 1 {
		t.running = nodes[0].responsive() != nil
	}
	return t
}

func (p *player) addTenure(t tenure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tenures = append(p.tenures, t)
}

// leaseHolder returns the member that held the lease of the export role when it was last observed; nil if none did.
func (p *player) leaseHolder() *node {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tenures) == 0 {
		return nil
	}
	nodes := p.nodesOf([]string{p.tenures[len(p.tenures)-1].ingress})
	if len(nodes) != 1 {
		return nil
	}
	return nodes[0]
}

// evaluateLease looks for the first moment after the expectation's start when one of its members ran and held the lease
// under an expected token.
func (e *evaluation) evaluateLease() (f Finding) {
	newest := uint64(0) // newest token before the expectation's start
	for _, t := range e.player.tenures {
		if t.at.Before(e.from) {
			newest = max(newest, t.token)
			continue
		}
		if t.at.After(e.deadline()) {
			break
		}
		f.Text = fmt.Sprintf("last holder %q, token %d", t.ingress, t.token)
		if e.isExpectedTenure(t, newest) {
			return Finding{Passed: true, Times: []time.Duration{t.at.Sub(e.from)}, Text: "by " + t.ingress}
		}
	}
	return f
}

func (e *evaluation) isExpectedTenure(t tenure, newestBefore uint64) bool {
	if t.ingress == "" || !t.running {
		return false
	}
	if e.expectation.Value == leaseAgain && t.token <= newestBefore {
		return false
	}
	return slices.Contains(e.members, t.ingress)
}

// roleGained matches the log line that a process writes when it gets the lease of a role.
var roleGained = regexp.MustCompile(`code=duty-gained duty=(\S+) token=(\d+)`)

// evaluateUniqueTokens reads from the logs of all processes which leases they got, and checks that each token had one
// holder. Reports of leaders are not used, because a leader that was suspended reports outdated holders until it learns
// of its successor.
func (e *evaluation) evaluateUniqueTokens() (f Finding) {
	f.Passed = true
	holders, gains := map[string]string{}, 0
	paths, _ := filepath.Glob(filepath.Join(e.player.options.Dir, "*.log"))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return Finding{Text: err.Error()}
		}
		member, _, _ := strings.Cut(filepath.Base(path), ".") // logs are named MEMBER.NUMBER.log
		for _, match := range roleGained.FindAllStringSubmatch(string(text), -1) {
			role, token := match[1], match[2]
			holder := role + " " + member
			if known := holders[token]; known != "" && known != holder {
				f = Finding{Text: fmt.Sprintf("token %s has two holders: %s and %s", token, known, holder)}
			}
			holders[token] = holder
			gains++
		}
	}
	if f.Passed = f.Passed && gains > 0; f.Passed {
		f.Text = fmt.Sprintf("%d leases acquired", gains)
	}
	return f
}
