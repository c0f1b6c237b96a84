package ingress

import (
	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

// Dialect is the protocol spoken with clients. New sets that of the deployments in service, SetDialect another.
type Dialect struct {
	// ReadyPath is the path of the readiness page.
	ReadyPath string
	// Parse translates a client's request. It decides nothing.
	Parse func(*http1.Request) (decision.Request, *upstream.Message, *RequestError)
	// IngressFields are the header fields that are not forwarded to backends, ServerFields those that are not forwarded
	// to clients.
	IngressFields, ServerFields map[string]bool
	// OverQuotaStatus is the status of a rejection for exceeding a quota; 0: 503, as of any other.
	OverQuotaStatus int
	// ForwardFailures: a backend's own answer is forwarded where it failed and nothing else can be done.
	ForwardFailures bool
	// Timeouts returns those of a client's connection; nil: clientconn's defaults. MaxBody returns the limit of a
	// request's body in bytes; nil: http1's default. Both are called for each connection.
	Timeouts func() *clientconn.Timeouts
	MaxBody  func() int64
}

// ingressFields are the fields that the ingress in service decides by, or writes itself: they are not forwarded, and no
// trailer may hold them.
var ingressFields = map[string]bool{
	keyID:      true,
	keyClass:   true,
	keyPlan:    true,
	keyTimeout: true,
	keyTerms:   true,
	keyRetried: true,
}

// serverFields are the fields in which backends report to the ingress: clients do not get them.
var serverFields = map[string]bool{"X-Server-Load": true, "X-Not-Processed": true}

// SetDialect sets the dialect. It is called before Serve.
func (s *Server) SetDialect(d Dialect) { s.dialect = d }
