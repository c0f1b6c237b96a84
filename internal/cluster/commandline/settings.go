package commandline

import (
	"github.com/alecthomas/kong"

	"mulleinrouter/internal/cluster/settings"
)

// HelpTexts are the variables in the help texts of this package's flags. A program passes them to kong.
var HelpTexts = kong.Vars{"variable": settings.EnvVariable}

// SettingsArgument is the settings file as the argument of a command. Its help text needs HelpTexts for the name of the
// environment variable.
type SettingsArgument struct {
	File string `arg:"" optional:"" help:"Settings file. Default: the one that ${variable} names."`
}

// SettingsFlag is the settings file as a flag of a command.
type SettingsFlag struct {
	File string `short:"c" help:"Settings file. Default: the one that ${variable} names." placeholder:"FILE"`
}

// Load loads a settings file for a program. If file is empty, it loads the file that settings.EnvVariable names. Errors
// are *SettingsError.
func Load(file, program string) (*settings.Settings, error) {
	s, err := settings.Load(file)
	if err == nil {
		err = s.Require(program)
	}
	if err != nil {
		return nil, &SettingsError{Err: err}
	}
	return s, nil
}
