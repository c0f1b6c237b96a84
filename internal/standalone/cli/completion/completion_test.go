package completion

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/google/go-cmp/cmp"
)

// grammar is a command line with every kind of element that a script must handle.
type grammar struct {
	Format string `enum:"text,json,," default:"" help:"Form of the log. Or not."`

	Serve struct {
		Config string `short:"c" type:"path" help:"It's a file."`
		Secret bool   `hidden:""`
	} `cmd:"" default:"withargs" help:"Serve."`
	Plans struct {
		Show struct {
			File   string `arg:""`
			Output string `short:"o" enum:"table,json" default:"table"`
			At     string
			Yes    bool
		} `cmd:"" help:"Show them."`
		Diff struct{} `cmd:""`
	} `cmd:"" help:"Plans."`
	Voters struct {
		Action string   `arg:"" enum:"list,add" default:"list"`
		Names  []string `arg:"" optional:""`
	} `cmd:""`
	Old struct{} `cmd:"" hidden:""`
}

func newModel(t *testing.T) *kong.Application {
	t.Helper()
	parser, err := kong.New(new(grammar), kong.Name("my-program"))
	if err != nil {
		t.Fatal(err)
	}
	return parser.Model
}

// summary returns the model of a command as one line, for comparison.
func summary(c command) string {
	var parts []string
	describe := func(v value) string { return strconv.Itoa(int(v.kind)) + strings.Join(v.enum, ",") }
	for _, subcommand := range c.subcommands {
		parts = append(parts, subcommand.word+"("+subcommand.help+")")
	}
	for _, f := range c.flags {
		parts = append(parts, strings.Join(f.forms(), "/")+"="+describe(f.value))
	}
	for _, a := range c.arguments {
		parts = append(parts, "<"+describe(a.value)+" "+strconv.FormatBool(a.repeated)+">")
	}
	return c.path + ": " + strings.Join(parts, " ")
}

func TestModel(t *testing.T) {
	want := []string{
		": serve(Serve) plans(Plans) voters() --help/-h=0 --format=3text,json --config/-c=2",
		"serve: --config/-c=2 --help/-h=0 --format=3text,json",
		"plans: show(Show them) diff() --help/-h=0 --format=3text,json",
		"plans show: --output/-o=3table,json --at=1 --yes=0 --help/-h=0 --format=3text,json <2 false>",
		"plans diff: --help/-h=0 --format=3text,json",
		"voters: --help/-h=0 --format=3text,json <3list,add false> <1 true>",
	}
	var got []string
	for _, c := range newCommands(newModel(t)) {
		got = append(got, summary(c))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}

func TestFirstSentence(t *testing.T) {
	for help, want := range map[string]string{
		"": "", "Show them.": "Show them",
		"Form: a or b. Default: a.": "Form: a or b", "From 1.5 s\non.": "From 1.5 s on",
	} {
		if got := firstSentence(help); got != want {
			t.Errorf("%q: got %q, want %q", help, got, want)
		}
	}
}

func TestUnknownShell(t *testing.T) {
	if err := Write(new(strings.Builder), "sh", newModel(t)); !errors.Is(err, ErrUnknownShell) {
		t.Errorf("error %v, want %v", err, ErrUnknownShell)
	}
}

// The scripts for zsh and fish contain the expected lines. They are not run, because CI has neither shell.
func TestZshAndFish(t *testing.T) {
	for shell, want := range map[string][]string{
		"zsh": {
			"#compdef my-program\n", "'plans:show') command='plans show' ;;",
			"'plans show:--output'|'plans show:-o') compadd -- table json; return ;;",
			`'serve') candidates=('--config:It'\''s a file' '-c:It'\''s a file'`,
			"'voters:'0) candidates=('list' 'add') ;;",
		},
		"fish": {
			"case 'plans:show'\n                set command 'plans show'",
			`complete -c my-program -n 'string match -q -- "plans show:*" (__my_program_command)' ` +
				`-l output -s o -x -a 'table json' -d ''`,
			`complete -c my-program -f -n 'string match -q -- ":0" (__my_program_command)' -a 'plans' -d 'Plans'`,
		},
	} {
		var script strings.Builder
		if err := Write(&script, shell, newModel(t)); err != nil {
			t.Fatal(err)
		}
		for _, text := range want {
			if !strings.Contains(script.String(), text) {
				t.Errorf("%s: want %s in the script:\n%s", shell, text, &script)
			}
		}
		if strings.Contains(script.String(), "secret") || strings.Contains(script.String(), "old") {
			t.Errorf("%s: a hidden command or flag is in the script", shell)
		}
	}
}

// The script for bash offers exactly the words that can follow.
func TestBash(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Fatalf("the script needs bash to be tested: %v", err)
	}
	var script strings.Builder
	if err := Write(&script, "bash", newModel(t)); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "script")
	if err := os.WriteFile(path, []byte(script.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	// The first word is the program's name. The word before | is completed.
	for _, c := range []struct{ words, want string }{
		{"my-program |", "serve plans voters"},
		{"my-program p|", "plans"},
		{"my-program --|", "--help --format --config"},
		{"my-program plans |", "show diff"},
		{"my-program plans show |", ""}, // the argument is a file, which readline completes
		{"my-program plans show --|", "--output --at --yes --help --format"},
		{"my-program plans show --output |", "table json"},
		{"my-program plans show -o j|", "json"},
		{"my-program plans show --output = t|", "table"},
		{"my-program plans show --output = json --y|", "--yes"},
		{"my-program plans show --at plans --a|", "--at"},
		{"my-program --format json plans |", "show diff"},
		{"my-program --format |", "text json"},
		{"my-program serve --config |", ""},
		{"my-program voters |", "list add"},
		{"my-program voters add |", ""},
		{"my-program old |", ""},
	} {
		words := strings.Split(strings.TrimSuffix(c.words, "|"), " ")
		arguments := append([]string{"-c", `source "$0"; COMP_WORDS=("$@"); COMP_CWORD=$(($# - 1)); ` +
			`_my_program; echo "${COMPREPLY[*]}"`, path}, words...)
		out, err := exec.Command(bash, arguments...).CombinedOutput()
		if got := strings.TrimSpace(string(out)); err != nil || got != c.want {
			t.Errorf("%s: error %v, got %q, want %q", c.words, err, got, c.want)
		}
	}
}
