package completion

import (
	"fmt"
	"strings"
)

// script gathers the lines of a script.
type script struct{ text strings.Builder }

// line adds a line.
func (s *script) line(format string, arguments ...any) {
	fmt.Fprintf(&s.text, format+"\n", arguments...)
}

// quote returns a word as the three shells read it: in single quotes, where only a single quote is special.
func quote(word string) string { return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'" }

// functionName returns the name of the shell function that completes a program.
func functionName(program string) string { return "_" + strings.ReplaceAll(program, "-", "_") }

// step is a word that leads from a command to one below it.
type step struct{ from, word, to string }

// steps returns the words that lead to each command.
func steps(commands []command) (all []step) {
	for _, c := range commands {
		for _, below := range c.subcommands {
			all = append(all, step{c.path, below.word, strings.TrimSpace(c.path + " " + below.word)})
		}
	}
	return all
}

// flagKeys returns the words "COMMAND:FLAG" of the flags with a value, in the forms of each flag, quoted and separated
// by |; empty: the command has none of that kind.
func flagKeys(c command, matches func(value) bool) string {
	var keys []string
	for _, f := range c.flags {
		if !matches(f.value) {
			continue
		}
		for _, word := range f.forms() {
			keys = append(keys, quote(c.path+":"+word))
		}
	}
	return strings.Join(keys, "|")
}

// ofKind returns a test for values of one kind.
func ofKind(kind valueKind) func(value) bool { return func(v value) bool { return v.kind == kind } }

// takesValue tells whether the word after a flag is its value.
func takesValue(v value) bool { return v.kind != noValue }

// walk writes the loop body that both bash and zsh need: it follows the words before the cursor to a command, skips the
// values of flags, and counts the arguments. skip is the statement that passes over the next word.
func (s *script) walk(commands []command, skip string) {
	s.line(`        case "${command}:${word}" in`)
	for _, step := range steps(commands) {
		s.line("            %s) command=%s ;;", quote(step.from+":"+step.word), quote(step.to))
	}
	for _, c := range commands {
		if keys := flagKeys(c, takesValue); keys != "" {
			s.line("            %s) %s ;;", keys, skip)
		}
	}
	s.line(`            *:-*) ;;`)
	s.line(`            *) ((arguments += 1)) ;;`)
	s.line(`        esac`)
}
