package counterserver

import "errors"

// errProtocol is returned for bytes that are not a valid RESP2 call. The connection is closed after it, because the
// start of the next call is unknown.
var errProtocol = errors.New("invalid RESP2 call")
