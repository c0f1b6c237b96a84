package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/discovery"
)

const platformText = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","counter":"127.0.0.1:3",
"seed":"ff","later":[],
"limits":{"cores":1.5,"memory_mb":192,"sockets":1024},
"known":{"rev":7,"all":true,"targets":[
{"uid":"s","endpoint":"h:1","az":"a","model":"m","state":"leaving","capacity_hint":2,"boot_ms":1500}]},
"settings":{"Balancers":3,"Me":1,"Classes":[{"Name":"c","Promise":1,"Deadline":3,"Gain":2,"Effect":"pure"}],
"Packages":[{"Name":"p","Refill":4,"Burst":5,"Pays":1.2}],"FamilyInfo":{"MayCount":true,"CountWait":0.03}}}`

// The file alone is a complete configuration. Each variable takes precedence over the key of the same setting, and does
// not affect other settings. TMPDIR sets the state folder, which has no key in the file.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(platformText), 0o600); err != nil {
		t.Fatal(err)
	}
	want := func(change func(*Config)) *Config {
		c := &Config{
			Name: "n1", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Counter: "127.0.0.1:3", Seed: 255,
			Limits: Limits{Cores: 1.5, MemoryMB: 192, Sockets: 1024},
			Known: &discovery.List{Rev: 7, All: true, Targets: []discovery.Target{
				{UID: "s", Endpoint: "h:1", Zone: "a", Model: "m", State: "leaving", Capacity: 2, BootMs: 1500}}},
			Settings: decision.Settings{
				Gateways: 3, Index: 1, HasCounter: true, CounterTimeout: 0.03,
				Classes: []decision.Class{
					{Name: "c", LatencyTarget: 1, Deadline: 3, Value: 2, Effect: decision.Idempotent},
				},
				Plans: []decision.Plan{{Name: "p", Rate: 4, Burst: 5, ValueWeight: 1.2}},
			},
		}
		change(c)
		return c
	}
	for _, tc := range []struct {
		name string
		env  map[string]string
		want *Config
	}{
		{"the file alone", nil, want(func(*Config) {})},
		{"name", map[string]string{"NODE_NAME": "n9"}, want(func(c *Config) { c.Name = "n9" })},
		{"listen", map[string]string{"NODE_LISTEN": "127.0.0.9:1"}, want(func(c *Config) { c.Listen = "127.0.0.9:1" })},
		{"discovery", map[string]string{"NODE_DISCOVERY": "127.0.0.9:2"},
			want(func(c *Config) { c.Discovery = "127.0.0.9:2" })},
		{"state", map[string]string{"TMPDIR": "/x"}, want(func(c *Config) { c.State = "/x" })},
		{"management", map[string]string{"NODE_MGMT": "127.0.0.9:4"}, want(func(c *Config) { c.Mgmt = "127.0.0.9:4" })},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := Load(func(name string) string {
				if name == "NODE_CONFIG" {
					return path
				}
				return tc.env[name]
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(got.SettingsRaw) == 0 {
				t.Error("SettingsRaw is empty, want the settings as the file has them")
			}
			got.SettingsRaw = nil
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("Load() (-want +got):\n%s", diff)
			}
		})
	}
}

// At a reload the file takes precedence, because it is newer than the variables. These supply missing values only.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	withoutListen := strings.Replace(platformText, `"listen":"127.0.0.1:1",`, "", 1)
	if err := os.WriteFile(path, []byte(withoutListen), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"NODE_CONFIG": path, "NODE_LISTEN": "127.0.0.9:1", "NODE_DISCOVERY": "127.0.0.9:2"}
	c, err := Reload(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"127.0.0.9:1", "127.0.0.1:2"}, []string{c.Listen, c.Discovery}); diff != "" {
		t.Errorf("listen and discovery (-want +got):\n%s", diff)
	}
}

// Without NODE_CONFIG the error names the variable, instead of reporting that a file with an empty name is missing.
func TestLoadWithoutVariable(t *testing.T) {
	_, err := Load(func(string) string { return "" })
	if !errors.Is(err, ErrNoVariable) || err.Error() != "NODE_CONFIG is not set" {
		t.Errorf("Load() = %v, want %v", err, ErrNoVariable)
	}
}
