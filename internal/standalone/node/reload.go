package node

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/plans"
	"mulleinrouter/internal/standalone/settings"
)

// Reloaded counts a configuration file read at SIGHUP: taken, or turned down whole.
func (n *Node) Reloaded(taken bool) {
	if taken {
		n.applied.Add(1)
	} else {
		n.rejected.Add(1)
	}
}

// follow reads the catalogue, and again whenever it changes. The first reading must do: an ingress does not start
// with plans that nobody meant.
func (n *Node) follow(ctx context.Context) error {
	all, err := catalogue.Load(n.config.Catalogue)
	if err != nil {
		return err
	}
	tell := n.offer
	if n.config.Announce {
		n.announced(ctx, all)
		tell = n.announce
	} else {
		n.offer(all)
	}
	w := &catalogue.Watcher{Path: n.config.Catalogue, Tell: tell, Log: n.log}
	n.spawn(func() {
		if err := w.Run(ctx); err != nil {
			n.log.WithField("code", "plans-watch-failed").WithError(err).Error("the catalogue is not watched; changes come with a restart")
		}
	})
	return nil
}

// offer takes revisions of the catalogue's file.
func (n *Node) offer(all []plans.Revision) {
	n.revise(func(now decision.Seconds) {
		for _, r := range all {
			n.revised(r, n.state.Offer(r, now), now)
		}
	})
}

// settle takes one that was announced.
func (n *Node) settle(r plans.Revision) {
	n.revise(func(now decision.Seconds) { n.revised(r, n.state.Settle(r, now), now) })
}

// revised tells what became of a revision. The mutex is held.
func (n *Node) revised(r plans.Revision, verdict plans.Verdict, now decision.Seconds) {
	if verdict == plans.Same {
		return
	}
	entry := n.log.WithFields(logrus.Fields{"revision": r.Number, "digest": r.Digest(), "verdict": verdict.String(),
		"in_force": n.state.InForce(now)})
	switch {
	case verdict == plans.Announced || verdict == plans.Late:
		entry.WithFields(logrus.Fields{"code": "plans-revised", "holds": r.Holds}).Info("the catalogue has a new revision")
	case verdict == plans.Conflict && n.announcer != nil:
		entry.WithField("code", "plans-settled").Warn("another content was announced under this number than this ingress had; it holds")
	case verdict == plans.Conflict:
		entry.WithField("code", "plans-conflict").Error("two revisions have one number; the one with the higher digest counts, at all ingresses")
	default:
		entry.WithField("code", "plans-passed-over").Warn("a revision was passed over")
	}
}

// revise changes what this ingress knows of plans, and has the module and the clients' side go by it.
func (n *Node) revise(change func(now decision.Seconds)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == nil {
		n.state = plans.NewState(n.config.Settings.Plans)
	}
	n.engine.SetCatalogue(func(now decision.Seconds) engine.Catalogue {
		change(now)
		n.server.SetPlans(n.state.Plans(now))
		return n.state
	})
}

var errCounter = errors.New("counter: no address")

// Reload goes by a newer configuration, as far as it may change while serving: the addresses of discovery and the
// counter, the servers that are written down, and the plans. It changes all of that or, with an error, nothing.
func (n *Node) Reload(c *config.Config) error {
	if n.config.SettingsRaw != nil {
		if err := settings.Check(c.SettingsRaw, n.config.SettingsRaw); err != nil {
			return err
		}
	}
	if n.count != nil && c.Counter == "" && c.Embedded == "" {
		return errCounter
	}
	if c.Static != n.config.Static {
		return errors.New("servers written down and discovery cannot take each other's place while it serves")
	}
	if !slices.Equal(c.Settings.Plans, n.config.Settings.Plans) && n.config.Catalogue == "" {
		r := plans.Revision{Authority: plans.Header, Plans: c.Settings.Plans}
		r.Number = 1
		if all := r.Validate(); len(all) > 0 {
			return fmt.Errorf("settings: %w", all[0])
		}
		n.revise(func(now decision.Seconds) {
			n.last++
			r.Number, r.Holds = n.last, now
			n.state.Offer(r, now)
		})
		n.log.WithFields(logrus.Fields{"code": "plans-revised", "revision": r.Number, "digest": r.Digest(), "verdict": plans.Late.String()}).Info("the settings have other plans")
		n.config.Settings.Plans = c.Settings.Plans
	}
	if s := c.Settings; !slices.Equal(s.Classes, n.config.Settings.Classes) || s.MaxAttempts != n.config.Settings.MaxAttempts {
		n.engine.Reconfigure(s.Classes, s.MaxAttempts) // the module first: a request of a new class is known there when it comes
		n.server.SetClasses(s.Classes)
		n.config.Settings.Classes, n.config.Settings.MaxAttempts = slices.Clone(s.Classes), s.MaxAttempts
		n.log.WithFields(logrus.Fields{"code": "process-retuned", "classes": len(s.Classes), "attempts": s.MaxAttempts}).Info("the settings have other classes")
	}
	n.config.SettingsRaw = c.SettingsRaw
	if n.fleet != nil {
		if err := n.fleet.Reload(); err != nil { // checked with the file a moment ago
			return err
		}
	}
	if c.Static {
		n.watcher.Known(c.Known)
	} else {
		n.watcher.Move(c.Discovery)
	}
	if n.count != nil && c.Embedded == "" {
		n.count.Move(c.Counter)
	}
	return nil
}
