package completion

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// Shells are the shells that Write supports.
var Shells = []string{"bash", "zsh", "fish"}

// Write writes the completion script of a program for a shell.
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

// command is a command with the elements that can follow it.
type command struct {
	path        string // names of the commands from the top level, separated by spaces; empty: the program
	subcommands []candidate
	flags       []flag
	arguments   []argument
}

// candidate is a word that can follow, with its help text.
type candidate struct{ word, help string }

// flag is a flag of a command or of one of its parents.
type flag struct {
	name  string
	short string // short form without the dash; empty: none
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
	repeated bool // takes all following words
}

// value describes the possible values of a flag or an argument.
type value struct {
	kind valueKind
	enum []string // possible values for kind oneOf
}

// valueKind determines how a value is completed.
type valueKind int

const (
	noValue  valueKind = iota // a boolean flag, which takes no value from the next word
	anyValue                  // any text; there are no candidates
	fileName
	oneOf // one of the values in enum
)

// newCommands returns all commands that are not hidden, each after its parent.
func newCommands(program *kong.Application) []command {
	return appendCommands(nil, program.Node, "", nil)
}

// appendCommands appends a node and its descendants. The flags of its parents can follow it, too.
func appendCommands(commands []command, node *kong.Node, path string, inheritedFlags []flag) []command {
	c := command{path: path, flags: slices.Concat(newFlags(node.Flags), inheritedFlags)}
	for _, positional := range node.Positional {
		c.arguments = append(c.arguments, argument{newValue(positional), positional.IsCumulative()})
	}
	inherited := c.flags
	if node.DefaultCmd != nil && node.DefaultCmd.Tag.Default == "withargs" {
		c.flags = slices.Concat(c.flags, newFlags(node.DefaultCmd.Flags)) // these flags need no command name
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

// newFlags converts the flags that are not hidden.
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

// newValue returns the possible values of a flag or an argument.
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

// isFileType reports whether a type in a kong tag is that of a file or a folder.
func isFileType(name string) bool {
	return slices.Contains([]string{"path", "existingfile", "existingdir", "filecontent"}, name)
}

// firstSentence returns the first sentence of a help text, which shells show next to a candidate.
func firstSentence(help string) string {
	sentence, _, _ := strings.Cut(help, ". ")
	return strings.TrimSuffix(strings.Join(strings.Fields(sentence), " "), ".")
}
