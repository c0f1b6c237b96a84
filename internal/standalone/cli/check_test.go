package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const coreSettings = `# a control node
self.nodeName=a
self.hostIp=10.0.0.1
self.zone=z
self.machineClass=core
self.dataPath=/data
network.bind.controlAddr=10.0.0.1:80
network.innerPortRange=7000,7001
network.seedNodes=10.0.0.2:80
`

// writeFiles writes files, given by name, into a new temporary folder.
func writeFiles(t *testing.T, files map[string]string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestCheckSettings(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"core.conf": coreSettings,
		"one.conf":  strings.Replace(coreSettings, "self.dataPath=/data", "", 1),
	})
	runSteps(t, dir, []step{
		{"check DIR/core.conf", 0, []string{
			"DIR/core.conf: settings in order",
			"node a in z, control at 10.0.0.1:80, inner at 10.0.0.1:7000, disk at /data, bootstrap false",
		}},
		{"check DIR/core.conf --program agent", 0, []string{"node a in z, proxy at 127.0.0.1:7000"}},
		{"check DIR/core.conf --output json", 0, []string{`"valid":true,"programs":[{"program":"control",`}},
		{"check DIR/one.conf", ExitBadFile, []string{"mulleinrouter: one.conf: self.dataPath: missing, and control"}},
		{"check DIR/none.conf", ExitBadFile, []string{"no such file"}},
	})
}

// Each error of a file is listed on its own line with its position. The command's error is one line.
func TestCheckReportsEachError(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"bad.conf": strings.NewReplacer("10.0.0.1:80", "there", "zone=z", "zone=").Replace(coreSettings),
		"bad.hcl":  "listen = \"127.0.0.1:0\"\nlistn = 1\n\nlog_fromat = \"text\"\n",
		"bad.json": `{"listen":1}`,
	})
	for _, c := range []struct{ file, want, wantError string }{
		{
			"bad.conf",
			`DIR/bad.conf:4: self.zone: empty: ""
DIR/bad.conf:7: network.bind.controlAddr: not an address and a port: "there"
`,
			`mulleinrouter: bad.conf:4: self.zone: empty: ""; bad.conf:7: network.bind.controlAddr: `,
		},
		{
			"bad.hcl",
			`DIR/bad.hcl:2:1: Unsupported argument: An argument named "listn" is not expected here.
DIR/bad.hcl:4:1: Unsupported argument: An argument named "log_fromat" is not expected here. ` +
				`Did you mean "log_format"?
`,
			"mulleinrouter: DIR/bad.hcl:2:1: Unsupported argument: ",
		},
	} {
		code, out, errOut := run(dir, "check DIR/"+c.file)
		if diff := cmp.Diff(c.want, out); code != ExitBadFile || diff != "" {
			t.Errorf("%s: exit code %d, output (-want +got):\n%s", c.file, code, diff)
		}
		if !strings.HasPrefix(errOut, c.wantError) || strings.Count(errOut, "\n") != 1 {
			t.Errorf("%s: error %q, want one line with %q", c.file, errOut, c.wantError)
		}
		code, out, _ = run(dir, "check --output json DIR/"+c.file)
		var report checkReport
		if err := json.Unmarshal([]byte(out), &report); err != nil {
			t.Fatalf("%s: %v in %s", c.file, err, out)
		}
		if code != ExitBadFile || report.Valid || len(report.Problems) != 2 || report.Problems[1].Line == 0 {
			t.Errorf("%s: exit code %d, report %+v, want two problems with their lines", c.file, code, report)
		}
	}
	runSteps(t, dir, []step{{"check DIR/bad.json", ExitBadFile, []string{"DIR/bad.json: not a configuration: "}}})
}
