package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/emulator/exchange"
)

// configuration is a settings file in JSON. Its placeholders are the addresses of discovery, the counter and the quote
// server, in this order.
const configuration = `{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","counter":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"rev":41,"all":true,"targets":[
 {"uid":"s-1","endpoint":"%s","az":"hall-a","model":"m1","pod_group":0,"state":"active",
  "capacity_hint":1,"boot_ms":0}]},
"settings":{"Balancers":3,"Me":0,"Zone":"hall-a",
 "Classes":[{"Name":"quote-read","Promise":5,"Deadline":30,"Gain":2,"LateWorth":0,"Effect":"pure"},
  {"Name":"summary-send","Promise":20,"Deadline":30,"Gain":3,"LateWorth":0,"Effect":"side_effect"}],
 "Packages":[{"Name":"basic","Refill":0.001,"Burst":2,"Pays":1.2,"BeyondCosts":1},
  {"Name":"plus","Refill":1000,"Burst":1000,"Pays":1.6,"ExcessWorth":0.3}],
 "Invariants":{"AnswerSlack":0.008,"DrainGrace":0.25,"OverloadFactor":2,"OverloadFor":3,
  "StartCapacity":0.21,"WarmUp":18},
 "Permissions":{"Cancelling":true,"ConnectTimeout":5,"Keepalive":600,"RetryAfter":true,"MaxRetryAfter":1,"SendCap":4},
 "FamilyInfo":{"MayCount":true,"CountWait":0.03,"CountFee":0.02,"MaxUnits":2}}}`

// newPlayer starts the program, and returns a player whose script acts as the program's clients, quote server,
// discovery and counter. The listeners discovery2 and counter2 are for scripts that move discovery and the counter to
// other addresses with "@config moved".
func newPlayer(t *testing.T) *exchange.Player {
	t.Helper()
	player := exchange.New(t, "server", "discovery", "counter", "discovery2", "counter2")
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(configuration, player.Addr("discovery"), player.Addr("counter"), player.Addr("server"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, "NODE_CONFIG="+path, "TMPDIR="+t.TempDir())
	listen := regexp.MustCompile(` listen=(\S+)`).FindStringSubmatch(p.awaitLine("code=process-started"))
	if listen == nil {
		t.Fatalf("no address in %q", p.unread)
	}
	player.Target = listen[1]
	player.Hooks["log"] = func(text string) string {
		if line := p.awaitLine(text); !strings.Contains(line, text) {
			return line
		}
		return text
	}
	player.Hooks["config"] = func(word string) string { // replaces the file atomically, as operators do
		text := word
		if text == "moved" {
			text = fmt.Sprintf(configuration, player.Addr("discovery2"), player.Addr("counter2"), player.Addr("server"))
		}
		if err := errors.Join(os.WriteFile(path+".new", []byte(text), 0o600),
			os.Rename(path+".new", path)); err != nil {
			return err.Error()
		}
		return word
	}
	signalHook := func(s syscall.Signal) func(string) string {
		return func(string) string {
			p.cmd.Process.Signal(s)
			return ""
		}
	}
	player.Hooks["hup"] = signalHook(syscall.SIGHUP)
	player.Hooks["term"] = signalHook(syscall.SIGTERM)
	player.Hooks["exit"] = func(string) string { return fmt.Sprint(p.exitCode()) }
	return player
}

// TestProgram plays the scripts in testdata, each against a new process of the program.
func TestProgram(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		t.Parallel()
		newPlayer(t).Play(script)
	})
}

// TestBadConfiguration checks that a configuration that cannot be used is reported in one line, without a crash.
func TestBadConfiguration(t *testing.T) {
	good := fmt.Sprintf(configuration, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1")
	replace := func(from, to string) string { return strings.Replace(good, from, to, 1) }
	for _, tc := range []struct{ name, text, want string }{ // want may end in *, which stands for any text
		{"no file", "",
			"mulleinrouter: NODE_CONFIG: open FILE: no such file or directory"},
		{"not JSON", "hello",
			"mulleinrouter: FILE: not a configuration: *"},
		{"wrong type", `{"name":{"a":` + "\n" + `1}}`,
			"mulleinrouter: FILE: not a configuration: Name: ReadString: *"},
		{"no listen", replace(`"listen":"127.0.0.1:0"`, `"listen":""`),
			`mulleinrouter: FILE: listen: not host:port: ""`},
		{"no settings", replace(`"settings"`, `"other"`),
			"mulleinrouter: FILE: no settings"},
		{"no classes", replace(`"Classes"`, `"Other"`),
			"mulleinrouter: FILE: settings: no classes or no plans"},
		{"bad settings", replace(`"Balancers":3`, `"Balancers":"x"`),
			"mulleinrouter: FILE: settings: Balancers: *"},
		{"bad class", replace(`"Promise":5`, `"Promise":"x"`),
			"mulleinrouter: FILE: settings: Classes: *"},
		{"bad seed", replace(`"seed":"8c`, `"seed":"xx`),
			`mulleinrouter: FILE: seed: not a hexadecimal number: "xx1f30d27a5be964"`},
		{"limits", replace(`"sockets":1024`, `"sockets":-1`),
			"mulleinrouter: FILE: limits: below zero"},
		{"no counter", replace(`"counter":"127.0.0.1:1"`, `"counter":""`),
			"mulleinrouter: FILE: counter: the settings require one, but no address is configured"},
		{"address of another machine", replace(`"listen":"127.0.0.1:0"`, `"listen":"192.0.2.1:1"`),
			"mulleinrouter: listen: *"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if tc.text != "" {
				if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command(program)
			cmd.Env = append(os.Environ(), "NODE_CONFIG="+path)
			out, err := cmd.CombinedOutput()
			if err == nil {
				t.Error("exit code 0, want another")
			}
			got := strings.ReplaceAll(string(out), path, "FILE")
			if strings.Count(got, "\n") != 1 {
				t.Errorf("standard error %q, want one line", got)
			}
			if prefix, isPrefix := strings.CutSuffix(tc.want, "*"); isPrefix {
				if !strings.HasPrefix(got, prefix) {
					t.Errorf("standard error %q, want it to begin with %q", got, prefix)
				}
			} else if diff := cmp.Diff(tc.want+"\n", got); diff != "" {
				t.Errorf("standard error (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTryIngress runs `try --ingress` with an ingress and an exporter killed. The bill of each member must equal what
// the fake servers counted, so that neither crash loses or doubles usage.
func TestTryIngress(t *testing.T) {
	t.Parallel()
	arguments := []string{
		"try", "--ingress", "--seconds", "4", "--members", "20", "--kill", "--crashes", "1", "--faults",
	}
	const want = "the bill is right for each member   yes"
	out, err := exec.Command(program, arguments...).CombinedOutput()
	if err != nil || !strings.Contains(string(out), want) {
		t.Errorf("error %v, want none and %q in the output:\n%s", err, want, out)
	}
}

// TestServeBadHCL checks that serve rejects an unusable HCL file at once. The error begins with the file, line and
// column, and the exit code is 3.
func TestServeBadHCL(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.hcl")
	if err := os.WriteFile(path, []byte("listen = \"127.0.0.1:0\"\nlisten2 = 1\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "serve", "-c", path)
	out, err := cmd.CombinedOutput()
	want := "mulleinrouter: " + path + ":2:1: Unsupported argument"
	if code := cmd.ProcessState.ExitCode(); err == nil || code != 3 || !strings.HasPrefix(string(out), want) {
		t.Errorf("error %v, exit code %d, output %s; want code 3 and %s", err, code, out, want)
	}
}
