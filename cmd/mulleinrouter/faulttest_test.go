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

// scenarios lists the fault tests that TestFaultTests runs. CI runs all of them, on processes of the program that are
// built with the race detector. Without the race detector only the first one runs, because each takes long. The other
// scenarios that ship are run by hand, with the command fault-test.
var scenarios = []string{
	"machine-drops", "folders", "halves", "one-way", "stops", "rolling", "keys",
	"try-holder", "duty-cuts", "duty-plans", "quota-counter",
}

// scenarioDir is the folder of the scenarios that ship.
const scenarioDir = "../../deploy/faulttests"

// TestFaultTests plays the scenarios. All expectations of each must be met, and no process may log a data race or a
// panic.
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
	// A slack of 1.5 widens the time limits by half, because an expected event may come late on a slow machine. What
	// must not happen is checked throughout the run.
	dir := t.TempDir()
	options := faulttest.Options{Program: program, Dir: dir, Slack: 1.5}
	report, err := faulttest.Play(context.Background(), scenario, options)
	if err != nil {
		t.Error(err)
		for _, log := range readLogs(t, dir) {
			t.Log("log of a process:\n" + log)
		}
		t.FailNow()
	}
	var text strings.Builder
	report.Write(&text)
	t.Log("\n" + text.String())
	if !report.Passed() {
		t.Error("the scenario's expectations were not all met")
	}
	for _, log := range readLogs(t, dir) {
		if strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic:") {
			t.Errorf("the log has a data race or a panic:\n%s", log)
		}
	}
}

// readLogs returns the logs of the scenario's processes, one string for each process.
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

// TestShippedScenarios checks that every scenario that ships can be read, and that each of scenarios ships.
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
