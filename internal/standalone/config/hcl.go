package config

import (
	"cmp"
	"fmt"
	"net"
	"os"

	"mulleinrouter/internal/logging"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/hclfile"
)

// hclConfig is the top level of an HCL configuration. Times are durations such as "250ms", rates are units per second.
type hclConfig struct {
	Name      string          `hcl:"name,optional"`
	Listen    string          `hcl:"listen"`
	Mgmt      string          `hcl:"mgmt,optional"`
	State     string          `hcl:"state,optional"`
	Discovery string          `hcl:"discovery,optional"`
	LogLevel  string          `hcl:"log_level,optional"`
	LogFormat string          `hcl:"log_format,optional"`
	Limits    *limitsBlock    `hcl:"limits,block"`
	Fleet     *fleetBlock     `hcl:"fleet,block"`
	Counter   *counterBlock   `hcl:"counter,block"`
	Rules     *rulesBlock     `hcl:"rules,block"`
	Servers   []serverBlock   `hcl:"server,block"`
	Classes   []classBlock    `hcl:"class,block"`
	Plans     []hclfile.Plan  `hcl:"plan,block"`
	Catalogue *catalogueBlock `hcl:"catalogue,block"`
	Usage     *usageBlock     `hcl:"usage,block"`
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

// rulesBlock configures the decision module. readRules maps its fields to those of decision.Settings, which describes
// their meaning.
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
	Kind    string  `hcl:"kind,optional"`    // machine type; servers of the same kind have similar latency
	Size    float64 `hcl:"size,optional"`    // relative capacity; 0: not known
	Drained bool    `hcl:"drained,optional"` // the server gets no new requests
}

type classBlock struct {
	Name      string  `hcl:"name,label"`
	Aim       string  `hcl:"aim"`                 // latency target; an answer within it earns the full value
	Deadline  string  `hcl:"deadline"`            // time after which the client times out
	Worth     float64 `hcl:"worth,optional"`      // value of a request; 0 means 1
	LateWorth float64 `hcl:"late_worth,optional"` // share of the value that a later answer earns, 0 to 1
	Repeat    string  `hcl:"repeat"`              // "safe" if a request may run twice, otherwise "never"
}

type catalogueBlock struct {
	File        string `hcl:"file"`
	RevisionLog bool   `hcl:"announce,optional"`
}

type usageBlock struct {
	Dir      string `hcl:"dir"`
	Endpoint string `hcl:"endpoint,optional"`
	Rotate   string `hcl:"rotate,optional"`
	Keep     string `hcl:"keep,optional"`
}

// defaultName is the name of an ingress whose file does not set one.
const defaultName = "mulleinrouter"

// LoadFile reads an HCL configuration. Its errors name the file, line and column.
func LoadFile(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseFile(path, text)
}

// ParseFile parses the text of an HCL configuration. The name is the path of the file, which errors state. Relative
// paths of the catalogue, the usage records and the key file are resolved against its folder.
func ParseFile(name string, text []byte) (*Config, error) {
	var form hclConfig
	file, err := hclfile.Parse(name, text, &form)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name:      cmp.Or(form.Name, defaultName),
		Listen:    form.Listen,
		Discovery: form.Discovery,
	}
	for _, read := range []func(*hclfile.File, *Config) error{
		form.readProcess,
		form.readServers,
		form.readFleet,
		form.readRules,
		form.readClasses,
		form.readPlans,
		form.readCatalogueAndUsage,
	} {
		if err := read(file, c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// checkAddress returns an error for an address that does not have the form host:port.
func checkAddress(file *hclfile.File, path, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return file.ErrorAt(path, fmt.Sprintf("not host:port: %q", addr))
	}
	return nil
}

// readProcess reads the addresses on which the process listens, its state folder, its log settings and its limits.
func (h *hclConfig) readProcess(file *hclfile.File, c *Config) error {
	if err := checkAddress(file, "listen", h.Listen); err != nil {
		return err
	}
	if h.Mgmt != "" {
		if err := checkAddress(file, "mgmt", h.Mgmt); err != nil {
			return err
		}
		c.Mgmt = h.Mgmt
	}
	if h.State != "" {
		if info, err := os.Stat(h.State); err != nil || !info.IsDir() {
			return file.ErrorAt("state", fmt.Sprintf("%q is no folder", h.State))
		}
		c.State = h.State
	}
	if err := h.readLog(file, c); err != nil {
		return err
	}
	return h.readLimits(file, c)
}

// readLog reads the log level and format.
func (h *hclConfig) readLog(file *hclfile.File, c *Config) (err error) {
	if c.Log.Level, err = logging.ParseLevel(h.LogLevel); err != nil {
		return file.ErrorAt("log_level", fmt.Sprintf("%v: %q", err, h.LogLevel))
	}
	if c.Log.Format, err = logging.ParseFormat(h.LogFormat); err != nil {
		return file.ErrorAt("log_format", fmt.Sprintf("%v: %q", err, h.LogFormat))
	}
	return nil
}

func (h *hclConfig) readLimits(file *hclfile.File, c *Config) error {
	l := h.Limits
	if l == nil {
		return nil
	}
	c.Limits = Limits{Cores: l.Cores, MemoryMB: l.MemoryMB, Sockets: l.Sockets}
	for _, limit := range []struct {
		key      string
		negative bool
	}{
		{"cores", l.Cores < 0},
		{"memory_mb", l.MemoryMB < 0},
		{"sockets", l.Sockets < 0},
	} {
		if limit.negative {
			return file.ErrorAt("limits."+limit.key, "below zero")
		}
	}
	return nil
}

// readServers reads the source of the list of quote servers, which is either discovery or the file itself.
func (h *hclConfig) readServers(file *hclfile.File, c *Config) error {
	if h.Discovery != "" {
		if len(h.Servers) > 0 {
			return file.ErrorAt("server."+h.Servers[0].ID,
				"servers are listed and discovery is configured: only one of them is allowed")
		}
		return checkAddress(file, "discovery", h.Discovery)
	}
	if len(h.Servers) == 0 {
		return file.ErrorAt("server", "neither discovery nor a server is named: nothing could be sent anywhere")
	}
	c.Static = true
	c.Known = &discovery.List{All: true}
	seen := map[string]bool{}
	for _, s := range h.Servers {
		path := "server." + s.ID
		if seen[s.ID] || s.ID == "" {
			return file.ErrorAt(path, "a server needs a name of its own")
		}
		seen[s.ID] = true
		if err := checkAddress(file, path+".address", s.Address); err != nil {
			return err
		}
		if s.Size < 0 {
			return file.ErrorAt(path+".size", "below zero")
		}
		c.Known.Targets = append(c.Known.Targets, s.target())
	}
	return nil
}

// target converts the server to a target of discovery.
func (s serverBlock) target() discovery.Target {
	state := "active"
	if s.Drained {
		state = "leaving"
	}
	return discovery.Target{
		UID:      s.ID,
		Endpoint: s.Address,
		Zone:     s.Zone,
		Model:    s.Kind,
		State:    state,
		Capacity: s.Size,
	}
}
