package faultnet

import (
	"errors"
	"fmt"
)

var (
	// ErrNegative is returned for a fault with a delay, jitter or maximum size below zero. Its text calls the maximum
	// size "longest", as the files of fault tests do.
	ErrNegative = errors.New("delay, jitter and longest must not be below zero")
	// ErrNoPort is returned if a relay finds no loopback port that is free for both datagrams and streams.
	ErrNoPort = errors.New("faultnet: no port is free for datagrams and streams")
)

// ShareError is returned for a fault with a share that is not between 0 and 1. Field is the name of the share in the
// files of fault tests, where Fault.Duplicate is "double".
type ShareError struct{ Field string }

func (se ShareError) Error() string { return fmt.Sprintf("%s must be from 0 to 1", se.Field) }
