package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"mulleinrouter/internal/emulator/loopback"
)

func TestTryFlags(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "wrong.txt"), []byte("1 kill-proxies\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	runSteps(t, dir, []step{
		{"try --help", 0, []string{"--serve", "--schedule", "With --ingress", "--members"}},
		{"try --members 3", ExitUsage, []string{"--members is for the ingress in service: it goes with --ingress"}},
		{"try --duty", ExitUsage, []string{"--duty is for the ingress in service"}},
		{"try --ingress --core 4", ExitUsage, []string{"--core is for the complete gateway"}},
		{"try --ingress --for 4s", ExitUsage, []string{"--for is for the complete gateway"}},
		{"try --ingress --serve", ExitUsage, []string{"--serve is for the complete gateway"}},
		{"try --serve --for 4s", ExitUsage, []string{"--for does not go with --serve"}},
		{"try --serve --schedule config", ExitUsage, []string{"--schedule does not go with --serve"}},
		{"try --for 0s", ExitUsage, []string{"--for: not a span"}},
		{"try --core 0", ExitUsage, []string{"--core and --edge: at least 1"}},
		{"try --port 65001", ExitUsage, []string{"--port: between 1 and 65000"}},
		{
			"try --schedule kill-proxies", ExitBadFile,
			[]string{`"kill-proxies" is neither a file nor the name of a fault`},
		},
		{"try --schedule DIR/wrong.txt", ExitBadFile, []string{`DIR/wrong.txt:1: no fault is named "kill-proxies"`}},
		{"try --bin DIR", ExitBadFile, []string{`"DIR/proxy"`, "no such file"}},
	})
}

// If the programs are not in this program's folder and cannot be built, the error says what to do.
func TestTryWithoutPrograms(t *testing.T) {
	t.Chdir(t.TempDir())
	runSteps(t, t.TempDir(), []step{{"try", ExitFailure, []string{
		"proxy, agent, control are not all in", "the working directory is not in a checkout of mulleinrouter", "--bin",
	}}})
	if err := os.WriteFile("go.mod", []byte("module mulleinrouter\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Setenv("PATH", "")
	runSteps(t, t.TempDir(), []step{{"try", ExitFailure, []string{"there is no go command", "--bin"}}})
}

func TestModuleRoot(t *testing.T) {
	is := is.New(t)
	root := t.TempDir()
	inner := filepath.Join(root, "cmd", "proxy")
	is.NoErr(os.MkdirAll(inner, 0o755))
	is.NoErr(os.WriteFile(filepath.Join(root, "go.mod"), []byte("module mulleinrouter\n\ngo 1.26\n"), 0o644))
	t.Chdir(inner)
	got, err := moduleRoot()
	is.NoErr(err)
	is.Equal(got, root)
	is.NoErr(os.WriteFile("go.mod", []byte("module other\n"), 0o644)) // another module inside the checkout
	_, err = moduleRoot()
	is.Equal(err, errNoModule)
}

func TestProgressPrinter(t *testing.T) {
	fault := &loopback.Fault{At: 2 * time.Second, Name: "kill-proxy"}
	var run []loopback.Progress
	for _, stage := range []loopback.Stage{loopback.Starting, loopback.Traffic, loopback.Traffic} {
		run = append(run, loopback.Progress{Stage: stage})
	}
	run = append(run, loopback.Progress{
		Stage: loopback.Traffic, Elapsed: 2 * time.Second, Served: 30, Rejected: 2, Failed: 1, Fault: fault,
	})
	for _, c := range []struct {
		name     string
		terminal bool
		want     string
	}{
		{"lines", false, "starting the processes\nclients send requests\n2.0 s: a proxy is killed\n"},
		{"terminal", true, strings.Join([]string{
			"", "starting the processes", "0 s of 5s: 0 served, 0 rejected, 0 failed",
			"0 s of 5s: 0 served, 0 rejected, 0 failed", "2.0 s: a proxy is killed\n",
			"2 s of 5s: 30 served, 2 rejected, 1 failed", "",
		}, clearLine)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			pp := newProgressPrinter(&out, 5*time.Second)
			if pp.terminal {
				t.Error("a buffer was taken for a terminal")
			}
			pp.terminal = c.terminal
			for _, p := range run {
				pp.print(p)
			}
			pp.close()
			if diff := cmp.Diff(c.want, out.String()); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
