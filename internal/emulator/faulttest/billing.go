package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
)

// finishBilling shuts all processes down as a planned restart does, and exports the remaining usage records with
// the command usage export. Before the export, it records what billing has accepted and rejected.
func (p *player) finishBilling(ctx context.Context) error {
	var errs []error
	for _, n := range p.env.nodes {
		if process := n.running(); process != nil {
			errs = append(errs, process.Quit())
			n.setProcess(nil)
		}
	}
	// Batches are counted before the export below, because the command holds no lease and sends no fencing tokens.
	p.acceptedBatches, p.rejectedBatches = p.env.billing.Fenced()
	for _, n := range p.env.nodes {
		for _, dir := range n.usageDirs() {
			errs = append(errs, p.exportUsage(ctx, n, dir))
		}
	}
	return errors.Join(errs...)
}

// usageDirs are the folders of a member's usage records: that of its process, and that of a second process during an
// upgrade.
func (n *node) usageDirs() []string { return []string{n.usageDir(), n.usageDir() + ".beside"} }

// exportUsage exports the records in a folder, if there is one.
func (p *player) exportUsage(ctx context.Context, n *node, dir string) error {
	if _, err := os.Stat(dir); err != nil {
		return nil
	}
	args := []string{"usage", "export", dir, "--to", p.env.billing.URL()}
	output, err := exec.CommandContext(ctx, p.options.Program, args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("the last export of %s: %w: %s", n.name, err, output)
	}
	return nil
}

// evaluateBilled compares what was billed with what arrived at the quote servers.
func (e *evaluation) evaluateBilled() (f Finding) {
	totals := e.player.env.billing.Totals()
	known, unknown := totals.Tally.Total()
	arrived := int64(len(e.player.env.arrived()))
	atMost := known.Requests + unknown.Requests + totals.Unmetered.Requests
	covered := known.Requests <= arrived && arrived <= atMost
	f.Passed = arrived > 0 && covered && totals.Conflicts == 0
	f.Text = fmt.Sprintf(
		"%d received, %d billed, %d unknown, %d not recorded, %d batches received again, %d conflicts",
		arrived,
		known.Requests,
		unknown.Requests,
		totals.Unmetered.Requests,
		totals.Repeats,
		totals.Conflicts,
	)
	return f
}

// evaluateFencing checks that the fencing tokens of the batches that billing accepted never decreased.
func (e *evaluation) evaluateFencing() (f Finding) {
	last, tokens := uint64(0), 0
	f.Passed = len(e.player.acceptedBatches) > 0
	for _, batch := range e.player.acceptedBatches {
		f.Passed = f.Passed && batch.Token >= last
		if batch.Token != last {
			tokens++
		}
		last = batch.Token
	}
	f.Text = fmt.Sprintf(
		"%d batches accepted with %d tokens, %d refused because of their token",
		len(e.player.acceptedBatches),
		tokens,
		e.player.rejectedBatches,
	)
	return f
}

// evaluateStaleRejected checks that billing rejected a batch because its fencing token was older or invalid.
func (e *evaluation) evaluateStaleRejected() Finding {
	rejected := e.player.rejectedBatches
	return Finding{Passed: rejected > 0, Text: fmt.Sprintf("%d refused", rejected)}
}
