package replication

import "errors"

// ErrNotConnected is returned by Client.Call and Client.Send while there is no connection to the source.
var ErrNotConnected = errors.New("source not connected")
