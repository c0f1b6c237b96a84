package proxy

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

// The fields of PROTOCOL, "Requests" and "Answers", in textproto's own form: Get would make each anew.
const (
	headerAttemptID, headerTimeLeft, headerAuthorization, headerTenant = "X-Attempt-Id", "X-Time-Left-Ms", "Authorization", "X-Tenant"
	headerTarget, headerSeal, headerNotExecuted                        = "X-Target-Instance", "X-Server-Seal", "X-Not-Executed"
	authScheme                                                         = "Token "

	maxAttemptIDBytes = 128                   // bytes
	maxTimeLeftMs     = 600_000.0             // ms: no client waits longer
	replyAllowance    = 10.0 / 1000           // s taken off the time that a client waits: the answer still has its way to go
	unknownRetryAfter = decision.Seconds(0.3) // s until a client whose route or key is not known here, perhaps not yet, should ask again
)

// consumedHeaders are the fields that the system decides by or writes itself: they are not passed on, and no trailer may have them. The key
// is the client's alone: servers are told the tenant.
var consumedHeaders = map[string]bool{headerAttemptID: true, headerTimeLeft: true, headerAuthorization: true, headerTenant: true, headerTarget: true}

// serverOnlyHeaders are fields in which servers tell the system something: clients do not get them.
var serverOnlyHeaders = map[string]bool{headerNotExecuted: true, "X-Instance-Id": true}

// translator translates between the wire and the module.
type translator struct {
	control *controlFeed

	mu      sync.Mutex
	splits  *splitter
	terms   map[string]*decision.Terms // of tenants that asked lately
	classes map[string]*decision.Class // of routes that were asked lately
}

// maxCachedEntries bounds what is kept of routes and tenants; beyond it all is made anew, which costs little.
const maxCachedEntries = 1 << 14

// dialect is what clients are answered in.
func (s *translator) dialect() ingress.Dialect {
	return ingress.Dialect{
		Parse: s.parse, IngressFields: consumedHeaders, ServerFields: serverOnlyHeaders, OverQuotaStatus: 429, ForwardFailures: true,
		Timeouts: func() *clientconn.Timeouts {
			b := s.control.table.Load().ClientLimits()
			t := &clientconn.Timeouts{FirstByte: 15, Idle: 15, Head: 3, ServePending: true}
			if b.IdleTime > 0 {
				t.Idle, t.FirstByte = b.IdleTime, b.IdleTime
			}
			if b.HeaderTime > 0 {
				t.Head = b.HeaderTime
			}
			return t
		},
		MaxBody: func() int64 { return int64(s.control.table.Load().ClientLimits().BodyBytes) },
	}
}

// parse finds a request's route and its tenant, and translates it. It decides nothing but whether there are these.
func (s *translator) parse(r *http1.Request) (request decision.Request, m *upstream.Message, bad *ingress.RequestError) {
	fail := func(status int, code, text string) (decision.Request, *upstream.Message, *ingress.RequestError) {
		return decision.Request{}, nil, &ingress.RequestError{Status: status, Code: code, Text: text}
	}
	for _, key := range [...]string{headerAttemptID, headerTimeLeft, headerAuthorization, "Host"} {
		if len(r.Header[key]) > 1 { // who counts the other one decides otherwise
			return fail(400, "request-twice", key+" stands there twice")
		}
	}
	id := r.Header.Get(headerAttemptID)
	if !http1.Visible(id) || len(id) > maxAttemptIDBytes {
		return fail(400, "request-bad-id", "X-Attempt-Id is missing or not a word")
	}
	left, err := strconv.ParseFloat(r.Header.Get(headerTimeLeft), 64)
	if err != nil || !(left > 0) || left > maxTimeLeftMs {
		return fail(400, "request-bad-time", "X-Time-Left-Ms is not a time in milliseconds")
	}
	if http1.HasForbiddenTrailer(r.Trailer, consumedHeaders) {
		return fail(400, "request-bad-trailer", "a trailer states what belongs in the head")
	}
	if !s.control.complete.Load() { // a part of a configuration may lack the tenants, and let anybody in
		return s.unknownReply(503, "request-too-soon", "no configuration yet")
	}
	table, host := s.control.table.Load(), r.Header.Get("Host")
	path, _, _ := strings.Cut(r.Target, "?")
	route := table.Route(host, path)
	if route == nil {
		return s.unknownReply(404, "request-unknown-route", "no such route")
	}
	var tenant *configuration.Tenant
	if auth := r.Header.Get(headerAuthorization); auth != "" && table.HasTenants() {
		if key, ok := strings.CutPrefix(auth, authScheme); ok {
			tenant = table.Tenant(key)
		}
	}
	if tenant == nil && !route.Public && table.HasTenants() {
		return s.unknownReply(401, "request-unknown-key", "no such key")
	}
	service := s.chooseService(route)
	if !s.control.serviceExists(service) {
		return s.unknownReply(404, "request-unknown-service", "no such service")
	}
	request = decision.Request{Class: route.Name, Kind: s.class(route), Group: service, TimeLeft: min(left/1000, route.Deadline), Units: 1,
		Gateways: s.control.ingressCount(), Streamed: r.Streamed != nil}
	request.ClientRetry = left/1000 < route.Deadline-0.001
	request.TimeLeft = max(request.TimeLeft/2, request.TimeLeft-replyAllowance)
	m = &upstream.Message{Method: r.Method, Target: r.Target, ID: id, Host: host, AtMostOnce: route.Mutating, Body: r.Body, Trailer: r.Trailer,
		Fields: http1.AppendFields(nil, r.Header, consumedHeaders)}
	if tenant != nil {
		request.Customer, request.Terms, m.Tenant = tenant.Name, s.tenantTerms(tenant), tenant.Name
	} else {
		request.Terms = anonymousTerms
	}
	return request, m, nil
}

