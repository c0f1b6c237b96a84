package command

import (
	"errors"

	"mulleinrouter/internal/cluster/commandline"
)

// Exit codes of the programs.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// exitCode returns the exit code for the error of a command, which may be nil.
func exitCode(err error) int {
	var settingsError *commandline.SettingsError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &settingsError):
		return exitSettings
	}
	return exitFailed
}
