package replication

import "errors"

// ErrNotConnected is returned by Client.Call and Client.Send if the client is not connected to the source.
var ErrNotConnected = errors.New("source not connected")
