package layers

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode"
)

// withdrawnWords maps words that names must not use to the terms of docs/GLOSSARY.md that replace them. No declared
// name may contain one of these words, except where testdata/glossary-exceptions.txt allows it.
var withdrawnWords = map[string]string{
	"beat": "heartbeat", "beats": "heartbeats", "book": "log or table", "clerk": "manager", "cold": "slow start",
	"dearer": "more valuable", "desk": "dispatcher", "door": "admission gate", "doors": "gateways",
	"duties": "singleton roles", "duty": "singleton role", "errand": "message", "fellows": "peers",
	"gone": "removed or disconnected", "grown": "added", "heard": "received", "held": "pending or reserved",
	"impatient": "slow attempt", "judge": "evaluate", "judgement": "verdict",
	"keeper": "owner", "kin": "peers", "lapse": "expiry", "lapses": "expires", "ledger": "log or table",
	"letter": "message", "life": "incarnation", "lives": "incarnations", "mates": "peers", "mend": "repair",
	"mishap": "fault", "news": "update", "nudge": "wake up", "odds": "estimate", "patience": "timeout",
	"piece": "chunk", "pieces": "chunks", "quiet": "idle", "reckon": "compute", "reckoned": "computed",
	"room": "capacity", "shelf": "idle pool", "steward": "service", "thin": "sparse", "told": "notified",
	"trouble": "fault", "whole": "complete", "worth": "value",
}

// glossaryException allows a withdrawn word in the declared names of one folder. The file of exceptions states the
// reason for each.
type glossaryException struct{ dir, word string }

// readGlossaryExceptions reads the exceptions. Each maps to false until TestGlossary has found a name that needs it.
func readGlossaryExceptions(t *testing.T) map[glossaryException]bool {
	t.Helper()
	file, err := os.Open("testdata/glossary-exceptions.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	exceptions := map[glossaryException]bool{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		dir, rest, _ := strings.Cut(line, " ")
		word, reason, found := strings.Cut(rest, ": ")
		if !found || reason == "" {
			t.Fatalf("%q: want \"folder word: reason\"", line)
		}
		exceptions[glossaryException{dir, word}] = false
	}
	return exceptions
}

// TestGlossary checks that no declared name contains a withdrawn word for which docs/GLOSSARY.md has a term, and that
// every exception is still needed.
func TestGlossary(t *testing.T) {
	exceptions := readGlossaryExceptions(t)
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return fmt.Errorf("parse %s: %w", path, err)
		}
		dir := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../../")
		for _, name := range declaredNames(file) {
			for _, word := range camelWords(name.Name) {
				term, withdrawn := withdrawnWords[word]
				if !withdrawn {
					continue
				}
				exception := glossaryException{dir, word}
				if _, allowed := exceptions[exception]; allowed {
					exceptions[exception] = true
					continue
				}
				t.Errorf("%v: %s contains %q; the glossary has: %s", files.Position(name.Pos()), name.Name, word, term)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for exception, used := range exceptions {
		if !used {
			t.Errorf("the exception for %q in %s is no longer needed", exception.word, exception.dir)
		}
	}
}

// declaredNames returns the identifiers that a file declares: packages, types, functions, fields, parameters,
// constants and variables.
func declaredNames(file *ast.File) (names []*ast.Ident) {
	names = append(names, file.Name)
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			names = append(names, node.Name)
		case *ast.TypeSpec:
			names = append(names, node.Name)
		case *ast.ValueSpec:
			names = append(names, node.Names...)
		case *ast.Field:
			names = append(names, node.Names...)
		case *ast.AssignStmt:
			if node.Tok == token.DEFINE {
				names = append(names, identifiers(node.Lhs)...)
			}
		case *ast.RangeStmt:
			if node.Tok == token.DEFINE {
				names = append(names, identifiers([]ast.Expr{node.Key, node.Value})...)
			}
		}
		return true
	})
	return names
}

// identifiers returns those of the expressions that are plain identifiers.
func identifiers(expressions []ast.Expr) (names []*ast.Ident) {
	for _, expression := range expressions {
		if name, ok := expression.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}

// camelWords splits a Go name into its words, in lower case: "OnIdleTimeout" is on, idle, timeout.
func camelWords(name string) (words []string) {
	start := 0
	runes := []rune(name)
	add := func(end int) {
		if end > start {
			words = append(words, strings.ToLower(string(runes[start:end])))
		}
		start = end
	}
	for i := range runes {
		switch {
		case runes[i] == '_' || unicode.IsDigit(runes[i]):
			add(i)
			start = i + 1
		case i > 0 && unicode.IsUpper(runes[i]) &&
			(unicode.IsLower(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1])):
			add(i)
		}
	}
	add(len(runes))
	return words
}

func TestCamelWords(t *testing.T) {
	for name, want := range map[string]string{
		"OnIdleTimeout": "on idle timeout",
		"lastHeard":     "last heard",
		"HTTPServer":    "http server",
		"run_":          "run",
		"x":             "x",
	} {
		if got := strings.Join(camelWords(name), " "); got != want {
			t.Errorf("camelWords(%q) = %q, want %q", name, got, want)
		}
	}
}
