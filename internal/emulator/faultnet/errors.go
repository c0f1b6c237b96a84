package faultnet

import (
	"errors"
	"fmt"
)

var (
	// ErrNegative is a fault with a delay, jitter or size below zero.
	ErrNegative = errors.New("delay, jitter and longest must not be below zero")
	// ErrNoPort is a relay that found no port of loopback that is free for datagrams and streams alike.
	ErrNoPort = errors.New("faultnet: no port is free for datagrams and streams")
)

// ShareError is a fault with a share that is not between 0 and 1.
type ShareError struct{ Field string }

func (se ShareError) Error() string { return fmt.Sprintf("%s must be from 0 to 1", se.Field) }
