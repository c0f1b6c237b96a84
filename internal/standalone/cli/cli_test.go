package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/usagesegment"
)

const plansFile = `revision "1" {
  bookable_rate = 100
  plan "basic" {
    rate  = 4
    burst = 8
  }
  plan "plus" {
    rate          = 10
    burst         = 20
    ceiling_rate  = 15
    ceiling_depth = 30
  }
  members = {
    basic = ["00000000000000aa"]
    plus  = ["00000000000000bb"]
  }
}
`

// run runs a command line. DIR in it is replaced by a folder, and the folder in the output is replaced by DIR.
func run(dir, line string) (code int, out, errOut string) {
	var outBuffer, errBuffer bytes.Buffer
	code = Main(strings.Fields(strings.ReplaceAll(line, "DIR", dir)), &outBuffer, &errBuffer)
	hideDir := func(b bytes.Buffer) string { return strings.ReplaceAll(b.String(), dir, "DIR") }
	return code, hideDir(outBuffer), hideDir(errBuffer)
}

// step is a command line with its expected exit code and texts that its output must contain.
type step struct {
	line string
	code int
	want []string
}

// singleSpaced replaces each run of white space by one space, because the width of table columns is not compared.
func singleSpaced(s string) string { return strings.Join(strings.Fields(s), " ") }

// runSteps runs command lines one after another, and checks their exit codes and output. An error must be one line.
func runSteps(t *testing.T, dir string, steps []step) {
	t.Helper()
	for _, s := range steps {
		code, out, errOut := run(dir, s.line)
		if code != s.code {
			t.Errorf("%s: exit code %d, want %d\n%s%s", s.line, code, s.code, out, errOut)
		}
		for _, text := range s.want {
			if !strings.Contains(singleSpaced(out+errOut), singleSpaced(text)) {
				t.Errorf("%s: want %q in the output:\n%s%s", s.line, text, out, errOut)
			}
		}
		if code != 0 && s.code != ExitUsage && strings.Count(errOut, "\n") != 1 {
			t.Errorf("%s: want an error of one line:\n%s", s.line, errOut)
		}
	}
}

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	runSteps(t, dir, []step{
		{"--help", 0, []string{
			"Exit codes: 0 done, 1 failed, 2 wrong command line, 3 a file",
			"plans apply", "usage verify", "try", "model-check states", "fault-test",
		}},
		{"book add --help", 0, []string{"--units", "spread evenly over the span"}},
		{"nonsense", ExitUsage, []string{"nonsense"}},
		{"serve --log-format xml", ExitUsage, []string{"--log-format"}},
		{"serve --log-level loud", ExitUsage, []string{"--log-level"}},
		{"check", ExitUsage, []string{"<file>"}},
		{"version", 0, []string{"mulleinrouter ", "go1.", "version "}},
		{"version --output json", 0, []string{`{"program":"mulleinrouter","version":"`, `"commit":"`, `"go":"go1.`}},
		{
			"completion bash", 0,
			[]string{"complete -o default -F _mulleinrouter mulleinrouter", "'plans show:--output'"},
		},
		{"completion sh", ExitUsage, []string{"bash"}},
		{"members --at 127.0.0.1:1", ExitFailure, []string{"connection refused"}},
		{"replace -c DIR/none a b", ExitBadFile, []string{"no such file"}},
		{"serve -c DIR/none.hcl", ExitBadFile, []string{"mulleinrouter: configuration: open DIR/none.hcl"}},
		{"check ../../../deploy/single.hcl", 0,
			[]string{"a configuration in order", "2 listed in the configuration", "use            not recorded"}},
		{"usage show DIR/none", ExitBadFile, []string{"no such file"}},
	})
}

// Earlier names of commands still work, and the help does not list them.
func TestEarlierNamesOfCommands(t *testing.T) {
	dir := t.TempDir()
	runSteps(t, dir, []step{
		{"audit states --help", 0, []string{"--depth", "--random"}},
		{"audit states --depth 1 --random 0", 0, []string{"violations 0"}},
		{"audit replay DIR/none", ExitBadFile, []string{"no such file"}},
		{"rehearse --help", 0, []string{"--beside", "--slack"}},
		{"rehearse DIR/none.hcl", ExitBadFile, []string{"no such file"}},
		{"serve --rehearsal DIR/none -c DIR/none.hcl", ExitBadFile, []string{"no such file"}},
	})
	_, out, _ := run(dir, "--help")
	for _, name := range []string{"audit states", "rehearse"} {
		if strings.Contains(out, name) {
			t.Errorf("--help lists %q, want it hidden:\n%s", name, out)
		}
	}
}

