package usagesegment

import "errors"

// ErrLocked is returned for a folder that another process writes to.
var ErrLocked = errors.New("another process writes usage records to this folder")
