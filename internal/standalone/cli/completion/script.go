package completion

import (
	"fmt"
	"strings"
)

// script accumulates the lines of a script.
type script struct{ text strings.Builder }

// line appends a formatted line.
func (s *script) line(format string, arguments ...any) {
	fmt.Fprintf(&s.text, format+"\n", arguments...)
}

// quote returns a word in single quotes. All three shells accept its escape of a single quote. A backslash can also be
// special in fish's single quotes, but is not escaped, because no word in the script for fish contains one.
func quote(word string) string { return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'" }

// functionName returns the name of the shell function that completes a program.
func functionName(program string) string { return "_" + strings.ReplaceAll(program, "-", "_") }

// step is a word that leads from a command to one of its subcommands.
type step struct{ from, word, to string }

// steps returns the words that lead to each command.
func steps(commands []command) (all []step) {
	for _, c := range commands {
		for _, subcommand := range c.subcommands {
			all = append(all, step{c.path, subcommand.word, strings.TrimSpace(c.path + " " + subcommand.word)})
		}
	}
	return all
}

// flagKeys returns the shell pattern that matches "COMMAND:FLAG" for the flags whose value matches, in all forms of
// each flag. The alternatives are quoted and separated by |. It is empty if no flag matches.
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

// ofKind returns a predicate for values of one kind.
func ofKind(kind valueKind) func(value) bool { return func(v value) bool { return v.kind == kind } }

// takesValue reports whether the word after a flag is its value.
func takesValue(v value) bool { return v.kind != noValue }

// wordLoopBody writes the loop body that the scripts for bash and zsh share. It finds the command that the words before
// the cursor name, skips the values of flags, and counts the arguments. skip is the statement that skips the next word.
func (s *script) wordLoopBody(commands []command, skip string) {
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