// TestPlansAndBookings checks a catalogue through its commands, from the first revision to a cancelled booking.
func TestPlansAndBookings(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"new.hcl":  plansFile,
		"next.hcl": strings.NewReplacer(`"1"`, `"2"`, "rate  = 4", "rate  = 5").Replace(plansFile),
		"bad.hcl":  strings.Replace(plansFile, "burst = 8", "burst = -8", 1),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	from := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	add := "book add --catalogue DIR/live.hcl --for 10s --from " + from + " --member "
	runSteps(t, dir, []step{
		{"check DIR/new.hcl", 0, []string{"a catalogue in order", "rate=10 burst=20 ceiling_rate=15 ceiling_depth=30"}},
		{"check DIR/bad.hcl", ExitBadFile,
			[]string{"mulleinrouter: DIR/bad.hcl:5:5: revision.1.plan.basic.burst: must be a number, 0 or more"}},
		{"plans apply DIR/new.hcl --to DIR/live.hcl", 0, []string{"with --yes it is written"}},
		{"plans show DIR/live.hcl", ExitBadFile, []string{"no such file"}},
		{"plans apply DIR/new.hcl --to DIR/live.hcl --in 0s --yes", 0, []string{"revision 1 holds from"}},
		{"plans apply DIR/new.hcl --to DIR/live.hcl --yes", 1, []string{"its number is not above the last one's"}},
		{"plans apply DIR/bad.hcl --to DIR/live.hcl --yes", ExitBadFile, nil},
		{"plans diff DIR/live.hcl DIR/next.hcl", 1,
			[]string{"plan", "rate=4 burst=8", "rate=5 burst=8", "the catalogues differ"}},
		{"plans diff DIR/new.hcl DIR/new.hcl", 0, nil},
		{"plans diff DIR/live.hcl DIR/next.hcl --output json", 1,
			[]string{`[{"what":"plan","name":"basic","from":"rate=4 burst=8`}},
		{"plans apply DIR/next.hcl --to DIR/live.hcl --in 1h --yes", 0, []string{"basic"}},
		{"plans show DIR/live.hcl", 0, []string{"revision 1, in force", "revision 2, announced"}},
		{"plans show DIR/live.hcl --output json", 0, []string{
			`"Number":2`, `"Holds":`, `"Authority":1`, `"Bookable":100`,
			`"Price":0`, `"CeilingDepth":30`, `"Members":{`, `"Bookings":null`,
		}},
		{"plans apply DIR/next.hcl --to DIR/live.hcl --in soon --yes", 1,
			[]string{`--in: not a span such as 30s: "soon"`}},
		{add + "00000000000000bb --units 60 --id big", 1,
			[]string{`refused: booking.big.units: with plan "plus", ` +
				`at most 50 units in this span stay under its ceiling`}},
		{add + "00000000000000bb --units 50 --id results", 0, []string{"revision 3"}},
		{add + "00000000000000aa --units 990", 1,
			[]string{"refused", "950 units would fit in this span"}},
		{"book add --catalogue DIR/live.hcl --member 00000000000000aa --from soon --for 10s --units 1", 1,
			[]string{"--from"}},
		{"book list --catalogue DIR/live.hcl", 0, []string{"results", "00000000000000bb", "50"}},
		{"book list --catalogue DIR/live.hcl --output json", 0, []string{`"ID":"results"`}},
		{"book cancel none --catalogue DIR/live.hcl", 1, []string{`there is no booking "none"`}},
		{"book cancel results --catalogue DIR/live.hcl", 0, []string{"revision 4"}},
		{"plans show DIR/live.hcl", 0, []string{"revision 4, announced"}},
	})
	if _, out, _ := run(dir, "book list --catalogue DIR/live.hcl"); out != "" {
		t.Errorf("bookings %q, want none", out)
	}
}

// TestUsage checks that the commands show, verify and export the recorded usage, and that a damaged record is found.
func TestUsage(t *testing.T) {
	dir := t.TempDir()
	w, err := usagesegment.Open(dir, time.Minute, logtest.Discard())
	if err != nil {
		t.Fatal(err)
	}
	plans := []string{"basic", "plus"}
	arrivals := []usage.Arrival{usage.Arrived, usage.Arrived, usage.Arrived, usage.ArrivalUnknown, usage.NotArrived}
	for i := range 20 {
		seq := w.Sent(usage.Request{
			Member:    fmt.Sprintf("%016x", i%2),
			Plan:      plans[i%2],
			Class:     "quote-read",
			Units:     usage.ToMicroUnits(1.5),
			OverQuota: i < 4,
			Minute:    time.Now().Unix() / 60,
		})
		w.Ended(seq, arrivals[i%5])
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	billing := &fakes.Billing{}
	if err := billing.Start(); err != nil {
		t.Fatal(err)
	}
	defer billing.Stop()
	runSteps(t, dir, []step{
		{"usage show DIR", 0, []string{"basic  8", "plus   8"}},
		{"usage show DIR --by member --output json", 0, []string{`"Name":"0000000000000000"`}},
		{"usage show DIR --by all", 0, []string{"quote-read"}},
		{"usage verify DIR", 0,
			[]string{"batches           0", "in no batch yet   24 units in 16 tries", "all is in order"}},
		{"usage verify DIR --output json", 0, []string{`"notExported":{"units":24,"tries":16}`, `"problems":[]`}},
		{"usage export DIR --to " + billing.URL(), 0, []string{"1 batches acknowledged, nothing is left"}},
		{"usage export DIR --to " + billing.URL(), 0, []string{"0 batches acknowledged"}},
		{"usage verify DIR", 0, []string{
			"batches           1", "billed            18 units in 12 tries", "arrival not known  6 units in 4 tries",
			"all is in order",
		}},
		{"usage export DIR --to " + billing.URL() + " --keep soon", 1, []string{"--keep"}},
	})
	segments, err := usagesegment.List(dir)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(segments[0].Path)
	if err != nil {
		t.Fatal(err)
	}
	data[usage.HeaderSize+12] ^= 1
	if err := os.WriteFile(segments[0].Path, data, 0o644); err != nil {
		t.Fatal(err)
	}
	runSteps(t, dir, []step{
		{"usage verify DIR", 1, []string{"1 records damaged", "batch 1 does not match its segments 1 to 1"}},
	})
}
