package decision

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxLineColumns   = 110 // columns per line; a tab counts as tabColumns
	tabColumns       = 4
	maxFunctionLines = 60
)

// TestSourceShape keeps the package readable: no line of its files is longer than maxLineColumns, and no
// function is longer than maxFunctionLines.
func TestSourceShape(t *testing.T) {
	for _, path := range sourceFiles(t) {
		source, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		tab := strings.Repeat(" ", tabColumns)
		for i, line := range strings.Split(string(source), "\n") {
			columns := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", tab))
			if columns > maxLineColumns {
				t.Errorf("%s:%d has %d columns, want at most %d", path, i+1, columns, maxLineColumns)
			}
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, source, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
			if lines > maxFunctionLines {
				name := function.Name.Name
				t.Errorf("%s: %s has %d lines, want at most %d", path, name, lines, maxFunctionLines)
			}
		}
	}
}

// TestPolicyFiles requires that the files that deploy/balancer.toml names as policy exist and belong to this
// package, each named once.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	sources := sourceFiles(t)
	var policy []string
	for _, match := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		name := string(match[1])
		file, ok := strings.CutPrefix(name, "internal/decision/")
		if !ok || strings.HasSuffix(file, "_test.go") || !slices.Contains(sources, file) {
			t.Errorf("%s is not a source file of this package", name)
		}
		if slices.Contains(policy, file) {
			t.Errorf("%s is named twice", name)
		}
		policy = append(policy, file)
	}
	for _, file := range []string{"gateway.go", "admission.go", "attempts.go", "selection.go"} {
		if !slices.Contains(policy, file) {
			t.Errorf("%s is not named as policy", file)
		}
	}
}

// sourceFiles returns the names of this package's files, including tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	if len(names) < 20 {
		t.Fatalf("%d source files found, want all of the package", len(names))
	}
	return names
}
