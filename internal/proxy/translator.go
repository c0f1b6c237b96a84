package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"sync"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

const (
	maxAttemptIDBytes = 128
	maxTimeLeftMs     = 600_000.0 // no client waits longer
	msPerSecond       = 1000

	// replyAllowance is taken off the time that a client waits, in seconds: the answer still has its way to go.
	replyAllowance = 10.0 / 1000
	// clientRetryMargin is how much less than its route's deadline a client must wait for its request to be a retry, in
	// seconds.
	clientRetryMargin = 0.001
	// unknownRetryAfter is the time until a client should ask again whose route or key is not known here, perhaps not
	// yet.
	unknownRetryAfter = decision.Seconds(0.3)
)

// Timeouts of clients' connections in seconds, where the configuration has none.
const (
	defaultIdleTimeout = 15
	defaultHeadTimeout = 3
)

// translator translates the requests of clients for the decision module. Safe for concurrent use.
type translator struct {
	control *controlFeed

	mu      sync.Mutex // guards the fields below
	splits  *splitter
	terms   map[string]*decision.Terms // of tenants, by name
	classes map[string]*decision.Class // of routes, by name and version
}

func newTranslator(control *controlFeed, splits *splitter) *translator {
	return &translator{
		control: control,
		splits:  splits,
		terms:   map[string]*decision.Terms{},
		classes: map[string]*decision.Class{},
	}
}

// dialect is how clients are served.
func (t *translator) dialect() ingress.Dialect {
	return ingress.Dialect{
		Parse:           t.parse,
		IngressFields:   consumedHeaders,
		ServerFields:    serverOnlyHeaders,
		OverQuotaStatus: http.StatusTooManyRequests,
		ForwardFailures: true,
		Timeouts:        t.clientTimeouts,
		MaxBody:         func() int64 { return int64(t.control.table.Load().ClientLimits().BodyBytes) },
	}
}

// clientTimeouts returns the timeouts of clients' connections.
func (t *translator) clientTimeouts() *clientconn.Timeouts {
	limits := t.control.table.Load().ClientLimits()
	timeouts := &clientconn.Timeouts{
		FirstByte:    defaultIdleTimeout,
		Idle:         defaultIdleTimeout,
		Head:         defaultHeadTimeout,
		ServePending: true,
	}
	if limits.IdleTime > 0 {
		timeouts.Idle, timeouts.FirstByte = limits.IdleTime, limits.IdleTime
	}
	if limits.HeaderTime > 0 {
		timeouts.Head = limits.HeaderTime
	}
	return timeouts
}

// parse finds a request's route and its tenant, and translates it. It decides only whether there are these.
func (t *translator) parse(r *http1.Request) (decision.Request, *upstream.Message, *ingress.RequestError) {
	left, invalid := checkHead(r)
	if invalid != nil {
		return decision.Request{}, nil, invalid
	}
	destination, unknown := t.resolve(r)
	if unknown != nil {
		return decision.Request{}, nil, unknown
	}
	route := destination.route
	request := decision.Request{
		Class:      route.Name,
		ClassTerms: t.class(route),
		Group:      destination.service,
		TimeLeft:   min(left, route.Deadline),
		Units:      1,
		Gateways:   t.control.ingressCount(),
		// The owners of counters are control nodes.
		OwnerContactAge: t.control.contactAge().Seconds(),
		Streamed:        r.Streamed != nil,
	}
	request.ClientRetry = left < route.Deadline-clientRetryMargin
	request.TimeLeft = max(request.TimeLeft/2, request.TimeLeft-replyAllowance)
	message := &upstream.Message{
		Method:     r.Method,
		Target:     r.Target,
		ID:         r.Header.Get(headerAttemptID),
		Host:       r.Header.Get(headerHost),
		AtMostOnce: route.Mutating,
		Body:       r.Body,
		Trailer:    r.Trailer,
		Fields:     http1.AppendFields(nil, r.Header, consumedHeaders),
	}
	if tenant := destination.tenant; tenant != nil {
		request.Customer, request.Terms = tenant.Name, t.tenantTerms(tenant)
		message.Tenant = tenant.Name
	} else {
		request.Terms = anonymousTerms
	}
	return request, message, nil
}

