package commandline

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"testing"

	"mulleinrouter/internal/cluster/settings"
)

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
	var unusable *SettingsError
	var incomplete settings.SettingErrors
	if _, err := Load(path, "control"); !errors.As(err, &unusable) || !errors.As(err, &incomplete) {
		t.Errorf("a control node without a disk: got %v, want a SettingsError of SettingErrors", err)
	}
	unusable = nil
	if _, err := Load(path+"x", "agent"); !errors.As(err, &unusable) || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a missing file: got %v, want a SettingsError of %v", err, fs.ErrNotExist)
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
	want := BuildInfo{
		Program: "proxy", Version: "v1.2.3", Commit: "0123456789ab", Modified: true, GoVersion: "go1.26.8",
	}
	if got != want || got.String() != "proxy 0123456789ab+changes, go1.26.8" {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
