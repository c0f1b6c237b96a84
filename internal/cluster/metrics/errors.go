package metrics

import "errors"

// ErrBadEndpoint is wrapped in the error of a text that is not an Endpoint.
var ErrBadEndpoint = errors.New("not of the form PORT/PATH")
