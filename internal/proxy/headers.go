package proxy

// The header fields of PROTOCOL, "Requests" and "Answers", in the canonical form of textproto, because Get would
// allocate a canonical copy of any other form.
const (
	headerAttemptID     = "X-Attempt-Id"
	headerTimeLeft      = "X-Time-Left-Ms"
	headerAuthorization = "Authorization"
	headerTenant        = "X-Tenant"
	headerTarget        = "X-Target-Instance"
	headerSeal          = "X-Server-Seal"
	headerNotExecuted   = "X-Not-Executed"
	headerInstance      = "X-Instance-Id"
	headerHost          = "Host"
	headerEncoding      = "Content-Encoding"
)

// authScheme is the scheme of headerAuthorization, with the space before the key.
const authScheme = "Token "

// consumedHeaders are the fields that the proxy evaluates or writes itself. They are not forwarded, and a trailer must
// not contain them. Servers do not get the client's key; they get the tenant instead.
var consumedHeaders = map[string]bool{
	headerAttemptID:     true,
	headerTimeLeft:      true,
	headerAuthorization: true,
	headerTenant:        true,
	headerTarget:        true,
}

// serverOnlyHeaders are the fields of answers that are meant for the proxy and not forwarded to clients.
var serverOnlyHeaders = map[string]bool{
	headerNotExecuted: true,
	headerInstance:    true,
}
