package settings

import "errors"

// ErrNoSettings is returned by Decode for an object that is missing or null.
var ErrNoSettings = errors.New("no settings")

// errEmpty is wrapped by the error of Check for an object that is null.
var errEmpty = errors.New("empty")

// KeyError is an error of one key of the settings object.
type KeyError struct {
	Key  string // such as `Classes[0].Deadline`
	Text string
}

func (k *KeyError) Error() string { return "settings: " + k.Key + ": " + k.Text }
