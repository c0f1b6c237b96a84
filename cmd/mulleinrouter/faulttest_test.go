package main

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"mulleinrouter/internal/emulator/faulttest"
	"mulleinrouter/internal/race"
)

// scenarios are run on processes of the program with every landing, with the race detector in them; without it, the
// first one alone is, for its time. The others that ship are run by command.
var scenarios = []string{
	"machine-drops", "folders", "halves", "one-way", "stops", "rolling", "keys",
	"try-holder", "duty-cuts", "duty-plans", "quota-counter",
}

const scenarioDir = "../../deploy/faulttests"

func TestFaultTests(t *testing.T) {
	t.Parallel()
	run := scenarios
	if !race.Enabled {
		run = scenarios[:1]
	}
	for _, name := range run {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, name)
		})
	}
}

func runScenario(t *testing.T, name string) {
	t.Helper()
	scenario, err := faulttest.Read(filepath.Join(scenarioDir, name+".hcl"))
	if err != nil {
		t.Fatal(err)
	}
	// Limits are wide: what must not happen is checked all along, and what must come may be late on a slow machine.
	dir := t.TempDir()
	options := faulttest.Options{Program: program, Dir: dir, Slack: 1.5}
	report, err := faulttest.Play(context.Background(), scenario, options)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	report.Write(&text)
	t.Log("\n" + text.String())
	if !report.Passed() {
		t.Error("not all that was expected held")
	}
	for _, log := range readLogs(t, dir) {
		if strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic:") {
			t.Errorf("log with a data race or a panic:\n%s", log)
		}
	}
}

// readLogs reads the logs of a scenario's processes.
func readLogs(t *testing.T, dir string) (logs []string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("logs %v, error %v; want some", paths, err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		logs = append(logs, string(text))
	}
	return logs
}

// Each scenario that ships can be read, and each of scenarios is one of them.
func TestShippedScenarios(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(scenarioDir, "*.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	var shipped []string
	for _, path := range paths {
		if _, err := faulttest.Read(path); err != nil {
			t.Errorf("Read(%s) = %v, want no error", path, err)
		}
		shipped = append(shipped, strings.TrimSuffix(filepath.Base(path), ".hcl"))
	}
	for _, name := range scenarios {
		if !slices.Contains(shipped, name) {
			t.Errorf("scenario %s does not ship", name)
		}
	}
}
