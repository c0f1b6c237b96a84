package cli

import (
	"io"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/standalone/cli/completion"
)

// CompletionCommand prints a completion script.
type CompletionCommand struct {
	Shell string `arg:"" name:"shell" enum:"${shells}" help:"bash, zsh or fish."`
}

// Run prints the script.
func (cc *CompletionCommand) Run(out io.Writer, line *kong.Context) error {
	return completion.Write(out, cc.Shell, line.Model)
}
