package counterclient

import "errors"

// errProtocol is wrapped by errors about bytes that are not a valid reply of the counter. The connection is closed
// after one, because the replies that follow cannot be matched to calls.
var errProtocol = errors.New("invalid reply from the counter")
