package config

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/fleet/keyring"
	"mulleinrouter/internal/standalone/hclfile"
	"mulleinrouter/internal/standalone/plans"
)

// ours is the form of our own file. Times are spans such as "250ms", rates are units a second.
type ours struct {
	Name      string         `hcl:"name,optional"`
	Listen    string         `hcl:"listen"`
	Mgmt      string         `hcl:"mgmt,optional"`
	State     string         `hcl:"state,optional"`
	Discovery string         `hcl:"discovery,optional"`
	Log       string         `hcl:"log_format,optional"`
	Limits    *limitsBlock   `hcl:"limits,block"`
	Fleet     *fleetBlock    `hcl:"fleet,block"`
	Counter   *counterBlock  `hcl:"counter,block"`
	Rules     *rulesBlock    `hcl:"rules,block"`
	Servers   []serverBlock  `hcl:"server,block"`
	Classes   []classBlock   `hcl:"class,block"`
	Plans     []hclfile.Plan `hcl:"plan,block"`
	Catalogue *planBlock     `hcl:"catalogue,block"`
	Usage     *usageBlock    `hcl:"usage,block"`
}

type limitsBlock struct {
	Cores    float64 `hcl:"cores,optional"`
	MemoryMB int     `hcl:"memory_mb,optional"`
	Sockets  int     `hcl:"sockets,optional"`
}

type fleetBlock struct {
	Ingresses int    `hcl:"ingresses"`
	Number    int    `hcl:"number"`
	Zone      string `hcl:"zone,optional"`

	Membership *membershipBlock `hcl:"membership,block"`
}

type membershipBlock struct {
	Fleet     string   `hcl:"fleet"`
	Listen    string   `hcl:"listen"`
	Advertise string   `hcl:"advertise,optional"`
	Join      []string `hcl:"join,optional"`
	KeyFile   string   `hcl:"key_file,optional"`
	Interval  string   `hcl:"interval,optional"`
	Voters    []string `hcl:"voters,optional"`
	Share     bool     `hcl:"share,optional"`
}

type counterBlock struct {
	Address  string `hcl:"address,optional"`
	Embedded string `hcl:"embedded,optional"`
	Wait     string `hcl:"wait,optional"`
}

type rulesBlock struct {
	DrainGrace     string  `hcl:"drain_grace,optional"`
	AnswerSlack    string  `hcl:"answer_slack,optional"`
	ColdShare      float64 `hcl:"cold_share,optional"`
	WarmUp         string  `hcl:"warm_up,optional"`
	OverloadFactor float64 `hcl:"overload_factor,optional"`
	OverloadFor    string  `hcl:"overload_for,optional"`
	MaxAttempts    int     `hcl:"max_attempts,optional"`
	MaxRetryAfter  string  `hcl:"max_retry_after,optional"`
	ConnectTimeout string  `hcl:"connect_timeout,optional"`
	Keepalive      string  `hcl:"keepalive,optional"`
	MaxUnits       float64 `hcl:"max_units,optional"`
}

type serverBlock struct {
	ID      string  `hcl:"id,label"`
	Address string  `hcl:"address"`
	Zone    string  `hcl:"zone,optional"`
	Kind    string  `hcl:"kind,optional"`
	Size    float64 `hcl:"size,optional"`
	Drained bool    `hcl:"drained,optional"`
}

type classBlock struct {
	Name      string  `hcl:"name,label"`
	Aim       string  `hcl:"aim"`
	Deadline  string  `hcl:"deadline"`
	Worth     float64 `hcl:"worth,optional"`
	LateWorth float64 `hcl:"late_worth,optional"`
	Repeat    string  `hcl:"repeat"`
}

type planBlock struct {
	File     string `hcl:"file"`
	Announce bool   `hcl:"announce,optional"`
}

type usageBlock struct {
	Dir      string `hcl:"dir"`
	Endpoint string `hcl:"endpoint,optional"`
	Rotate   string `hcl:"rotate,optional"`
	Keep     string `hcl:"keep,optional"`
}

// mostAttempts is a rule of the service: no request is sent more often.
const mostAttempts = 4

// File reads a configuration of our own form. Errors name the file, line and column.
func File(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseFile(path, text)
}

