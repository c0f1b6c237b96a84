package http1

import "errors"

// Errors of reading a message. After any of them the connection cannot be read further, because it is unknown where
// the next message begins.
var (
	// ErrStartLine is a request line or status line that is not well-formed.
	ErrStartLine = errors.New("broken start line")
	// ErrHeader is a header field that is not well-formed.
	ErrHeader = errors.New("broken header")
	// ErrHeadTooLarge is a head of more bytes than Reader.MaxHead allows.
	ErrHeadTooLarge = errors.New("start line and headers too large")
	// ErrFraming is a body whose end is ambiguous, or a chunk or trailer that is not well-formed.
	ErrFraming = errors.New("broken length or transfer coding")
	// ErrBodyTooLarge is a body that exceeds its size limit, or a chunked body with too much framing for its content.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrExpect is an Expect field with a value other than 100-continue.
	ErrExpect = errors.New("an expectation that cannot be met")
)
