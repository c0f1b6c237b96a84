package counterclient

import "errors"

// errProtocol is wrapped by errors about bytes that are no reply of a counter. After one the connection is closed,
// for the replies behind it cannot be assigned to calls.
var errProtocol = errors.New("not an answer of the counter")
