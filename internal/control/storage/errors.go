package storage

import "github.com/cockroachdb/errors"

var (
	// ErrClosed is the result of batches that were not on disk when the store was closed.
	ErrClosed = errors.New("the store is closed")

	// ErrCloseTimeout is returned by Close when the disk does not let the pending batches be written in time.
	ErrCloseTimeout = errors.New("the disk did not let the store close")

	// ErrManifestMarkerMissing is returned by Open for a folder that has data and no marker that names the current
	// manifest. Names of the folder were lost, and with them acknowledged state: the folder must not be taken for an
	// empty one.
	ErrManifestMarkerMissing = errors.New("no marker of a manifest: names of the folder are lost, " +
		"and with them what was acknowledged")

	// ErrNewerFormat is returned by Open for a folder that a later version of the program wrote.
	ErrNewerFormat = errors.New("the folder is of a later format version")

	// ErrUnknownKey is returned by Open for a record that no version of the program writes.
	ErrUnknownKey = errors.New("unknown key")
)
