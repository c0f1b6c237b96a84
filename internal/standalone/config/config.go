// Package config reads what an ingress is told at its start: the variables and the file they name.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/faultinjection"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/settings"
)

// Config is the configuration of one ingress.
type Config struct {
	Name, Listen, Discovery string
	Counter                 string // empty where there is none
	Mgmt                    string // the management address, for operators alone; empty: none
	State                   string // folder that this ingress's processes share while one upgrades another; empty: none
	Seed                    uint64
	Limits                  Limits
	Known                   *discovery.List // nil: none
	Settings                decision.Settings
	SettingsRaw             []byte // the settings as the file has them, to check a newer file against; nil: our own form

	// Only our own file names these: the platform gives no place for them.
	Static    bool   // Known is the whole list: there is no discovery
	Embedded  string // address where this ingress serves a counter of its own; empty: none
	Catalogue string // file of plans that change in service; empty: none
	AnnounceRevisions  bool   // revisions of the catalogue hold once the holder of that duty has announced them
	Usage     *Usage // nil: use is not metered
	LogFormat string // text or json; empty: text

	Membership *Membership // nil: ingresses do not know of each other

	FaultInjection *faultinjection.Faults // of a process that a rehearsal started; no file names them
}

// Membership is how this ingress knows of the others of its fleet.
type Membership struct {
	Fleet     string        // name of the fleet: what comes from another is refused
	Listen    string        // host:port for datagrams and streams
	Advertise string        // host:port that others are told; empty: Listen
	Join      []string      // addresses of others, to begin with
	KeyFile   string        // empty: nothing is sealed
	Interval  time.Duration // of probes
	Share     bool          // quotas are shared by loans while the counter is not trusted, and judgements on servers
	Voters    []string      // names of those that agree on who holds a duty; empty: there are no duties
}

// Usage is where use is recorded, and whom it is told.
type Usage struct {
	Dir      string
	Endpoint string        // URL that takes batches; empty: none
	Rotate   time.Duration // a segment is closed after this, and can be exported
	Keep     time.Duration // how long segments stay after they have been acknowledged
}

// Limits are those of the ingress's machine. Zero means: not told.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the file that NODE_CONFIG names. The other variables win over what the file says.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, false) }

// Reload reads the file again. Its word is newer than the variables, which are as old as the process: they
// only fill in what it leaves out.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, true) }

func load(getenv func(string) string, fileFirst bool) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	c, err := parse(raw, getenv, fileFirst)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func parse(raw []byte, getenv func(string) string, fileFirst bool) (*Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Counter   string          `json:"counter"`
		Mgmt      string          `json:"mgmt"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     *discovery.List `json:"known"`
		Settings  jsontext.Raw    `json:"settings"`
	}
	if err := jsontext.Decode(raw, &file); err != nil {
		return nil, fmt.Errorf("not a configuration: %w", err)
	}
	c := &Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Counter: file.Counter, Mgmt: file.Mgmt,
		Limits: file.Limits, Known: file.Known, State: getenv("TMPDIR"), // which the platform keeps over an upgrade
	}
	for name, value := range map[string]*string{
		"NODE_NAME": &c.Name, "NODE_LISTEN": &c.Listen, "NODE_DISCOVERY": &c.Discovery, "NODE_MGMT": &c.Mgmt,
	} {
		if v := getenv(name); v != "" && (*value == "" || !fileFirst) {
			*value = v
		}
	}
	for _, a := range []struct {
		name, addr string
		optional   bool
	}{{"listen", c.Listen, false}, {"discovery", c.Discovery, false}, {"counter", c.Counter, true}, {"mgmt", c.Mgmt, true}} {
		if a.addr == "" && a.optional {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: not host:port: %q", a.name, a.addr)
		}
	}
	var err error
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: not a hexadecimal number: %q", file.Seed)
		}
	}
	if l := c.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return nil, errors.New("limits: below zero")
	}
	c.SettingsRaw = file.Settings
	if c.Settings, err = settings.Decode(file.Settings); err != nil {
		return nil, err
	}
	if len(c.Settings.Classes) == 0 || len(c.Settings.Plans) == 0 {
		return nil, errors.New("settings: no classes or no plans")
	}
	if c.Settings.HasCounter && c.Counter == "" {
		return nil, errors.New("counter: the settings promise one, but there is no address")
	}
	return c, nil
}
