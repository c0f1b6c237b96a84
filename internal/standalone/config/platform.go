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

// Environment variables.
const (
	variableConfig    = "NODE_CONFIG" // path of the configuration file
	variableName      = "NODE_NAME"
	variableListen    = "NODE_LISTEN"
	variableDiscovery = "NODE_DISCOVERY"
	variableMgmt      = "NODE_MGMT"
	variableState     = "TMPDIR" // state folder, which the platform preserves during an upgrade
)

// precedence determines which of two sources is used if both have a value.
type precedence int

const (
	// variablesFirst is used at the start.
	variablesFirst precedence = iota
	// fileFirst is used at a reload, because the file may have changed while the variables date from the start of the
	// process.
	fileFirst
)

// platformFile is the platform's format of a configuration. It is an alias of an unnamed type, because the decoder
// includes the name of a named type in its errors, which operators read.
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

// Load reads the file that NODE_CONFIG names. The other variables take precedence over the values in the file.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, variablesFirst) }

// Reload reads the file again. Its values take precedence over the variables, which supply only missing values.
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

// applyVariables sets the values that the environment has, with the given precedence.
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

// applySettings decodes the settings object of the platform's file.
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
