package storage

import "github.com/cockroachdb/errors"

var (
	// ErrClosed is the result of batches that are put after Store.Close.
	ErrClosed = errors.New("the store is closed")

	// ErrCloseTimeout is returned by Close if the disk does not write the pending batches in time.
	ErrCloseTimeout = errors.New("closing the store timed out: the disk did not write the pending batches")

	// ErrManifestMarkerMissing is returned by Open for a folder that has data, but no marker of the current manifest.
	// Names in the folder have been lost, and with them acknowledged state, so the folder must not be treated as an
	// empty one.
	ErrManifestMarkerMissing = errors.New("the folder has data, but no manifest marker: " +
		"file names were lost, and with them acknowledged state")

	// ErrNewerFormat is returned by Open for a folder that a newer version of the program has written.
	ErrNewerFormat = errors.New("the folder is of a later format version")

	// ErrUnknownKey is returned by Open for a record that no version of the program writes.
	ErrUnknownKey = errors.New("unknown key")
)
