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
	maxAttemptIDBytes = 128       // limit of X-Attempt-Id, bytes; a longer one is rejected
	maxTimeLeftMs     = 600_000.0 // longest time that a client may say it waits; a longer one is rejected
	msPerSecond       = 1000

	maxHeaderBytes   = 64 << 10 // greatest limit of a request's header that is observed; bounds the memory for it
	requestLineBytes = 4 << 10  // allowance for the request line, which the operator's limit does not include

	// replyAllowance is subtracted from the time that a client waits, in seconds, because the answer needs time to
	// reach the client. At most half of the time is subtracted.
	replyAllowance = 10.0 / 1000
	// clientRetryMargin is a time in seconds. A request counts as a client's retry if the time that its client waits is
	// shorter than the route's deadline by more than this margin.
	clientRetryMargin = 0.001
	// unknownRetryAfter is the time, in seconds, after which a client should retry if its route or key is not known
	// here and the configuration may be out of date.
	unknownRetryAfter = decision.Seconds(0.3)

	// A request that arrives before the first complete configuration waits for startWaitShare of the time that its
	// client waits, and for maxStartWait seconds at most. After a loss of all machines the configuration arrives within
	// that time, whereas a client that is rejected retries only after unknownRetryAfter.
	startWaitShare = 1.0 / 3
	maxStartWait   = 0.4
)

// Default timeouts of clients' connections in seconds, for a configuration that sets none.
const (
	defaultIdleTimeout = 15 // between requests, and from connecting to the first byte
	defaultHeadTimeout = 3  // for the head of a request
)

// translator translates the requests of clients for the decision module. It is safe for concurrent use.
type translator struct {
	control *controlFeed

	mu      sync.Mutex // guards the fields below
	splits  *splitter
	terms   map[string]*decision.Terms // terms of tenants, by name
	classes map[string]*decision.Class // classes of routes, by name and version
}

func newTranslator(control *controlFeed, splits *splitter) *translator {
	return &translator{
		control: control,
		splits:  splits,
		terms:   map[string]*decision.Terms{},
		classes: map[string]*decision.Class{},
	}
}

// dialect returns the parts of the client protocol that are specific to this proxy.
func (t *translator) dialect() ingress.Dialect {
	return ingress.Dialect{
		Parse:           t.parse,
		IngressFields:   consumedHeaders,
		ServerFields:    serverOnlyHeaders,
		OverQuotaStatus: http.StatusTooManyRequests,
		ForwardFailures: true,
		Timeouts:        t.clientTimeouts,
		MaxBody:         func() int64 { return int64(t.control.table.Load().ClientLimits().BodyBytes) },
		MaxHead:         func() int64 { return headLimit(t.control.table.Load().ClientLimits().HeaderBytes) },
	}
}

// headLimit returns the limit of a request's head for the operator's limit of its header, both in bytes; 0 means the
// default.
func headLimit(headerBytes int) int64 {
	if headerBytes == 0 {
		return 0
	}
	return int64(min(headerBytes, maxHeaderBytes) + requestLineBytes)
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

// parse finds the route and the tenant of a request and translates the request. It rejects only requests that are
// invalid or whose route, tenant or service is not known.
func (t *translator) parse(r *http1.Request) (decision.Request, *upstream.Message, *ingress.RequestError) {
	left, invalid := checkHead(r)
	if invalid != nil {
		return decision.Request{}, nil, invalid
	}
	waited := t.control.awaitConfiguration(min(maxStartWait, startWaitShare*left))
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
		// The owners of counters are control nodes, so contact with them is contact with the owners.
		OwnerContactAge: t.control.contactAge().Seconds(),
		Streamed:        r.Streamed != nil,
	}
	request.ClientRetry = left < route.Deadline-clientRetryMargin
	request.TimeLeft -= waited
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

// checkHead checks the fields that the proxy evaluates, and returns the time in seconds for which the client waits.
func checkHead(r *http1.Request) (left float64, invalid *ingress.RequestError) {
	fail := func(code, text string) (float64, *ingress.RequestError) {
		return 0, &ingress.RequestError{Status: http.StatusBadRequest, Code: code, Text: text}
	}
	for _, key := range [...]string{headerAttemptID, headerTimeLeft, headerAuthorization, headerHost} {
		if len(r.Header[key]) > 1 { // a server that reads the other value would decide differently
			return fail("request-twice", key+" stands there twice")
		}
	}
	id := r.Header.Get(headerAttemptID)
	if !http1.Visible(id) || len(id) > maxAttemptIDBytes {
		return fail("request-bad-id", "X-Attempt-Id is missing or not a word")
	}
	leftMs, err := strconv.ParseFloat(r.Header.Get(headerTimeLeft), 64)
	if err != nil || !(leftMs > 0) || leftMs > maxTimeLeftMs { // !(leftMs > 0) also rejects NaN
		return fail("request-bad-time", "X-Time-Left-Ms is not a time in milliseconds")
	}
	if http1.HasForbiddenTrailer(r.Trailer, consumedHeaders) {
		return fail("request-bad-trailer", "a trailer states what belongs in the head")
	}
	return leftMs / msPerSecond, nil
}

// destination is the route and the service of a request, and the tenant whose quota it uses.
type destination struct {
	route   *configuration.Route
	service string
	tenant  *configuration.Tenant // nil: anonymous request on a public route
}

// resolve finds a request's destination in the configuration in force.
func (t *translator) resolve(r *http1.Request) (destination, *ingress.RequestError) {
	if !t.control.complete.Load() { // an incomplete configuration may contain no tenants and would admit everybody
		return destination{}, t.unknownError(http.StatusServiceUnavailable, "request-too-soon", "no configuration yet")
	}
	table := t.control.table.Load()
	path, _, _ := strings.Cut(r.Target, "?")
	route := table.Route(r.Header.Get(headerHost), path)
	if route == nil {
		return destination{}, t.unknownError(http.StatusNotFound, "request-unknown-route", "no such route")
	}
	tenant := tenantOf(r, table)
	if tenant == nil && !route.Public && needsTenant(r, table) {
		return destination{}, t.unknownError(http.StatusUnauthorized, "request-unknown-key", "no such key")
	}
	service := t.chooseService(route)
	if !t.control.serviceExists(service) {
		return destination{}, t.unknownError(http.StatusNotFound, "request-unknown-service", "no such service")
	}
	return destination{route: route, service: service, tenant: tenant}, nil
}

// needsTenant reports whether a request on a route that is not public needs the key of a tenant. While there are no
// tenants, a request needs no key. But after the last tenant was removed, a request with a key must not be served: the
// key is that of a removed tenant, or was never valid.
func needsTenant(r *http1.Request, table *configuration.RoutingTable) bool {
	hasKey := strings.HasPrefix(r.Header.Get(headerAuthorization), authScheme)
	return table.HasTenants() || hasKey && table.HadTenants()
}

// tenantOf returns the tenant whose key a request contains, or nil if there is none.
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

// unknownError returns the answer to a request whose route, key or service is not known here. Only a proxy whose
// configuration is up to date may answer that it does not exist. Otherwise the answer is a 503, which tells the client
// that the request was not executed and may be sent again.
func (t *translator) unknownError(status int, code, text string) *ingress.RequestError {
	unknown := &ingress.RequestError{Status: status, Code: code, Text: text}
	if !t.control.upToDate() {
		unknown.Status, unknown.Code = http.StatusServiceUnavailable, code+"-yet"
		unknown.RetryAfter = unknownRetryAfter
	}
	return unknown
}

// chooseService returns the service for a request on a route.
func (t *translator) chooseService(route *configuration.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.splits.choose(route)
}
