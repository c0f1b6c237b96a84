package completion

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// Shells are those that Write knows.
var Shells = []string{"bash", "zsh", "fish"}

// Write writes the script of a shell for a program.
func Write(out io.Writer, shell string, program *kong.Application) error {
	commands := newCommands(program)
	var script string
	switch shell {
	case "bash":
		script = bashScript(program.Name, commands)
	case "zsh":
		script = zshScript(program.Name, commands)
	case "fish":
		script = fishScript(program.Name, commands)
	default:
		return fmt.Errorf("%w: %q", ErrUnknownShell, shell)
	}
	_, err := io.WriteString(out, script)
	return err
}

// command is a command, and what can follow it.
type command struct {
	path        string // names from the program's on, by spaces; empty: the program itself
	subcommands []candidate
	flags       []flag
	arguments   []argument
}

// candidate is a word that can follow, and what it means.
type candidate struct{ word, help string }

// flag is a flag of a command or of one above it.
type flag struct {
	name  string
	short string // empty: it has none
	help  string
	value value
}

// forms returns the forms of the flag, such as --output and -o.
func (f flag) forms() []string {
	if f.short == "" {
		return []string{"--" + f.name}
	}
	return []string{"--" + f.name, "-" + f.short}
}

// argument is a positional argument.
type argument struct {
	value    value
	repeated bool // it takes all words that follow
}

// value is what a flag or an argument can be.
type value struct {
	kind valueKind
	enum []string // the possible values, of oneOf
}

// valueKind is how a value is completed.
type valueKind int

const (
	noValue  valueKind = iota // a switch: the next word is not its value
	anyValue                  // nothing is known of it
	fileName
	oneOf // one of the values in enum
)

// newCommands returns all commands that are not hidden, each after the one above it.
func newCommands(program *kong.Application) []command {
	return appendCommands(nil, program.Node, "", nil)
}

// appendCommands appends a node and those below it. Flags above it can follow it too.
func appendCommands(commands []command, node *kong.Node, path string, above []flag) []command {
	c := command{path: path, flags: slices.Concat(newFlags(node.Flags), above)}
	for _, positional := range node.Positional {
		c.arguments = append(c.arguments, argument{newValue(positional), positional.IsCumulative()})
	}
	inherited := c.flags
	if node.DefaultCmd != nil && node.DefaultCmd.Tag.Default == "withargs" {
		c.flags = slices.Concat(c.flags, newFlags(node.DefaultCmd.Flags)) // its flags may follow without its name
	}
	children := slices.DeleteFunc(slices.Clone(node.Children), func(n *kong.Node) bool { return n.Hidden })
	for _, child := range children {
		c.subcommands = append(c.subcommands, candidate{child.Name, firstSentence(child.Help)})
	}
	commands = append(commands, c)
	for _, child := range children {
		commands = appendCommands(commands, child, strings.TrimSpace(path+" "+child.Name), inherited)
	}
	return commands
}

// newFlags returns the flags that are not hidden.
func newFlags(flags []*kong.Flag) (visible []flag) {
	for _, f := range flags {
		if f.Hidden {
			continue
		}
		short := ""
		if f.Short != 0 {
			short = string(f.Short)
		}
		visible = append(visible, flag{
			name: f.Name, short: short, help: firstSentence(f.Help), value: newValue(f.Value),
		})
	}
	return visible
}

// newValue returns what a flag or an argument can be.
func newValue(v *kong.Value) value {
	isEmpty := func(word string) bool { return word == "" }
	if enum := slices.DeleteFunc(v.EnumSlice(), isEmpty); len(enum) > 0 {
		return value{kind: oneOf, enum: enum}
	}
	placeholder := ""
	if v.Flag != nil {
		placeholder = v.Flag.PlaceHolder
	}
	switch {
	case v.Flag != nil && (v.IsBool() || v.IsCounter()):
		return value{kind: noValue}
	case isFileType(v.Tag.Type), placeholder == "FILE", v.Flag == nil && v.Name == "file":
		return value{kind: fileName}
	}
	return value{kind: anyValue}
}

// isFileType tells whether a type of a kong tag names a file or a folder.
func isFileType(name string) bool {
	return slices.Contains([]string{"path", "existingfile", "existingdir", "filecontent"}, name)
}

// firstSentence returns what shells show beside a word: a help text up to its first full stop.
func firstSentence(help string) string {
	sentence, _, _ := strings.Cut(help, ". ")
	return strings.TrimSuffix(strings.Join(strings.Fields(sentence), " "), ".")
}
