package usageexport

import "errors"

// Errors of exporting.
var (
	// ErrLocked is returned for a folder that another process is exporting.
	ErrLocked = errors.New("another process exports this folder")
	// ErrNotAcknowledged is returned for a batch that the endpoint didn't acknowledge. Result.Answer has the reason.
	ErrNotAcknowledged = errors.New("the endpoint did not acknowledge the batch")
	// ErrOtherSource is returned for a store that belongs to another folder's records.
	ErrOtherSource = errors.New("the store belongs to another folder's records")
)
