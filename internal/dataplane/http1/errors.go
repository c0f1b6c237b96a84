package http1

import "errors"

// Errors of reading a message. After any of them, where the next message of the connection begins is not known.
var (
	// ErrStartLine is a request line or status line that is not well-formed.
	ErrStartLine = errors.New("broken start line")
	// ErrHeader is a header field that is not well-formed.
	ErrHeader = errors.New("broken header")
	// ErrHeadTooLarge is a head of more than MaxHead bytes.
	ErrHeadTooLarge = errors.New("start line and headers too large")
	// ErrFraming is a body whose end is not known for certain, or a chunk or trailer that is not well-formed.
	ErrFraming = errors.New("broken length or transfer coding")
	// ErrBodyTooLarge is a body over its limit, or one whose chunks have too much framing.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrExpect is an expectation other than 100-continue.
	ErrExpect = errors.New("an expectation that cannot be met")
)
