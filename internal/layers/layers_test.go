package layers

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// purePackages lists the packages that hold decision logic. They must do no I/O, read no clock and start no goroutine.
var purePackages = []string{
	"internal/cluster/configuration",
	"internal/cluster/consensus",
	"internal/cluster/coordination",
	"internal/cluster/quota",
	"internal/cluster/registry",
	"internal/cluster/shard",
	"internal/dataplane/attempt",
	"internal/dataplane/backoff",
	"internal/dataplane/clientconn",
	"internal/dataplane/upstreamconn",
	"internal/dataplane/usage",
	"internal/decision",
	"internal/decision/conformance",
	"internal/decision/ratelimit",
	"internal/decision/retry",
	"internal/emulator/timechart",
	"internal/mutants",
	"internal/standalone/fleet/membership",
	"internal/standalone/fleet/quotashare",
	"internal/standalone/fleet/revisionlog",
	"internal/standalone/fleet/singleton",
	"internal/standalone/handover",
	"internal/standalone/plans",
}

// allowedStdlib lists the packages of the standard library that purePackages may import besides each other. None of
// them reads a clock, a file or a socket, or starts a goroutine. math/rand/v2 is used only with seeds from the caller.
var allowedStdlib = []string{"bytes", "cmp", "encoding/binary", "errors", "fmt", "hash/crc32", "hash/fnv",
	"iter", "maps", "math", "math/bits", "math/rand/v2",
	"slices", "sort", "strconv", "strings", "unicode", "unicode/utf16", "unicode/utf8"}

// TestDecisionsAreFreeOfInputAndOutput checks the imports of purePackages, and that they start no goroutines.
func TestDecisionsAreFreeOfInputAndOutput(t *testing.T) {
	for _, dir := range purePackages {
		files, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: no sources: %v", dir, err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, text, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, i := range file.Imports {
				name, _ := strconv.Unquote(i.Path.Value)
				if !slices.Contains(allowedStdlib, name) &&
					!slices.Contains(purePackages, strings.TrimPrefix(name, "mulleinrouter/")) {
					t.Errorf("%s imports %s, which neither purePackages nor allowedStdlib lists", path, name)
				}
			}
			for n, line := range strings.Split(string(text), "\n") {
				if strings.HasPrefix(strings.TrimSpace(line), "go ") {
					t.Errorf("%s:%d starts a goroutine", path, n+1)
				}
			}
		}
	}
}

// allowedImports lists, for each folder at the first level of internal/, the folders of internal/ from which
// its packages may import. The control plane (agent, cluster and control) may not import package decision.
var allowedImports = map[string][]string{
	"agent":      {"cluster"},
	"cluster":    {"cluster", "logging", "mutants"},
	"control":    {"cluster", "control", "mutants"},
	"dataplane":  {"dataplane", "decision", "mutants"},
	"decision":   {"decision"},
	"emulator":   {"cluster", "control", "dataplane", "emulator", "standalone", "decision"},
	"logging":    {"logging"},
	"proxy":      {"cluster", "dataplane", "decision"},
	"standalone": {"dataplane", "standalone", "decision", "logging", "mutants"},
}

// importExceptions lists the imports that allowedImports does not cover, each with its reason.
var importExceptions = map[string]string{
	"internal/emulator/faulttest imports deploy/faulttests":         "reads the fault tests that ship",
	"internal/standalone/cli imports internal/emulator/modelcheck":  "mulleinrouter model-check states",
	"internal/standalone/cli imports internal/emulator/faulttest":   "mulleinrouter fault-test",
	"internal/standalone/cli imports internal/emulator/testcluster": "mulleinrouter try --ingress",
	"internal/standalone/cli imports internal/emulator/loopback":    "mulleinrouter try",
	"internal/standalone/cli imports internal/emulator/timechart":   "mulleinrouter try",

	"internal/standalone/cli imports internal/cluster/commandline":     "mulleinrouter version, --output",
	"internal/standalone/cli imports internal/cluster/settings":        "mulleinrouter check, of a settings file",
	"internal/standalone/cli imports internal/control/operatorcommand": "mulleinrouter members, replace",
}

// TestLayers checks that the packages below internal/ import only what allowedImports and importExceptions permit, and
// that every exception is still needed. Imports by tests are not checked.
func TestLayers(t *testing.T) {
	const module = "mulleinrouter/"
	seen := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		from := filepath.ToSlash(filepath.Dir(strings.TrimPrefix(filepath.ToSlash(path), "../")))
		layer, _, _ := strings.Cut(from, "/")
		for _, i := range file.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			name, inModule := strings.CutPrefix(name, module)
			if !inModule || importAllowed(layer, strings.TrimPrefix(name, "internal/")) {
				continue
			}
			crossing := "internal/" + from + " imports " + name
			if _, known := importExceptions[crossing]; !known {
				t.Errorf("%s, which allowedImports does not permit", crossing)
			}
			seen[crossing] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for crossing := range importExceptions {
		if !seen[crossing] {
			t.Errorf("%s: this exception is no longer needed", crossing)
		}
	}
}

// importAllowed reports whether packages of a layer may import the package at path. A layer is a folder at the first
// level of internal/, and path is relative to internal/.
func importAllowed(layer, path string) bool {
	return slices.ContainsFunc(allowedImports[layer], func(prefix string) bool {
		return path == prefix || strings.HasPrefix(path, prefix+"/")
	})
}
