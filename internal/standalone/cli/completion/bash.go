package completion

import (
	"strconv"
	"strings"
)

// bashScript returns the script for bash 3.2 or newer. If it has no candidates, readline completes file names.
func bashScript(program string, commands []command) string {
	var s script
	function := functionName(program)
	s.line("# bash completion of %s. Load it with: source <(%s completion bash)", program, program)
	s.line("%s() {", function)
	s.line(`    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}`)
	s.line(`    local command='' word index arguments=0 candidates=''`)
	s.line(`    COMPREPLY=()`)
	s.line(`    # readline splits --flag=value into three words.`)
	s.line(`    if [[ $current == '=' ]]; then`)
	s.line(`        current=''`)
	s.line(`    elif [[ $previous == '=' ]]; then`)
	s.line(`        previous=${COMP_WORDS[COMP_CWORD-2]}`)
	s.line(`    fi`)
	s.line(`    for ((index = 1; index < COMP_CWORD; index++)); do`)
	s.line(`        word=${COMP_WORDS[index]}`)
	s.line(`        [[ ${COMP_WORDS[index+1]} == '=' ]] && ((index += 1))`)
	s.wordLoopBody(commands, "((index += 1))")
	s.line(`    done`)
	s.bashValues(commands)
	s.bashCandidates(commands)
	s.line(`    COMPREPLY=($(compgen -W "$candidates" -- "$current"))`)
	s.line("}")
	s.line("complete -o default -F %s %s", function, program)
	return s.text.String()
}

// bashValues writes the candidates for the values of flags.
func (s *script) bashValues(commands []command) {
	s.line(`    case "${command}:${previous}" in`)
	for _, c := range commands {
		for _, f := range c.flags {
			if f.value.kind == oneOf {
				keys := flagKeys(command{path: c.path, flags: []flag{f}}, takesValue)
				s.line(`        %s) COMPREPLY=($(compgen -W %s -- "$current")); return ;;`,
					keys, quote(strings.Join(f.value.enum, " ")))
			}
		}
		if keys := flagKeys(c, ofKind(fileName)); keys != "" {
			s.line("        %s) return ;;", keys)
		}
		if keys := flagKeys(c, ofKind(anyValue)); keys != "" {
			s.line("        %s) compopt +o default 2>/dev/null; return ;;", keys)
		}
	}
	s.line(`    esac`)
}

// bashCandidates writes the candidates that can follow each command. After a dash these are flags, otherwise
// subcommands or values of arguments.
func (s *script) bashCandidates(commands []command) {
	s.line(`    if [[ $current == -* ]]; then`)
	s.line(`        case $command in`)
	for _, c := range commands {
		var forms []string
		for _, f := range c.flags {
			forms = append(forms, f.forms()...)
		}
		s.line("            %s) candidates=%s ;;", quote(c.path), quote(strings.Join(forms, " ")))
	}
	s.line(`        esac`)
	s.line(`    else`)
	s.line(`        case "${command}:${arguments}" in`)
	for _, c := range commands {
		for _, choice := range choices(c) {
			s.line("            %s) candidates=%s ;;", choice.key, quote(strings.Join(choice.candidates, " ")))
		}
	}
	s.line(`        esac`)
	s.line(`    fi`)
}

// choice is the list of candidates that can follow a command after a number of arguments.
type choice struct {
	key        string // shell pattern COMMAND:ARGUMENTS, where ARGUMENTS is their number
	candidates []string
}

// choices returns the candidates that can follow a command, other than flags.
func choices(c command) (all []choice) {
	if len(c.subcommands) > 0 {
		var names []string
		for _, subcommand := range c.subcommands {
			names = append(names, subcommand.word)
		}
		all = append(all, choice{quote(c.path + ":0"), names})
	}
	for n, a := range c.arguments {
		if a.value.kind != oneOf {
			continue
		}
		key := quote(c.path+":") + strconv.Itoa(n)
		if a.repeated {
			key = quote(c.path+":") + "*"
		}
		all = append(all, choice{key, a.value.enum})
	}
	return all
}
