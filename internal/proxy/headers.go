package proxy

// The fields of PROTOCOL, "Requests" and "Answers", in textproto's own form: Get would make each anew.
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

// consumedHeaders are the fields that the system decides by or writes itself: they are not forwarded, and no trailer
// may have them. The key is between the client and the system: servers get the tenant.
var consumedHeaders = map[string]bool{
	headerAttemptID:     true,
	headerTimeLeft:      true,
	headerAuthorization: true,
	headerTenant:        true,
	headerTarget:        true,
}

// serverOnlyHeaders are the fields from servers to the system: clients do not get them.
var serverOnlyHeaders = map[string]bool{
	headerNotExecuted: true,
	headerInstance:    true,
}
