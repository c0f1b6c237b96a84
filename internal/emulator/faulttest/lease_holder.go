package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/jsontext"
)

// tenure is who held the export at a moment, as the leader said.
type tenure struct {
	at      time.Time
	ingress string
	token   uint64
	running bool // it did, as the rig knows
}

// watchDuties asks who holds the export, whoever answers.
func (p *player) watchRoles(stop <-chan struct{}) {
	for p.env.scenario.Voters > 0 {
		for _, n := range p.env.nodes {
			process := n.running()
			if process == nil || process.Stopped() {
				continue
			}
			lines, err := call(process.Mgmt, "DUTIES")
			if err != nil || len(lines) == 0 {
				continue
			}
			var t leaseservice.Status
			if jsontext.Decode([]byte(lines[0]), &t) != nil {
				continue
			}
			h := tenure{at: time.Now()}
			for _, d := range t.Roles {
				if d.Role == leaseservice.RoleExport {
					h.ingress, h.token = d.Holder, d.Token
				}
			}
			if nodes := p.nodesOf([]string{h.ingress}); len(nodes) == 1 {
				process := nodes[0].running()
				h.running = process != nil && !process.Stopped()
			}
			p.mu.Lock()
			p.tenures = append(p.tenures, h)
			p.mu.Unlock()
			break
		}
		select {
		case <-stop:
			return
		case <-time.After(pollInterval / 2):
		}
	}
}

// changeVoters adds a voter or removes one, by the command of operators, at any member that answers.
func (p *player) changeVoters(words string) (err error) {
	for _, n := range p.env.nodes {
		process := n.running()
		if process == nil || process.Stopped() {
			continue
		}
		var out []byte
		if out, err = exec.Command(
			p.Program,
			append(
				[]string{"fleet", "voters", "--mgmt", process.Mgmt},
				strings.Fields(words)...)...).CombinedOutput(); err == nil {
			p.logEvent("done", "voters are "+strings.Join(strings.Fields(string(out)), " "))
			return nil
		}
		err = fmt.Errorf("voters %s at %s: %w: %s", words, n.name, err, out)
	}
	return err
}

// holder is who holds the export now, as last heard; nil: nobody.
func (p *player) leaseHolder() *node {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tenures) == 0 {
		return nil
	}
	if nodes := p.nodesOf([]string{p.tenures[len(p.tenures)-1].ingress}); len(nodes) == 1 {
		return nodes[0]
	}
	return nil
}

// findHeld looks for a holder.
func (p *player) findTenure(e Expectation, f Finding, from time.Time, limit time.Duration) Finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := uint64(0)
	for _, h := range p.tenures {
		if h.at.Before(from) {
			before = max(before, h.token)
			continue
		}
		if h.at.After(from.Add(limit)) {
			break
		}
		f.Text = fmt.Sprintf("last %q under %d", h.ingress, h.token)
		if h.ingress == "" || !h.running || e.Value == "again" && h.token <= before ||
			len(e.Members) > 0 && !slices.Contains(e.Members, h.ingress) {
			continue
		}
		f.Passed, f.Times, f.Text = true, []time.Duration{h.at.Sub(from)}, "by "+h.ingress
		return f
	}
	return f
}

// settleBilling ends all processes as a planned restart does, has what is left exported by command, and notes what was billed.
func (p *player) settleBilling(ctx context.Context) error {
	var errs []error
	for _, n := range p.env.nodes {
		if process := n.running(); process != nil {
			errs = append(errs, process.Quit())
			n.setProcess(nil)
		}
	}
	p.takenBatches, p.rejectedBatches = p.env.billing.Fenced() // before the rest comes, which no holder sends
	for _, n := range p.env.nodes {
		// the second is that of a process beside an older one
		for _, dir := range []string{n.usageDir(), n.usageDir() + ".beside"} {
			if _, err := os.Stat(dir); err != nil {
				continue
			}
			if out, err := exec.CommandContext(
				ctx,
				p.Program,
				"usage",
				"export",
				dir,
				"--to",
				p.env.billing.URL(),
			).CombinedOutput(); err != nil {
				errs = append(errs, fmt.Errorf("the last export of %s: %w: %s", n.name, err, out))
			}
		}
	}
	return errors.Join(errs...)
}

