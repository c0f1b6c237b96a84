package state

import "errors"

// Errors of reading a file. Reading never changes or removes the file.
var (
	// ErrDamaged is the error of a file whose header, checksum or content is invalid, or that is too large.
	ErrDamaged = errors.New("damaged file")
	// ErrVersion is the error of a file with another format version.
	ErrVersion = errors.New("file of another version")
	// ErrOtherIngress is the error of a file of an ingress with another name.
	ErrOtherIngress = errors.New("file of another ingress")
)
