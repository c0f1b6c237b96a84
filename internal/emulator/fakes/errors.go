package fakes

import (
	"errors"
	"fmt"
)

// Errors for which Billing answers 400. Their texts are the bodies of the responses.
var (
	// errNotGzip means that the body is not compressed with gzip.
	errNotGzip = errors.New("not gzip")
	// errNotBatch means that the body is not a valid batch, or that its digest differs from the one in the header.
	errNotBatch = errors.New("not a batch")
)

// ListenError means that a fake could not listen on loopback.
type ListenError struct {
	Server string // name of the fake: billing, discovery or quote server
	Err    error  // error of package net
}

func (l *ListenError) Error() string { return fmt.Sprintf("%s: %v", l.Server, l.Err) }

// Unwrap returns the error of package net.
func (l *ListenError) Unwrap() error { return l.Err }