// findBilled compares the bill with what arrived.
func (p *player) findBilled(f Finding) Finding {
	totals := p.env.billing.Totals()
	known, unknown := totals.Tally.Total()
	arrived := int64(len(p.env.arrived()))
	f.Passed = arrived > 0 && known.Requests <= arrived && arrived <= known.Requests+unknown.Requests+totals.Unmetered.Requests &&
		totals.Conflicts == 0
	f.Text = fmt.Sprintf(
		"%d arrived, %d billed, %d listed apart, %d not recorded, %d batches came again, %d conflicts",
		arrived,
		known.Requests,
		unknown.Requests,
		totals.Unmetered.Requests,
		totals.Repeats,
		totals.Conflicts,
	)
	return f
}

// findFenced looks at what billing took under tokens.
func (p *player) findFenced(f Finding) Finding {
	last, tokens := uint64(0), 0
	f.Passed = len(p.takenBatches) > 0
	for _, t := range p.takenBatches {
		f.Passed = f.Passed && t.Token >= last
		if t.Token != last {
			tokens++
		}
		last = t.Token
	}
	f.Text = fmt.Sprintf("%d batches under %d tokens, %d refused as an older holder's", len(p.takenBatches), tokens, p.rejectedBatches)
	return f
}

// catalogueView is what the members hold for the catalogue at a moment.
type catalogueView struct {
	at         time.Time
	number     uint64 // the newest that had been written by then
	consistent bool   // all that run hold it, and one content for each number
	text       string
}

// watchCatalogue asks all for what was announced.
func (p *player) watchCatalogue(stop <-chan struct{}) {
	for p.env.scenario.Catalogue {
		o := catalogueView{at: time.Now(), consistent: true}
		p.mu.Lock()
		o.number = p.revision + 1
		p.mu.Unlock()
		digests := map[uint64]string{}
		for _, n := range p.env.nodes {
			process := n.running()
			if process == nil || process.Stopped() {
				continue
			}
			var a leaseservice.AnnouncerStatus
			lines, err := call(process.Mgmt, "CATALOGUE")
			if err != nil || len(lines) == 0 || jsontext.Decode([]byte(lines[0]), &a) != nil {
				o.consistent, o.text = false, n.name+" does not answer"
				continue
			}
			newest := uint64(0)
			for _, e := range a.Entries {
				if newest = e.Number; digests[e.Number] != "" && digests[e.Number] != e.Digest {
					o.consistent, o.text = false, fmt.Sprintf("%s has another content of %d", n.name, e.Number)
				}
				digests[e.Number] = e.Digest
			}
			if newest < o.number {
				o.consistent, o.text = false, fmt.Sprintf("%s has %d, %d was written", n.name, newest, o.number)
			}
		}
		p.mu.Lock()
		p.catalogueViews = append(p.catalogueViews, o)
		p.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
	}
}

// findAnnounced looks for a moment when all hold one order.
func (p *player) findAnnounced(f Finding, from time.Time, limit time.Duration) Finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.catalogueViews {
		if o.at.Before(from) || o.at.After(from.Add(limit)) {
			continue
		}
		if f.Text = o.text; o.consistent {
			f.Passed, f.Times, f.Text = true, []time.Duration{o.at.Sub(from)}, fmt.Sprintf("%d at all", o.number)
			return f
		}
	}
	return f
}

var roleGained = regexp.MustCompile(`code=duty-gained duty=(\S+) token=(\d+)`)

// findTokenHolders reads what all processes logged of their duties: a token has one holder. What leaders tell is no proof: one
// that stood still tells what it knew until it hears of its successor.
func (p *player) findTokenHolders(f Finding) Finding {
	f.Passed = true
	holders, tokens := map[string]string{}, 0
	paths, _ := filepath.Glob(filepath.Join(p.Dir, "*.log"))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Passed, f.Text = false, err.Error()
			return f
		}
		for _, m := range roleGained.FindAllStringSubmatch(string(text), -1) {
			name, _, _ := strings.Cut(filepath.Base(path), ".") // of the member; its starts are one after another
			if was := holders[m[2]]; was != "" && was != m[1]+" "+name {
				f.Passed, f.Text = false, fmt.Sprintf("token %s: %s, and %s %s", m[2], was, m[1], name)
			}
			holders[m[2]] = m[1] + " " + name
			tokens++
		}
	}
	if f.Passed = f.Passed && tokens > 0; f.Passed {
		f.Text = fmt.Sprintf("%d gains", tokens)
	}
	return f
}
