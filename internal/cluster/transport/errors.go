package transport

import "github.com/pkg/errors"

var (
	// ErrFrame marks bytes that are no frame: too long, empty, or not decodable. Their connection can't be used any
	// more.
	ErrFrame = errors.New("not a frame")

	// ErrClosed is returned for frames and calls on a connection that has ended.
	ErrClosed = errors.New("connection closed")

	// ErrNoReply is returned by a call that was not answered in time. It may have been executed.
	ErrNoReply = errors.New("no answer in time")
)