// anonymousTerms are the terms of requests on public routes that come without a key.
var anonymousTerms = &decision.Terms{Plan: decision.Plan{ValueWeight: 1}, Tag: "-"}

// unknownReply is the answer to who asks for what is not known here. Only one who knows that the configuration here is fresh may say
// that there is none; else the request has not run, and may come again.
func (s *translator) unknownReply(status int, code, text string) (decision.Request, *upstream.Message, *ingress.RequestError) {
	p := &ingress.RequestError{Status: status, Code: code, Text: text}
	if !s.control.fresh() {
		p.Status, p.Code, p.RetryAfter = 503, code+"-yet", unknownRetryAfter
	}
	return decision.Request{}, nil, p
}

// chooseService returns the service that a request on a route goes to.
func (s *translator) chooseService(route *configuration.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.splits.choose(route)
}

const (
	routePriorityStep     = 3.0  // worth of a route's rank beside the next lower
	tenantPriorityStep    = 64.0 // a tenant's priority goes before the route's
	patience              = 6.0  // usual times of an answer: one in some hundred takes longer
	maxQueueShareOfTarget = 0.22 // of the aim that a request may wait for a server: a refusal within a quarter of it costs least
)

// class is a route as the module knows it.
func (s *translator) class(route *configuration.Route) *decision.Class {
	key := route.Name + "\x00" + strconv.FormatUint(route.Version, 16)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.classes[key]
	if c == nil {
		c = &decision.Class{Name: route.Name, LatencyTarget: route.LatencyTarget, Deadline: route.Deadline, Value: worthOfPriority(route.Priority, routePriorityStep), LateValue: 0.5,
			MaxAttempts: route.MaxAttempts, MaxQueueTime: maxQueueShareOfTarget * route.LatencyTarget, SlowAttemptFactor: patience, Effect: decision.Idempotent}
		if route.Mutating {
			c.Effect = decision.NonIdempotent
		}
		if len(s.classes) >= maxCachedEntries {
			clear(s.classes)
		}
		s.classes[key] = c
	}
	return c
}

// tenantTerms is a tenant's quota as the module knows it.
func (s *translator) tenantTerms(t *configuration.Tenant) *decision.Terms {
	tag := strconv.FormatUint(t.Version, 16)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.terms[t.Name]
	if e == nil || e.Tag != tag {
		e = &decision.Terms{Customer: t.Name, Tag: tag,
			Plan: decision.Plan{Name: t.Name, Rate: t.Rate, Burst: t.Burst, ValueWeight: worthOfPriority(t.Priority, tenantPriorityStep)}}
		if len(s.terms) >= maxCachedEntries {
			clear(s.terms)
		}
		s.terms[t.Name] = e
	}
	return e
}

// worthOfPriority turns a priority, where 0 is the highest, into a worth.
func worthOfPriority(priority int, step float64) float64 {
	worth := 1.0
	for range min(max(priority, 0), 8) {
		worth /= step
	}
	return worth
}

// beginRequest begins a request to a server (PROTOCOL, "Requests").
func beginRequest(b []byte, m *upstream.Message, backend string, left time.Duration) []byte {
	b = http1.AppendRequestLine(b, m.Method, m.Target, m.Host)
	b = http1.AppendField(b, headerAttemptID, m.ID)
	b = http1.AppendField(b, headerTimeLeft, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	b = http1.AppendField(b, headerTarget, backend)
	if m.Tenant != "" {
		b = http1.AppendField(b, headerTenant, m.Tenant)
	}
	return b
}

// promisesNotRun tells whether a status promises a client that its request has not run and never will. A server's own word for that is
// X-Not-Executed: without it, such a status proves nothing, and is never passed on.
func promisesNotRun(status int) bool {
	return status == 408 || status == 429 || status == 503
}

// classifyAnswer is what a server's answer means (PROTOCOL, "Servers" and "Answers"): only X-Not-Executed, or 421, says that the request has
// not run, and an answer under another id is not its own, whatever it says. One without an end of its own may have been cut short.
func classifyAnswer(m *upstream.Message, a *http1.Response) upstream.AnswerMeaning {
	switch id := a.Header.Get(headerAttemptID); {
	case len(a.Header[headerAttemptID]) > 1:
		return upstream.Broken
	case id != "" && id != m.ID:
		return upstream.Foreign
	case a.Header.Get(headerNotExecuted) != "" || a.Status == 421:
		return upstream.NotExecuted
	case promisesNotRun(a.Status):
		return upstream.Broken
	case a.EndsWithConnection():
		return upstream.Broken
	case a.Status >= 500:
		return upstream.Failed
	case id == "", a.Status/100 == 2 && (a.Header.Get(headerSeal) == "" || a.Header.Get("Content-Encoding") != ""):
		return upstream.Broken
	}
	return upstream.Served
}
