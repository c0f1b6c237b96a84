package settings

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulleinrouter/internal/logging"
)

const example = `# one of ours
self.nodeName=edge-7
self.role=board
self.machineClass=edge
self.serving=edge,control
self.hostIp=10.9.0.7

self.zone=north
self.lossCounted=true
self.limits.cpuFraction=0.25
self.limits.maxFds=900
self.somethingNew=a=b
network.bind.frontAddr=10.9.0.7:8000
network.bind.readyAddr = 10.9.0.7:8001
network.innerPortRange=7000,7003
network.seedNodes=10.9.0.1:9000,10.9.0.2:9000
network.zones.north=r1
network.zones.south.b=r2
platform.beatMs=1250
terms.clauses=base,quota
terms.tolerance.machineLosses=2
terms.bounds.drainMs=2750
terms.bounds.graceS=7.5
terms.bounds.revokeGlobal=true
log.level=warn
log.format=json
`

func TestDecode(t *testing.T) {
	is := is.New(t)
	s, err := Decode("node.conf", example)
	is.NoErr(err)
	is.Equal(s.Serving, []string{"edge", "control"})
	is.Equal([]string{s.Node, s.Role, s.Class, s.Host, s.Zone, s.FrontAddr, s.ReadyAddr, s.ControlAddr},
		[]string{"edge-7", "board", "edge", "10.9.0.7", "north", "10.9.0.7:8000", "10.9.0.7:8001", ""})
	is.Equal(s.Seeds, []string{"10.9.0.1:9000", "10.9.0.2:9000"})
	is.Equal(s.Zones, map[string]string{"north": "r1", "south.b": "r2"})
	is.Equal(s.Clauses, map[string]bool{"base": true, "quota": true})
	is.Equal(s.Tolerance, Tolerance{Machines: 2})
	is.Equal(s.Log, logging.Settings{Level: logging.LevelWarn, Format: logging.JSON})
	is.Equal(s.Limits, Limits{CPUFraction: 0.25, Cores: 1, MaxFDs: 900})
	is.Equal([]bool{s.LossCounted, s.Bootstrap, s.Bounds.RevokeGlobal}, []bool{true, false, true})
	is.Equal([]float64{
		s.HeartbeatInterval, s.Bounds.Drain, s.Bounds.Grace, s.Bounds.Contact, s.Bounds.RetryRatio,
	}, []float64{1.25, 2.75, 7.5, 3, 0.2})
	is.Equal([]string{
		s.InternalAddr(), s.AgentAddr(), s.InternalAddrOf("10.9.0.1:9000"),
		s.InternalAddrOf("a.example:9000"),
	},
		[]string{"10.9.0.7:7000", "127.0.0.1:7000", "10.9.0.1:7000", ""})
	sharedHost := *s
	sharedHost.Host = "127.1.0.7" // several machines share one host
	is.Equal(sharedHost.AgentAddr(), "127.1.0.7:7000")
	is.NoErr(s.Require("proxy"))
	is.NoErr(s.Require("agent"))
	is.Equal(s.Require("control").Error(),
		"network.bind.controlAddr: missing, and control needs it; self.dataPath: missing, and control needs it")
	is.Equal(s.Require("gate").Error(), `no program is named "gate"`)
}

func TestDecodeErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"maxFds=900", "maxFds=x", `node.conf:11: self.limits.maxFds: not a whole number: "x"`},
		{"maxFds=900", "maxFds=9.5", `node.conf:11: self.limits.maxFds: not a whole number: "9.5"`},
		{"maxFds=900", "maxFds=-1", `node.conf:11: self.limits.maxFds: below 0: "-1"`},
		{"cpuFraction=0.25", "cpuFraction=NaN", `node.conf:10: self.limits.cpuFraction: not a number: "NaN"`},
		{"graceS=7.5", "graceS=soon", `node.conf:23: terms.bounds.graceS: not a number: "soon"`},
		{"lossCounted=true", "lossCounted=1", `node.conf:9: self.lossCounted: neither true nor false: "1"`},
		{"serving=edge,control", "serving=edge,", `node.conf:5: self.serving: a list with an empty place: "edge,"`},
		{"hostIp=10.9.0.7\n", "hostIp=edge-7\n", `node.conf:6: self.hostIp: not an IPv4 address: "edge-7"`},
		{
			"frontAddr=10.9.0.7:8000", "frontAddr=10.9.0.7",
			`node.conf:13: network.bind.frontAddr: not an address and a port: "10.9.0.7"`,
		},
		{
			"10.9.0.2:9000", "seed:9000",
			`node.conf:16: network.seedNodes: not a list of addresses with ports: "10.9.0.1:9000,seed:9000"`,
		},
		{
			"7000,7003", "7003,7000",
			`node.conf:15: network.innerPortRange: not two ports, the first and the last: "7003,7000"`,
		},
		{
			"log.level=warn", "log.level=warning",
			`node.conf:25: log.level: neither debug, info, warn nor error: "warning"`,
		},
		{"log.format=json", "log.format=xml", `node.conf:26: log.format: neither logfmt nor json: "xml"`},
		{"7000,7003", "7000", `node.conf:15: network.innerPortRange: not two ports, the first and the last: "7000"`},
		{"7000,7003", "", `node.conf:15: network.innerPortRange: empty: ""`},
		{"self.zone=north", "self.zon=north", `node.conf: self.zone: missing`},
		{"self.zone=north", "self.zone", `node.conf:8: no "=": "self.zone"`},
		{"self.zone=north", "=north", `node.conf:8: no key: "=north"`},
		{"self.zone=north", "self.hostIp=10.9.0.8", `node.conf:8: self.hostIp: given on line 6 already`},
		{
			"self.nodeName=edge-7\nself.role=board\nself.machineClass=edge\nself.serving=edge,control\n" +
				"self.hostIp=10.9.0.7",
			"\nself.bootstrap=no",
			`node.conf:3: self.bootstrap: neither true nor false: "no"; ` +
				`node.conf: self.nodeName: missing; node.conf: self.hostIp: missing`,
		},
	} {
		s, err := Decode("node.conf", strings.Replace(example, c.old, c.new, 1))
		if err == nil || err.Error() != c.want || s != nil {
			t.Errorf("%q in place of %q:\n\t%v, want\n\t%s", c.new, c.old, err, c.want)
		}
	}
}

// A broken or missing file must leave the settings in force, and Reread must return the same error only once. A change
// must be found even if the clock was set back.
func TestWatcherRejectsBrokenFiles(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.conf")
	at := time.Unix(1_700_000_000, 0)
	write := func(text string, moved time.Duration) {
		t.Helper()
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		at = at.Add(moved)
		is.NoErr(os.Chtimes(path, at, at))
	}
	write(example, 0)
	t.Setenv(EnvVariable, path)
	first, err := Load("")
	is.NoErr(err)
	w := NewWatcher("", first)
	expect := func(changed bool, zone, wrong string, again func() (bool, *Settings, error)) {
		t.Helper()
		got, s, err := again()
		if err == nil {
			err = SettingErrors{}
		}
		is.Equal(got, changed)
		is.Equal(s.Zone, zone)
		is.Equal(s, w.Current())
		is.Equal(err.Error(), wrong)
	}
	in := func(zone string) string { return strings.Replace(example, "zone=north", "zone="+zone, 1) }
	expect(false, "north", "", w.Reread)
	write(in("south"), time.Second)
	expect(true, "south", "", w.Reread)
	write(in("north"), 0) // size and time are the same: only a reload finds it
	expect(false, "south", "", w.Reread)
	expect(true, "north", "", w.Reload)
	write(example+"torn", -time.Hour) // the clock was set back
	expect(false, "north", `node.conf:27: no "=": "torn"`, w.Reread)
	expect(false, "north", "", w.Reread) // reported once
	expect(false, "north", `node.conf:27: no "=": "torn"`, w.Reload)
	write(in("east")+"\n\n\n\n", 0) // same size and time as the broken file
	expect(true, "east", "", w.Reread)
	is.Equal(w.Level(), logging.LevelWarn)
	write(strings.Replace(example, "level=warn", "level=debug", 1), time.Second)
	expect(true, "north", "", w.Reload)
	is.Equal(w.Level(), logging.LevelDebug) // a logger that uses the watcher as its Leveler follows the file
	write(in("east"), time.Second)
	expect(true, "east", "", w.Reload)
	is.NoErr(os.Remove(path))
	_, s, err := w.Reread()
	is.True(err != nil && s.Zone == "east")
	_, err = Load(path)
	is.True(err != nil)
}

// Clauses that this version does not implement are reported, so that a deployment does not rely on them in vain.
func TestUnsupportedClauses(t *testing.T) {
	s := &Settings{Clauses: map[string]bool{"base": true, "coord": true, "teleport": true, "antigravity": true}}
	if got := s.UnsupportedClauses(); !slices.Equal(got, []string{"antigravity", "teleport"}) {
		t.Errorf("got %v", got)
	}
	if got := (&Settings{}).UnsupportedClauses(); got != nil {
		t.Errorf("without clauses: got %v", got)
	}
}
