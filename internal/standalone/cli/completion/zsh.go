package completion

import "strings"

// zshScript returns the script for zsh, which can be loaded from a folder in fpath or with source.
func zshScript(program string, commands []command) string {
	var s script
	function := functionName(program)
	s.line("#compdef %s", program)
	s.line("# zsh completion of %s. Load it with: source <(%s completion zsh)", program, program)
	s.line("%s() {", function)
	s.line(`    local command='' word previous=$words[CURRENT-1] index arguments=0`)
	s.line(`    local -a candidates`)
	s.line(`    for ((index = 2; index < CURRENT; index++)); do`)
	s.line(`        word=$words[index]`)
	s.wordLoopBody(commands, "((index += 1))")
	s.line(`    done`)
	s.line(`    if [[ $PREFIX == --*=* ]]; then`)
	s.line(`        previous=${PREFIX%%%%=*}`)
	s.line(`        compset -P 1 '*='`)
	s.line(`    fi`)
	s.zshValues(commands)
	s.zshCandidates(commands)
	s.line(`    if ((${#candidates})); then _describe %s candidates; else _files; fi`, quote(program))
	s.line("}")
	s.line(`if [[ $funcstack[1] == %s ]]; then %s "$@"; else compdef %s %s; fi`, function, function, function, program)
	return s.text.String()
}

// zshValues writes the candidates for the values of flags.
func (s *script) zshValues(commands []command) {
	s.line(`    case "${command}:${previous}" in`)
	for _, c := range commands {
		for _, f := range c.flags {
			if f.value.kind == oneOf {
				keys := flagKeys(command{path: c.path, flags: []flag{f}}, takesValue)
				s.line("        %s) compadd -- %s; return ;;", keys, strings.Join(f.value.enum, " "))
			}
		}
		if keys := flagKeys(c, ofKind(fileName)); keys != "" {
			s.line("        %s) _files; return ;;", keys)
		}
		if keys := flagKeys(c, ofKind(anyValue)); keys != "" {
			s.line("        %s) return ;;", keys)
		}
	}
	s.line(`    esac`)
}

// zshCandidates writes the candidates that can follow each command, with their help texts.
func (s *script) zshCandidates(commands []command) {
	s.line(`    if [[ $PREFIX == -* ]]; then`)
	s.line(`        case $command in`)
	for _, c := range commands {
		var described []string
		for _, f := range c.flags {
			for _, word := range f.forms() {
				described = append(described, zshCandidate(word, f.help))
			}
		}
		s.line("            %s) candidates=(%s) ;;", quote(c.path), strings.Join(described, " "))
	}
	s.line(`        esac`)
	s.line(`    else`)
	s.line(`        case "${command}:${arguments}" in`)
	for _, c := range commands {
		help := map[string]string{}
		for _, subcommand := range c.subcommands {
			help[subcommand.word] = subcommand.help
		}
		for _, choice := range choices(c) {
			var described []string
			for _, word := range choice.candidates {
				described = append(described, zshCandidate(word, help[word]))
			}
			s.line("            %s) candidates=(%s) ;;", choice.key, strings.Join(described, " "))
		}
	}
	s.line(`        esac`)
	s.line(`    fi`)
}

// zshCandidate returns a word and its help text in the format of _describe.
func zshCandidate(word, help string) string {
	word = strings.ReplaceAll(word, ":", `\:`)
	if help == "" {
		return quote(word)
	}
	return quote(word + ":" + help)
}
