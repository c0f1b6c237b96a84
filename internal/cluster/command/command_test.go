package command

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"testing"

	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/settings"
)

func TestParsePlatformCall(t *testing.T) {
	for name, c := range map[string]struct {
		args   []string
		want   ServeOptions
		wantOK bool
	}{
		"serve": {args: []string{"serve"}, wantOK: true},
		"serve with metrics": {
			[]string{"serve", "--metrics", "9464/m"},
			ServeOptions{metrics.Endpoint{Port: 9464, Path: "/m"}},
			true,
		},
		"a bad endpoint":     {args: []string{"serve", "--metrics", "m"}},
		"another command":    {args: []string{"check"}},
		"a further argument": {args: []string{"serve", "file"}},
		"no command":         {},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := parsePlatformCall(c.args)
			if ok != c.wantOK || ok && got != c.want {
				t.Errorf("got %v, %t, want %v, %t", got, ok, c.want, c.wantOK)
			}
		})
	}
}

func TestExitCode(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want int
	}{
		"done":                     {nil, 0},
		"failed":                   {errors.New("failed"), 1},
		"unusable settings":        {&SettingsError{Err: settings.ErrNoFile}, 3},
		"wrapped unusable setting": {fmt.Errorf("start: %w", &SettingsError{Err: settings.ErrNoFile}), 3},
	} {
		t.Run(name, func(t *testing.T) {
			if got := exitCode(c.err); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	text := strings.Join([]string{
		"self.nodeName=a", "self.hostIp=10.0.0.1", "self.zone=z", "network.innerPortRange=7000,7001",
		"network.seedNodes=10.0.0.2:80",
	}, "\n")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := Load(path, "agent"); err != nil || s.Node != "a" {
		t.Errorf("got %v, %v, want the settings of node a", s, err)
	}
	var incomplete settings.SettingErrors
	if _, err := Load(path, "control"); exitCode(err) != exitSettings || !errors.As(err, &incomplete) {
		t.Errorf("a control node without a disk: got %v, want SettingErrors", err)
	}
	if _, err := Load(path+"x", "agent"); exitCode(err) != exitSettings || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a missing file: got %v, want %v", err, fs.ErrNotExist)
	}
}

func TestPrograms(t *testing.T) {
	for _, c := range []struct {
		role, class string
		want        []string
	}{
		{"agent", "edge", []string{Agent}},
		{"", "edge", []string{Proxy, Agent}},
		{"", "core", []string{Control}},
		{"other", "", nil},
	} {
		if got := Programs(&settings.Settings{Role: c.role, Class: c.class}); !slices.Equal(got, c.want) {
			t.Errorf("role %q, class %q: got %v, want %v", c.role, c.class, got, c.want)
		}
	}
}

func TestBuildInfo(t *testing.T) {
	build := &debug.BuildInfo{GoVersion: "go1.26.8", Main: debug.Module{Version: "v1.2.3"}}
	if got, want := newBuildInfo("proxy", build).String(), "proxy unknown, go1.26.8"; got != want {
		t.Errorf("outside of a repository: got %q, want %q", got, want)
	}
	build.Settings = []debug.BuildSetting{
		{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"},
	}
	got := newBuildInfo("proxy", build)
	want := BuildInfo{Program: "proxy", Version: "v1.2.3", Commit: "0123456789ab", Modified: true, GoVersion: "go1.26.8"}
	if got != want || got.String() != "proxy 0123456789ab+changes, go1.26.8" {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
