package fakes

import (
	"errors"
	"fmt"
)

// The reasons for which Billing answers 400. They are the bodies of the responses.
var (
	// errNotGzip means that the body is not compressed.
	errNotGzip = errors.New("not gzip")
	// errNotBatch means that the body is no batch, or has another digest than its header says.
	errNotBatch = errors.New("not a batch")
)

// ListenError means that a fake could not listen on loopback.
type ListenError struct {
	Server string // which fake: billing, discovery or quote server
	Err    error  // of package net
}

func (l *ListenError) Error() string { return fmt.Sprintf("%s: %v", l.Server, l.Err) }

// Unwrap returns the error of package net.
func (l *ListenError) Unwrap() error { return l.Err }