// checkHead checks the fields that the system decides by, and returns the seconds for which the client waits.
func checkHead(r *http1.Request) (left float64, invalid *ingress.RequestError) {
	fail := func(code, text string) (float64, *ingress.RequestError) {
		return 0, &ingress.RequestError{Status: http.StatusBadRequest, Code: code, Text: text}
	}
	for _, key := range [...]string{headerAttemptID, headerTimeLeft, headerAuthorization, headerHost} {
		if len(r.Header[key]) > 1 { // a server that reads the other one would decide differently
			return fail("request-twice", key+" stands there twice")
		}
	}
	id := r.Header.Get(headerAttemptID)
	if !http1.Visible(id) || len(id) > maxAttemptIDBytes {
		return fail("request-bad-id", "X-Attempt-Id is missing or not a word")
	}
	leftMs, err := strconv.ParseFloat(r.Header.Get(headerTimeLeft), 64)
	if err != nil || !(leftMs > 0) || leftMs > maxTimeLeftMs { // not above 0: also a NaN
		return fail("request-bad-time", "X-Time-Left-Ms is not a time in milliseconds")
	}
	if http1.HasForbiddenTrailer(r.Trailer, consumedHeaders) {
		return fail("request-bad-trailer", "a trailer states what belongs in the head")
	}
	return leftMs / msPerSecond, nil
}

// destination is where a request goes, and on whose account.
type destination struct {
	route   *configuration.Route
	service string
	tenant  *configuration.Tenant // nil: anonymous, on a public route
}

// resolve finds a request's destination in the configuration in force.
func (t *translator) resolve(r *http1.Request) (destination, *ingress.RequestError) {
	if !t.control.complete.Load() { // a part of a configuration may lack the tenants, and admit anybody
		return destination{}, t.unknownError(http.StatusServiceUnavailable, "request-too-soon", "no configuration yet")
	}
	table := t.control.table.Load()
	path, _, _ := strings.Cut(r.Target, "?")
	route := table.Route(r.Header.Get(headerHost), path)
	if route == nil {
		return destination{}, t.unknownError(http.StatusNotFound, "request-unknown-route", "no such route")
	}
	tenant := tenantOf(r, table)
	if tenant == nil && !route.Public && table.HasTenants() {
		return destination{}, t.unknownError(http.StatusUnauthorized, "request-unknown-key", "no such key")
	}
	service := t.chooseService(route)
	if !t.control.serviceExists(service) {
		return destination{}, t.unknownError(http.StatusNotFound, "request-unknown-service", "no such service")
	}
	return destination{route: route, service: service, tenant: tenant}, nil
}

// tenantOf returns the tenant whose key a request has; nil: none.
func tenantOf(r *http1.Request, table *configuration.RoutingTable) *configuration.Tenant {
	authorization := r.Header.Get(headerAuthorization)
	if authorization == "" || !table.HasTenants() {
		return nil
	}
	key, ok := strings.CutPrefix(authorization, authScheme)
	if !ok {
		return nil
	}
	return table.Tenant(key)
}

// unknownError is the answer to a request for what is not known here. Only a proxy whose configuration is current may
// answer that there is none; else the request was not executed, and may be sent again.
func (t *translator) unknownError(status int, code, text string) *ingress.RequestError {
	unknown := &ingress.RequestError{Status: status, Code: code, Text: text}
	if !t.control.upToDate() {
		unknown.Status, unknown.Code = http.StatusServiceUnavailable, code+"-yet"
		unknown.RetryAfter = unknownRetryAfter
	}
	return unknown
}

// chooseService returns the service that a request on a route goes to.
func (t *translator) chooseService(route *configuration.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.splits.choose(route)
}
