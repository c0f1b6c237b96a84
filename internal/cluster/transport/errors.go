package transport

import "github.com/pkg/errors"

var (
	// ErrFrame means that received bytes are not a valid frame: too long, empty, or not decodable. The connection can't
	// be used any more. It is also returned if a frame is too long to be sent.
	ErrFrame = errors.New("not a frame")

	// ErrClosed is returned for frames and calls on a connection that has ended.
	ErrClosed = errors.New("connection closed")

	// ErrNoReply is returned for a call that was not answered in time. The call may have been executed.
	ErrNoReply = errors.New("no answer in time")
)
