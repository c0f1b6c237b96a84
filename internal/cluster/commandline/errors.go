package commandline

// SettingsError is the error of a settings file that cannot be used. It ends a program with exit code 3.
type SettingsError struct{ Err error }

// Error returns the text of the cause.
func (se *SettingsError) Error() string { return se.Err.Error() }

// Unwrap returns the cause: see settings.Load and settings.Settings.Require.
func (se *SettingsError) Unwrap() error { return se.Err }
