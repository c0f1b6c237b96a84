package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOnCallPage checks that the on-call page lists exactly the codes that the program can log.
func TestOnCallPage(t *testing.T) {
	const code = `(?:process|request|attempt|client|upstream|counter|discovery|` +
		`plans|usage|mgmt|state|fleet|duty|share)` +
		`-[a-z-]+`
	var inSource []string
	for _, root := range []string{".", "../../internal"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			inSource = append(inSource, findCodes(t, path, `"(`+code+`)"`)...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(inSource)
	onPage := findCodes(t, "../../docs/ONCALL.md", "(?m)^\\|.*?`("+code+")`", "(?m)^\\| `"+code+"`, `("+code+")`")
	slices.Sort(onPage)
	if len(inSource) == 0 {
		t.Fatal("no codes in the sources")
	}
	if diff := cmp.Diff(slices.Compact(inSource), slices.Compact(onPage)); diff != "" {
		t.Errorf("codes (-in the source +on the page):\n%s", diff)
	}
}

// findCodes returns the text that the first group of each pattern matches in a file, for all matches.
func findCodes(t *testing.T, path string, patterns ...string) (found []string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range patterns {
		for _, m := range regexp.MustCompile(p).FindAllStringSubmatch(string(text), -1) {
			found = append(found, m[1])
		}
	}
	return found
}