// ParseFile reads the text of one.
func ParseFile(name string, text []byte) (*Config, error) {
	var w ours
	f, err := hclfile.Parse(name, text, &w)
	if err != nil {
		return nil, err
	}
	c := &Config{Name: cmp.Or(w.Name, "mulleinrouter"), Listen: w.Listen, Discovery: w.Discovery, LogFormat: w.Log}
	for _, read := range []func(*hclfile.File, *Config) error{w.places, w.servers, w.fleet, w.rules, w.classes, w.plans, w.files} {
		if err := read(f, c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func address(f *hclfile.File, path, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return f.ErrorAt(path, fmt.Sprintf("not host:port: %q", addr))
	}
	return nil
}

// places reads where it listens and what it may use.
func (w *ours) places(f *hclfile.File, c *Config) error {
	if err := address(f, "listen", w.Listen); err != nil {
		return err
	}
	if w.Mgmt != "" {
		if err := address(f, "mgmt", w.Mgmt); err != nil {
			return err
		}
		c.Mgmt = w.Mgmt
	}
	if w.State != "" {
		if info, err := os.Stat(w.State); err != nil || !info.IsDir() {
			return f.ErrorAt("state", fmt.Sprintf("%q is no folder", w.State))
		}
		c.State = w.State
	}
	if w.Log != "" && w.Log != "text" && w.Log != "json" {
		return f.ErrorAt("log_format", fmt.Sprintf("%q is neither \"text\" nor \"json\"", w.Log))
	}
	if l := w.Limits; l != nil {
		c.Limits = Limits{Cores: l.Cores, MemoryMB: l.MemoryMB, Sockets: l.Sockets}
		for _, v := range []struct {
			key string
			bad bool
		}{{"cores", l.Cores < 0}, {"memory_mb", l.MemoryMB < 0}, {"sockets", l.Sockets < 0}} {
			if v.bad {
				return f.ErrorAt("limits."+v.key, "below zero")
			}
		}
	}
	return nil
}

// servers reads the list of quote servers: discovery's, or the one written down.
func (w *ours) servers(f *hclfile.File, c *Config) error {
	if w.Discovery != "" {
		if len(w.Servers) > 0 {
			return f.ErrorAt("server."+w.Servers[0].ID, "servers are written down and discovery is named: only one of them may be")
		}
		return address(f, "discovery", w.Discovery)
	}
	if len(w.Servers) == 0 {
		return f.ErrorAt("server", "neither discovery nor a server is named: nothing could be sent anywhere")
	}
	c.Static = true
	c.Known = &discovery.List{All: true}
	seen := map[string]bool{}
	for _, s := range w.Servers {
		at := "server." + s.ID
		if seen[s.ID] || s.ID == "" {
			return f.ErrorAt(at, "a server needs a name of its own")
		}
		seen[s.ID] = true
		if err := address(f, at+".address", s.Address); err != nil {
			return err
		}
		if s.Size < 0 {
			return f.ErrorAt(at+".size", "below zero")
		}
		state := "active"
		if s.Drained {
			state = "leaving"
		}
		c.Known.Targets = append(c.Known.Targets, discovery.Target{UID: s.ID, Endpoint: s.Address, Zone: s.Zone, Model: s.Kind,
			State: state, Capacity: s.Size})
	}
	return nil
}

// fleet reads which of several ingresses this one is, and the counter that they share.
func (w *ours) fleet(f *hclfile.File, c *Config) error {
	s := &c.Settings
	s.Gateways = 1
	if l := w.Fleet; l != nil {
		if l.Ingresses < 1 {
			return f.ErrorAt("fleet.ingresses", "must be 1 or more")
		}
		if l.Number < 0 || l.Number >= l.Ingresses {
			return f.ErrorAt("fleet.number", fmt.Sprintf("must be from 0 to %d", l.Ingresses-1))
		}
		s.Gateways, s.Index, s.Zone = l.Ingresses, l.Number, l.Zone
		if l.Membership != nil {
			if err := l.Membership.read(f, c); err != nil {
				return err
			}
		}
	}
	k := w.Counter
	if k == nil {
		return nil
	}
	wait, err := f.Duration("counter.wait", k.Wait, 50*time.Millisecond)
	if err != nil {
		return err
	}
	if (k.Address == "") == (k.Embedded == "") {
		return f.ErrorAt("counter", "needs an address, or embedded with an address to listen on, and not both")
	}
	s.HasCounter, s.CounterTimeout = true, wait.Seconds()
	c.Counter, c.Embedded = k.Address, k.Embedded
	if k.Embedded != "" {
		return address(f, "counter.embedded", k.Embedded)
	}
	return address(f, "counter.address", k.Address)
}

const (
	mostName                        = 64 // bytes of a fleet's and of a member's name
	probesOftenest, probesSeldomest = 50 * time.Millisecond, 10 * time.Second
)

// read reads how this ingress knows of the others.
func (b *membershipBlock) read(f *hclfile.File, c *Config) (err error) {
	const at = "fleet.membership."
	m := &Membership{Fleet: b.Fleet, Listen: b.Listen, Advertise: b.Advertise, Join: b.Join, KeyFile: f.ResolvePath(b.KeyFile)}
	if b.Fleet == "" || len(b.Fleet) > mostName {
		return f.ErrorAt(at+"fleet", fmt.Sprintf("a fleet needs a name, of %d bytes at the most", mostName))
	}
	if len(c.Name) > mostName {
		return f.ErrorAt("name", fmt.Sprintf("a member's name has %d bytes at the most", mostName))
	}
	for _, a := range append([]struct{ key, addr string }{{"listen", b.Listen}, {"advertise", cmp.Or(b.Advertise, b.Listen)}}, joins(b.Join)...) {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return f.ErrorAt(at+a.key, fmt.Sprintf("not an address and a port in numbers: %q", a.addr))
		}
	}
	if m.Interval, err = f.Duration(at+"interval", b.Interval, 300*time.Millisecond); err != nil {
		return err
	}
	if m.Interval < probesOftenest || m.Interval > probesSeldomest {
		return f.ErrorAt(at+"interval", fmt.Sprintf("must be from %v to %v", probesOftenest, probesSeldomest))
	}
	if m.KeyFile != "" {
		if _, err := keyring.Read(m.KeyFile); err != nil {
			return f.ErrorAt(at+"key_file", err.Error())
		}
	}
	m.Voters, m.Share = b.Voters, b.Share
	if n := len(b.Voters); n != 0 && n != 1 && n != 3 && n != 5 {
		return f.ErrorAt(at+"voters", "three or five, or one that is not to be lost")
	}
	for i, v := range b.Voters {
		if v == "" || len(v) > mostName || slices.Contains(b.Voters[:i], v) {
			return f.ErrorAt(at+"voters", fmt.Sprintf("each once, by its name: %q", v))
		}
		if v == c.Name && c.State == "" {
			return f.ErrorAt(at+"voters", "a voter needs a state folder that lasts")
		}
	}
	c.Membership = m
	return nil
}

func joins(all []string) (named []struct{ key, addr string }) {
	for _, a := range all {
		named = append(named, struct{ key, addr string }{"join", a})
	}
	return named
}

func (w *ours) rules(f *hclfile.File, c *Config) error {
	r := w.Rules
	if r == nil {
		r = &rulesBlock{}
	}
	s := &c.Settings
	for _, d := range []struct {
		key, text string
		otherwise time.Duration
		into      *decision.Seconds
	}{
		{"drain_grace", r.DrainGrace, 250 * time.Millisecond, &s.DrainGrace},
		{"answer_slack", r.AnswerSlack, 50 * time.Millisecond, &s.AnswerSlack},
		{"warm_up", r.WarmUp, 10 * time.Second, &s.SlowStartTime},
		{"overload_for", r.OverloadFor, time.Second, &s.OverloadFor},
		{"max_retry_after", r.MaxRetryAfter, 5 * time.Second, &s.MaxRetryAfter},
		{"connect_timeout", r.ConnectTimeout, 250 * time.Millisecond, &s.ConnectTimeout},
		{"keepalive", r.Keepalive, 30 * time.Second, &s.Keepalive},
	} {
		v, err := f.Duration("rules."+d.key, d.text, d.otherwise)
		if err != nil {
			return err
		}
		*d.into = v.Seconds()
	}
	s.SlowStartShare, s.OverloadFactor = cmp.Or(r.ColdShare, 0.2), cmp.Or(r.OverloadFactor, 2.5)
	s.MaxAttempts, s.MaxUnits = cmp.Or(r.MaxAttempts, mostAttempts), r.MaxUnits
	s.MayCancel, s.MayRetryAfter = true, s.MaxRetryAfter > 0
	switch {
	case s.SlowStartShare < 0 || s.SlowStartShare > 1:
		return f.ErrorAt("rules.cold_share", "must be from 0 to 1")
	case s.OverloadFactor < 1:
		return f.ErrorAt("rules.overload_factor", "must be 1 or more")
	case s.MaxAttempts < 1 || s.MaxAttempts > mostAttempts:
		return f.ErrorAt("rules.max_attempts", fmt.Sprintf("must be from 1 to %d", mostAttempts))
	case s.MaxUnits < 0:
		return f.ErrorAt("rules.max_units", "below zero")
	}
	return nil
}

func (w *ours) classes(f *hclfile.File, c *Config) error {
	if len(w.Classes) == 0 {
		return f.ErrorAt("class", "there is no class of requests")
	}
	seen := map[string]bool{}
	for _, k := range w.Classes {
		at := "class." + k.Name
		if seen[k.Name] || k.Name == "" || strings.ContainsAny(k.Name, " \t\r\n") {
			return f.ErrorAt(at, "a class needs a name of its own, one word")
		}
		seen[k.Name] = true
		aim, err := f.Duration(at+".aim", k.Aim, 0)
		if err != nil {
			return err
		}
		deadline, err := f.Duration(at+".deadline", k.Deadline, 0)
		if err != nil {
			return err
		}
		class := decision.Class{Name: k.Name, LatencyTarget: aim.Seconds(), Deadline: deadline.Seconds(), Value: cmp.Or(k.Worth, 1), LateValue: k.LateWorth}
		switch {
		case aim <= 0:
			return f.ErrorAt(at+".aim", "must be more than 0")
		case deadline < aim:
			return f.ErrorAt(at+".deadline", "before the aim")
		case class.Value < 0 || class.LateValue < 0 || class.LateValue > 1:
			return f.ErrorAt(at, "worth must be 0 or more, late_worth from 0 to 1")
		}
		switch k.Repeat {
		case "safe":
			class.Effect = decision.Idempotent
		case "never":
			class.Effect = decision.NonIdempotent
		default:
			return f.ErrorAt(at+".repeat", fmt.Sprintf("%q is neither \"safe\" (may run twice) nor \"never\"", k.Repeat))
		}
		c.Settings.Classes = append(c.Settings.Classes, class)
	}
	return nil
}

func (w *ours) plans(f *hclfile.File, c *Config) error {
	for _, p := range w.Plans {
		c.Settings.Plans = append(c.Settings.Plans, p.Plan())
	}
	if len(w.Plans) == 0 && w.Catalogue != nil {
		return nil // they come with the catalogue
	}
	r := plans.Revision{Number: 1, Plans: c.Settings.Plans}
	if all := r.Validate(); len(all) > 0 {
		return f.ErrorAt(all[0].Where, all[0].Text)
	}
	return nil
}

// files reads where the catalogue and the records of use are: beside this file, unless the paths are whole.
func (w *ours) files(f *hclfile.File, c *Config) (err error) {
	if w.Catalogue != nil {
		c.Catalogue, c.AnnounceRevisions = f.ResolvePath(w.Catalogue.File), w.Catalogue.Announce
		if c.AnnounceRevisions && (c.Membership == nil || len(c.Membership.Voters) == 0 || c.State == "") {
			return f.ErrorAt("catalogue.announce", "needs voters in the fleet's membership, and a state folder")
		}
	}
	u := w.Usage
	if u == nil {
		return nil
	}
	c.Usage = &Usage{Dir: f.ResolvePath(u.Dir), Endpoint: u.Endpoint}
	if c.Usage.Rotate, err = f.Duration("usage.rotate", u.Rotate, time.Minute); err != nil {
		return err
	}
	if c.Usage.Keep, err = f.Duration("usage.keep", u.Keep, 7*24*time.Hour); err != nil {
		return err
	}
	if c.Usage.Rotate < time.Second {
		return f.ErrorAt("usage.rotate", "must be 1s or more")
	}
	if u.Endpoint != "" && !strings.HasPrefix(u.Endpoint, "http://") && !strings.HasPrefix(u.Endpoint, "https://") {
		return f.ErrorAt("usage.endpoint", fmt.Sprintf("not a URL: %q", u.Endpoint))
	}
	return nil
}
