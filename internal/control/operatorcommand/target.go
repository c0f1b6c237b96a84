package operatorcommand

import (
	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/control/operatorapi"
)

// Target selects the control node to call.
type Target struct {
	File string `short:"c" placeholder:"FILE" help:"Settings file of a control node. Default: the one that ${variable} names."` //nolint:lll // a tag is one line
	At   string `help:"Ask this control address instead of the one in the settings." placeholder:"HOST:PORT"`
}

// client returns a client of the control node. Errors are *commandline.SettingsError.
func (t Target) client() (operatorapi.Client, error) {
	if t.At != "" {
		return operatorapi.Client{Addr: t.At}, nil
	}
	s, err := commandline.Load(t.File, commandline.Control)
	if err != nil {
		return operatorapi.Client{}, err
	}
	return operatorapi.Client{Addr: s.ControlAddr}, nil
}
