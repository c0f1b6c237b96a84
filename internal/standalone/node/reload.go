package node

import (
	"fmt"
	"slices"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/plans"
	"mulleinrouter/internal/standalone/settings"
)

// CountReload counts a configuration file that was read at SIGHUP. A file is applied or rejected as a whole.
func (n *Node) CountReload(applied bool) {
	if applied {
		n.reloadsApplied.Add(1)
	} else {
		n.reloadsRejected.Add(1)
	}
}

// Reload applies the settings of a newer configuration that can change without a restart: the addresses of discovery
// and the counter, the static list of servers, the classes of requests, the limit of attempts, the plans and the keys
// of the fleet. If it returns an error, nothing has changed, except after an error of the fleet's key file, because the
// plans and classes are applied before that file is read.
func (n *Node) Reload(c *config.Config) error {
	if err := n.checkReload(c); err != nil {
		return err
	}
	if err := n.reloadPlans(c); err != nil {
		return err
	}
	n.reloadClasses(c)
	n.config.SettingsRaw = c.SettingsRaw
	if n.fleet != nil {
		// This reads the key file that was configured at the start. If c names the same file, package config has just
		// read it without an error, so this fails only if the file has changed since then.
		if err := n.fleet.Reload(); err != nil {
			return err
		}
	}
	if c.Static {
		n.watcher.RestoreList(c.Known)
	} else {
		n.watcher.SetAddress(c.Discovery)
	}
	if n.counter != nil && c.Embedded == "" {
		n.counter.SetAddress(c.Counter)
	}
	return nil
}

// checkReload returns an error for a configuration that cannot replace the present one without a restart.
func (n *Node) checkReload(c *config.Config) error {
	if n.config.SettingsRaw != nil {
		if err := settings.Check(c.SettingsRaw, n.config.SettingsRaw); err != nil {
			return err
		}
	}
	if n.counter != nil && c.Counter == "" && c.Embedded == "" {
		return ErrNoCounterAddress
	}
	if c.Static != n.config.Static {
		return ErrServerSourceChanged
	}
	return nil
}

// reloadPlans applies changed plans as a new revision, whose number follows lastReloadRevision. If there is a
// catalogue, it defines the plans and reloadPlans does nothing.
func (n *Node) reloadPlans(c *config.Config) error {
	if n.config.Catalogue != "" || slices.Equal(c.Settings.Plans, n.config.Settings.Plans) {
		return nil
	}
	revision := plans.Revision{Number: 1, Authority: plans.AuthorityHeader, Plans: c.Settings.Plans}
	if problems := revision.Validate(); len(problems) > 0 {
		return fmt.Errorf("settings: %w", problems[0])
	}
	n.updatePlans(func(now decision.Seconds) {
		n.lastReloadRevision++
		revision.Number, revision.EffectiveAt = n.lastReloadRevision, now
		n.planState.Offer(revision, now)
	})
	level.Info(n.log).Log("msg", "plans of the settings changed",
		"code", "plans-revised", "revision", revision.Number, "digest", revision.Digest(),
		"verdict", plans.VerdictLate.String(),
	)
	n.config.Settings.Plans = c.Settings.Plans
	return nil
}

// reloadClasses applies changed classes of requests and a changed limit of attempts.
func (n *Node) reloadClasses(c *config.Config) {
	current, next := &n.config.Settings, &c.Settings
	if slices.Equal(next.Classes, current.Classes) && next.MaxAttempts == current.MaxAttempts {
		return
	}
	// The decision module must know a new class before the server accepts requests of it.
	n.engine.Reconfigure(next.Classes, next.MaxAttempts)
	n.server.SetClasses(next.Classes)
	current.Classes, current.MaxAttempts = slices.Clone(next.Classes), next.MaxAttempts
	level.Info(n.log).Log("msg", "classes of the settings changed",
		"code", "process-retuned", "classes", len(next.Classes), "attempts", next.MaxAttempts,
	)
}
