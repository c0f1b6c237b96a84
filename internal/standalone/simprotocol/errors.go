package simprotocol

import "errors"

// ErrNoTime is returned for a batch without a time.
var ErrNoTime = errors.New("not a batch: no Ts")
