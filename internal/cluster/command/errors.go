package command

import "errors"

// Exit codes of the programs.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// SettingsError is the error of a settings file that cannot be used. It ends a program with exit code 3.
type SettingsError struct{ Err error }

// Error returns the text of the cause.
func (se *SettingsError) Error() string { return se.Err.Error() }

// Unwrap returns the cause: see settings.Load and settings.Settings.Require.
func (se *SettingsError) Unwrap() error { return se.Err }

// exitCode returns the exit code for the outcome of a command.
func exitCode(err error) int {
	var settingsError *SettingsError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &settingsError):
		return exitSettings
	}
	return exitFailed
}
