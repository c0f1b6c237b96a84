package usagesegment

import "errors"

// ErrLocked is the error of a folder that another process writes to.
var ErrLocked = errors.New("another process writes usage there")
