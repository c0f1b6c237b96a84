package logging

import "errors"

// ErrUnknownLevel is returned for a level that ParseLevel does not know.
var ErrUnknownLevel = errors.New("neither debug, info, warn nor error")

// ErrUnknownFormat is returned for a format that ParseFormat does not know.
var ErrUnknownFormat = errors.New("neither logfmt nor json")
