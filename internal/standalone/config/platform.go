package config

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/settings"
)

// Variables of the environment.
const (
	variableConfig    = "NODE_CONFIG" // path of the file
	variableName      = "NODE_NAME"
	variableListen    = "NODE_LISTEN"
	variableDiscovery = "NODE_DISCOVERY"
	variableMgmt      = "NODE_MGMT"
	variableState     = "TMPDIR" // a folder that the platform keeps over an upgrade
)

// precedence says which of two sources wins where both have a value.
type precedence int

const (
	// variablesFirst is right at the start.
	variablesFirst precedence = iota
	// fileFirst is right at a reload: the file is newer than the variables, which are as old as the process.
	fileFirst
)

// platformFile is the platform's form of a configuration. It is an alias of a type without a name, for the decoder
// puts a type's name into its errors, which operators read.
type platformFile = struct {
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

// Load reads the file that NODE_CONFIG names. The other variables win over what the file says.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, variablesFirst) }

// Reload reads the file again. It wins over the variables, which fill in what it leaves out.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, fileFirst) }

func load(getenv func(string) string, order precedence) (*Config, error) {
	path := getenv(variableConfig)
	if path == "" {
		return nil, ErrNoVariable
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", variableConfig, err)
	}
	c, err := parse(raw, getenv, order)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func parse(raw []byte, getenv func(string) string, order precedence) (*Config, error) {
	var file platformFile
	if err := jsontext.Decode(raw, &file); err != nil {
		return nil, fmt.Errorf("not a configuration: %w", err)
	}
	c := &Config{
		Name:      file.Name,
		Listen:    file.Listen,
		Discovery: file.Discovery,
		Counter:   file.Counter,
		Mgmt:      file.Mgmt,
		Limits:    file.Limits,
		Known:     file.Known,
		State:     getenv(variableState),
	}
	c.applyVariables(getenv, order)
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if file.Seed != "" {
		seed, err := strconv.ParseUint(file.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: not a hexadecimal number: %q", file.Seed)
		}
		c.Seed = seed
	}
	if l := c.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return nil, ErrNegativeLimits
	}
	if err := c.applySettings(file.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// applyVariables sets what the environment names.
func (c *Config) applyVariables(getenv func(string) string, order precedence) {
	for variable, value := range map[string]*string{
		variableName:      &c.Name,
		variableListen:    &c.Listen,
		variableDiscovery: &c.Discovery,
		variableMgmt:      &c.Mgmt,
	} {
		if v := getenv(variable); v != "" && (*value == "" || order == variablesFirst) {
			*value = v
		}
	}
}

func (c *Config) checkAddresses() error {
	for _, a := range []struct {
		name, addr string
		optional   bool
	}{
		{"listen", c.Listen, false},
		{"discovery", c.Discovery, false},
		{"counter", c.Counter, true},
		{"mgmt", c.Mgmt, true},
	} {
		if a.addr == "" && a.optional {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: not host:port: %q", a.name, a.addr)
		}
	}
	return nil
}

// applySettings reads the platform's settings object.
func (c *Config) applySettings(raw []byte) (err error) {
	c.SettingsRaw = raw
	if c.Settings, err = settings.Decode(raw); err != nil {
		return err
	}
	if len(c.Settings.Classes) == 0 || len(c.Settings.Plans) == 0 {
		return ErrNoClassesOrPlans
	}
	if c.Settings.HasCounter && c.Counter == "" {
		return ErrNoCounterAddress
	}
	return nil
}
