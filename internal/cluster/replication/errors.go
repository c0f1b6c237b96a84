package replication

import "errors"

var (
	// ErrNotConnected is returned by Client.Call and Client.Send if the client is not connected to the source.
	ErrNotConnected = errors.New("source not connected")

	// ErrOtherProcess is returned by Client.SendTo if the client is connected to another process of the source.
	ErrOtherProcess = errors.New("the process that a frame is addressed to no longer serves this source")
)

// errLongItem means that the next change is an item that is too long for a shared chunk.
var errLongItem = errors.New("the next item is too long for a chunk")
