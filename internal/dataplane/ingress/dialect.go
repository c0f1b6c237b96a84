package ingress

import (
	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

// Dialect is the protocol spoken with clients. New sets the dialect of the standalone ingress; SetDialect replaces it.
type Dialect struct {
	// ReadyPath is the path of the readiness page.
	ReadyPath string
	// Parse translates a client's request for the decision module and for the backends, or returns why the request is
	// rejected. It makes no decision about quotas or backends.
	Parse func(*http1.Request) (decision.Request, *upstream.Message, *RequestError)
	// IngressFields are the header fields that are not forwarded to backends. ServerFields are those that are not
	// forwarded to clients.
	IngressFields, ServerFields map[string]bool
	// OverQuotaStatus is the HTTP status of a rejection for an exceeded quota; 0: 503, as for any other rejection.
	OverQuotaStatus int
	// ForwardFailures makes the ingress forward a backend's own error answer when the request has failed and cannot be
	// retried. Otherwise the client gets 502.
	ForwardFailures bool
	// Timeouts returns the timeouts of a client's connection; nil: the defaults of clientconn. MaxBody returns the
	// limit in bytes of a request's body, and MaxHead that of its head; nil, or 0: the default of http1. They are
	// called for each request, because a connection may outlast a change of the limits.
	Timeouts func() *clientconn.Timeouts
	MaxBody  func() int64
	MaxHead  func() int64
}

// ingressFields are the fields on which the standalone ingress bases its decisions, or which it writes itself. They are
// not forwarded, and a trailer must not contain them.
var ingressFields = map[string]bool{
	keyID:      true,
	keyClass:   true,
	keyPlan:    true,
	keyTimeout: true,
	keyTerms:   true,
	keyRetried: true,
}

// serverFields are the fields in which backends report to the ingress. They are not forwarded to clients.
var serverFields = map[string]bool{"X-Server-Load": true, "X-Not-Processed": true}

// SetDialect sets the dialect. It must be called before Serve.
func (s *Server) SetDialect(d Dialect) { s.dialect = d }
