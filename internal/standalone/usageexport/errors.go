package usageexport

import "errors"

// Errors of exporting.
var (
	// ErrLocked is the error of a folder that another process exports.
	ErrLocked = errors.New("another process exports this folder")
	// ErrNotAcknowledged is the error of a batch that the endpoint didn't acknowledge. Result.Answer says why.
	ErrNotAcknowledged = errors.New("the endpoint did not acknowledge the batch")
	// ErrOtherSource is the error of a store that belongs to another folder's records.
	ErrOtherSource = errors.New("the store is that of another folder's records")
)
