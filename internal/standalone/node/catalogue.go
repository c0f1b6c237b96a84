package node

import (
	"context"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/revisionlog"
	"mulleinrouter/internal/standalone/plans"
)

// startCatalogue reads the catalogue now, and again whenever its file changes. It returns an error of the first
// reading, because an ingress must not start with plans other than those that its operators intended.
func (n *Node) startCatalogue(ctx context.Context) error {
	revisions, err := catalogue.Load(n.config.Catalogue)
	if err != nil {
		return err
	}
	onChange := n.applyRevisions
	if n.config.UseRevisionLog {
		n.startAnnouncer(ctx, revisions)
		onChange = n.proposeRevisions
	} else {
		n.applyRevisions(revisions)
	}
	watcher := &catalogue.Watcher{Path: n.config.Catalogue, OnChange: onChange, Log: n.log}
	n.spawn(func() {
		if err := watcher.Run(ctx); err != nil {
			level.Error(n.log).Log("msg", "catalogue not watched; changes apply after a restart",
				"code", "plans-watch-failed", "error", err,
			)
		}
	})
	return nil
}

// startAnnouncer makes revisions take effect only once the holder of the catalogue's lease has announced them. If the
// state folder has no announced revision, the revisions of this ingress's own file apply until one is announced.
func (n *Node) startAnnouncer(ctx context.Context, first []plans.Revision) {
	folder, read := n.stateFolder(0), false
	n.announcer, read = n.leases.StartAnnouncer(ctx, leaseservice.AnnouncerOptions{
		Check: func(text []byte) (uint64, string, error) {
			r, err := parseRevision(text)
			if err != nil {
				return 0, "", err
			}
			return r.Number, r.Digest(), nil
		},
		Apply: func(text []byte) {
			if r, err := parseRevision(text); err == nil { // Check has accepted it
				n.commitRevision(r)
			}
		},
		LivePeers: n.fleet.AliveMembers,
		Read:      func(r *revisionlog.Record) error { return folder.Read(revisionLogRecord, folder.Process(), r) },
		Write:     func(r revisionlog.Record) error { return folder.Write(revisionLogRecord, r) },
	})
	if !read {
		n.applyRevisions(first)
	}
	n.proposeRevisions(first)
}

// proposeRevisions submits the revisions of this ingress's file to the holder of the catalogue's lease.
func (n *Node) proposeRevisions(revisions []plans.Revision) {
	for _, r := range revisions {
		n.announcer.Submit(revisionlog.Entry{
			Number: r.Number,
			Digest: r.Digest(),
			Text:   catalogue.Format([]plans.Revision{r}),
		})
	}
}

// parseRevision parses the text of one announced revision.
func parseRevision(text []byte) (plans.Revision, error) {
	revisions, err := catalogue.Parse("announced", text)
	if err != nil {
		return plans.Revision{}, err
	}
	return revisions[0], nil
}

// applyRevisions applies the revisions of the catalogue's file.
func (n *Node) applyRevisions(revisions []plans.Revision) {
	n.updatePlans(func(now decision.Seconds) {
		for _, r := range revisions {
			n.logVerdict(r, n.planState.Offer(r, now), now)
		}
	})
}

// commitRevision applies a revision that was announced.
func (n *Node) commitRevision(r plans.Revision) {
	n.updatePlans(func(now decision.Seconds) { n.logVerdict(r, n.planState.Commit(r, now), now) })
}

// updatePlans changes the state of plans, and applies the result to the decision module and the ingress server.
func (n *Node) updatePlans(change func(now decision.Seconds)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.planState == nil {
		n.planState = plans.NewState(n.config.Settings.Plans)
	}
	n.engine.SetCatalogue(func(now decision.Seconds) engine.Catalogue {
		change(now)
		n.server.SetPlans(n.planState.Plans())
		return n.planState
	})
}

// logVerdict logs whether and how a revision takes effect. The caller holds mu.
func (n *Node) logVerdict(r plans.Revision, verdict plans.Verdict, now decision.Seconds) {
	if verdict == plans.VerdictDuplicate {
		return
	}
	logger := log.With(n.log,
		"revision", r.Number, "digest", r.Digest(), "verdict", verdict.String(), "in_force", n.planState.InForce(now),
	)
	switch {
	case verdict == plans.VerdictPending || verdict == plans.VerdictLate:
		level.Info(logger).Log("msg", "new catalogue revision", "code", "plans-revised", "holds", r.EffectiveAt)
	case verdict == plans.VerdictConflict && n.announcer != nil:
		level.Warn(logger).Log("msg", "announced revision replaces a different one with the same number",
			"code", "plans-settled",
		)
	case verdict == plans.VerdictConflict:
		level.Error(logger).Log(
			"msg", "two revisions have the same number; the one with the higher digest takes effect at all ingresses",
			"code", "plans-conflict",
		)
	default:
		level.Warn(logger).Log("msg", "revision ignored", "code", "plans-passed-over")
	}
}
