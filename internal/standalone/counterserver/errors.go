package counterserver

import "errors"

// errProtocol is returned for bytes that are no call of RESP2. The connection ends after one.
var errProtocol = errors.New("no call of RESP2")
