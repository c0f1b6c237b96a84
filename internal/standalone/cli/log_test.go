package cli

import (
	"testing"

	"mulleinrouter/internal/logging"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/node"
)

// The flags take precedence over the file.
func TestLogSettings(t *testing.T) {
	file := logging.Settings{Level: logging.LevelWarn, Format: logging.JSON}
	for name, c := range map[string]struct {
		program Program
		want    logging.Settings
	}{
		"file":   {Program{}, file},
		"level":  {Program{LogLevel: "debug"}, logging.Settings{Level: logging.LevelDebug, Format: logging.JSON}},
		"format": {Program{LogFormat: "logfmt"}, logging.Settings{Level: logging.LevelWarn, Format: logging.Logfmt}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.program.logSettings(file); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

const logTestConfig = `
listen = "127.0.0.1:0"
class "quote-read" {
  aim      = "20s"
  deadline = "30s"
  repeat   = "safe"
}
plan "basic" {
  rate         = 4
  burst        = 12
  beyond_costs = 1
}
`

// A reload calls its callback with the configuration that it applied, and does not call it for a rejected file.
func TestReloadAppliesLogLevel(t *testing.T) {
	const servers = "server \"q\" {\n  address = \"127.0.0.1:1\"\n}\n"
	load := func(text string) loadConfig {
		return func(func(string) string) (*config.Config, error) {
			return config.ParseFile("test.hcl", []byte(logTestConfig+text))
		}
	}
	c, err := load(servers)(nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := node.Start(c, logtest.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	for _, step := range []struct {
		name, text string
		want       logging.Level // level after the reload; it is info before
	}{
		{"applied", servers + `log_level = "debug"`, logging.LevelDebug},
		{"not parsed", servers + `log_level = "loud"`, logging.LevelInfo},
		{"rejected by the node", "discovery = \"127.0.0.1:1\"\nlog_level = \"error\"", logging.LevelInfo},
	} {
		t.Run(step.name, func(t *testing.T) {
			level := logging.LevelInfo
			reloadNode(n, logtest.Discard(), load(step.text), func(c *config.Config) { level = c.Log.Level })
			if level != step.want {
				t.Errorf("level: got %v, want %v", level, step.want)
			}
		})
	}
}
