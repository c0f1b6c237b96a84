package config

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/hclfile"
	"mulleinrouter/internal/standalone/plans"
)

const (
	maxAttempts = 4 // attempts for one request: the default, and the maximum that the quote service's rules allow

	defaultSlowStartShare = 0.2 // share of a server's capacity that is used when its slow start begins
	defaultOverloadFactor = 2.5 // multiple of its present capacity at which a server in slow start fails

	defaultUsageRotation = time.Minute        // age at which a segment of usage records is closed
	minUsageRotation     = time.Second        // limits the number of segment files
	defaultUsageKeep     = 7 * 24 * time.Hour // retention of acknowledged segments
)

// readRules reads the rules block, which configures the decision module.
func (h *hclConfig) readRules(file *hclfile.File, c *Config) error {
	r := h.Rules
	if r == nil {
		r = &rulesBlock{}
	}
	s := &c.Settings
	if err := r.readDurations(file, s); err != nil {
		return err
	}
	s.SlowStartShare = cmp.Or(r.ColdShare, defaultSlowStartShare)
	s.OverloadFactor = cmp.Or(r.OverloadFactor, defaultOverloadFactor)
	s.MaxAttempts = cmp.Or(r.MaxAttempts, maxAttempts)
	s.MaxUnits = r.MaxUnits
	s.MayCancel = true
	s.MayRetryAfter = s.MaxRetryAfter > 0
	switch {
	case s.SlowStartShare < 0 || s.SlowStartShare > 1:
		return file.ErrorAt("rules.cold_share", "must be from 0 to 1")
	case s.OverloadFactor < 1:
		return file.ErrorAt("rules.overload_factor", "must be 1 or more")
	case s.MaxAttempts < 1 || s.MaxAttempts > maxAttempts:
		return file.ErrorAt("rules.max_attempts", fmt.Sprintf("must be from 1 to %d", maxAttempts))
	case s.MaxUnits < 0:
		return file.ErrorAt("rules.max_units", "below zero")
	}
	return nil
}

// readDurations reads the durations of the rules block. Those that the file omits get the defaults listed here.
func (r *rulesBlock) readDurations(file *hclfile.File, s *decision.Settings) error {
	for _, d := range []struct {
		key, text    string
		defaultValue time.Duration
		into         *decision.Seconds
	}{
		{"drain_grace", r.DrainGrace, 250 * time.Millisecond, &s.DrainGrace},
		{"answer_slack", r.AnswerSlack, 50 * time.Millisecond, &s.AnswerSlack},
		{"warm_up", r.WarmUp, 10 * time.Second, &s.SlowStartTime},
		{"overload_for", r.OverloadFor, time.Second, &s.OverloadFor},
		{"max_retry_after", r.MaxRetryAfter, 5 * time.Second, &s.MaxRetryAfter},
		{"connect_timeout", r.ConnectTimeout, 250 * time.Millisecond, &s.ConnectTimeout},
		{"keepalive", r.Keepalive, 30 * time.Second, &s.Keepalive},
	} {
		value, err := file.Duration("rules."+d.key, d.text, d.defaultValue)
		if err != nil {
			return err
		}
		*d.into = value.Seconds()
	}
	return nil
}

// readClasses reads the classes of requests.
func (h *hclConfig) readClasses(file *hclfile.File, c *Config) error {
	if len(h.Classes) == 0 {
		return file.ErrorAt("class", "there is no class of requests")
	}
	seen := map[string]bool{}
	for _, b := range h.Classes {
		if seen[b.Name] || b.Name == "" || strings.ContainsAny(b.Name, " \t\r\n") {
			return file.ErrorAt(b.path(), "a class needs a name of its own, one word")
		}
		seen[b.Name] = true
		class, err := b.read(file)
		if err != nil {
			return err
		}
		c.Settings.Classes = append(c.Settings.Classes, class)
	}
	return nil
}

// path returns the path of the class's block, at which errors are reported.
func (cb *classBlock) path() string { return "class." + cb.Name }

// read reads one class of requests.
func (cb *classBlock) read(file *hclfile.File) (decision.Class, error) {
	target, err := file.Duration(cb.path()+".aim", cb.Aim, 0)
	if err != nil {
		return decision.Class{}, err
	}
	deadline, err := file.Duration(cb.path()+".deadline", cb.Deadline, 0)
	if err != nil {
		return decision.Class{}, err
	}
	class := decision.Class{
		Name:          cb.Name,
		LatencyTarget: target.Seconds(),
		Deadline:      deadline.Seconds(),
		Value:         cmp.Or(cb.Worth, 1),
		LateValue:     cb.LateWorth,
	}
	switch {
	case target <= 0:
		return class, file.ErrorAt(cb.path()+".aim", "must be more than 0")
	case deadline < target:
		return class, file.ErrorAt(cb.path()+".deadline", "before the aim")
	case class.Value < 0 || class.LateValue < 0 || class.LateValue > 1:
		return class, file.ErrorAt(cb.path(), "worth must be 0 or more, late_worth from 0 to 1")
	}
	switch cb.Repeat {
	case "safe":
		class.Effect = decision.Idempotent
	case "never":
		class.Effect = decision.NonIdempotent
	default:
		return class, file.ErrorAt(cb.path()+".repeat",
			fmt.Sprintf("%q is neither \"safe\" (may run twice) nor \"never\"", cb.Repeat))
	}
	return class, nil
}

// readPlans reads the plans. The file may omit them if it names a catalogue.
func (h *hclConfig) readPlans(file *hclfile.File, c *Config) error {
	for _, p := range h.Plans {
		c.Settings.Plans = append(c.Settings.Plans, p.Plan())
	}
	if len(h.Plans) == 0 && h.Catalogue != nil {
		return nil
	}
	r := plans.Revision{Number: 1, Plans: c.Settings.Plans}
	if problems := r.Validate(); len(problems) > 0 {
		return file.ErrorAt(problems[0].Path, problems[0].Text)
	}
	return nil
}

// readCatalogueAndUsage reads the paths and options of the catalogue and of the usage records. Relative paths are
// resolved against the folder of the file.
func (h *hclConfig) readCatalogueAndUsage(file *hclfile.File, c *Config) error {
	if b := h.Catalogue; b != nil {
		c.Catalogue, c.UseRevisionLog = file.ResolvePath(b.File), b.RevisionLog
		if b.RevisionLog && (c.Membership == nil || len(c.Membership.Voters) == 0 || c.State == "") {
			return file.ErrorAt("catalogue.announce", "needs voters in the fleet's membership, and a state folder")
		}
	}
	if h.Usage == nil {
		return nil
	}
	return h.Usage.read(file, c)
}

func (u *usageBlock) read(file *hclfile.File, c *Config) (err error) {
	usage := &Usage{Dir: file.ResolvePath(u.Dir), Endpoint: u.Endpoint}
	if usage.Rotate, err = file.Duration("usage.rotate", u.Rotate, defaultUsageRotation); err != nil {
		return err
	}
	if usage.Keep, err = file.Duration("usage.keep", u.Keep, defaultUsageKeep); err != nil {
		return err
	}
	if usage.Rotate < minUsageRotation {
		return file.ErrorAt("usage.rotate", "must be 1s or more")
	}
	if u.Endpoint != "" && !strings.HasPrefix(u.Endpoint, "http://") && !strings.HasPrefix(u.Endpoint, "https://") {
		return file.ErrorAt("usage.endpoint", fmt.Sprintf("not a URL: %q", u.Endpoint))
	}
	c.Usage = usage
	return nil
}
