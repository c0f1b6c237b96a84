package replication

import "errors"

// ErrNotConnected is returned by Client.Call and Client.Send if the client is not connected to the source.
var ErrNotConnected = errors.New("source not connected")

// errLongItem means that the next change is an item that is too long for a shared chunk.
var errLongItem = errors.New("the next item is too long for a chunk")
