package completion

import "strings"

// fishScript returns the script for fish.
func fishScript(program string, commands []command) string {
	var s script
	function := "_" + functionName(program) + "_command"
	s.line("# fish completion of %s. Load it with: %s completion fish | source", program, program)
	s.line("# Prints the command that the words before the cursor name, and how many arguments follow it.")
	s.line("function %s", function)
	s.line("    set -l command ''")
	s.line("    set -l arguments 0")
	s.line("    set -l skipped 0")
	s.line("    set -l words (commandline -opc)")
	s.line("    set -e words[1]")
	s.line("    for word in $words")
	s.line("        if test $skipped = 1")
	s.line("            set skipped 0")
	s.line("            continue")
	s.line("        end")
	s.line(`        switch "$command:$word"`)
	for _, step := range steps(commands) {
		s.line("            case %s", quote(step.from+":"+step.word))
		s.line("                set command %s", quote(step.to))
	}
	for _, c := range commands {
		if keys := flagKeys(c, takesValue); keys != "" {
			s.line("            case %s", strings.ReplaceAll(keys, "|", " "))
			s.line("                set skipped 1")
		}
	}
	s.line("            case '*:-*'")
	s.line("            case '*'")
	s.line("                set arguments (math $arguments + 1)")
	s.line("        end")
	s.line("    end")
	s.line(`    echo "$command:$arguments"`)
	s.line("end")
	for _, c := range commands {
		s.fishCommand(program, function, c)
	}
	return s.text.String()
}

// fishCommand writes the candidates that can follow a command.
func (s *script) fishCommand(program, function string, c command) {
	for _, f := range c.flags {
		options := "-l " + f.name
		if f.short != "" {
			options += " -s " + f.short
		}
		switch f.value.kind {
		case oneOf:
			options += " -x -a " + quote(strings.Join(f.value.enum, " "))
		case fileName:
			options += " -r -F"
		case anyValue:
			options += " -x"
		}
		s.line("complete -c %s -n %s %s -d %s", program,
			quote("string match -q -- "+quoteInner(c.path+":*")+" ("+function+")"), options, quote(f.help))
	}
	help := map[string]string{}
	for _, subcommand := range c.subcommands {
		help[subcommand.word] = subcommand.help
	}
	for _, choice := range choices(c) {
		pattern := strings.ReplaceAll(choice.key, "'", "")
		for _, word := range choice.candidates {
			s.line("complete -c %s -f -n %s -a %s -d %s", program,
				quote("string match -q -- "+quoteInner(pattern)+" ("+function+")"), quote(word), quote(help[word]))
		}
	}
}

// quoteInner returns a pattern in double quotes, for use inside a command that is in single quotes.
func quoteInner(pattern string) string { return `"` + pattern + `"` }
