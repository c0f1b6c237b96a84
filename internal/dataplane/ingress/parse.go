package ingress

import (
	"math"
	"strconv"
	"strings"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

const (
	pathPrefix      = "/api/"
	maxTimeout      = 300.0 // s: no client of this service waits that long
	defaultMaxUnits = 1e6   // where the settings name no most
	maxIDLength     = 128   // bytes

	// The keys in textproto's own form: Get would make each anew.
	keyID, keyClass, keyPlan         = "X-Request-Id", "X-Priority-Class", "X-Tier"
	keyTimeout, keyTerms, keyRetried = "X-Timeout", "X-Call-Terms", "X-Retried"

	// transit is taken off the time that a client waits: the answer still has its way to go.
	answerTransit = 10 * time.Millisecond
)

// deciding are the fields that an ingress decides by, or writes itself: they are not passed on, and no trailer may have them.
var ingressFields = map[string]bool{keyID: true, keyClass: true, keyPlan: true, keyTimeout: true, keyTerms: true, keyRetried: true}

// reports are the fields in which quote servers tell the ingress something: clients do not get them.
var serverFields = map[string]bool{"X-Server-Load": true, "X-Not-Processed": true}

// Problem is a request that cannot be handed to the module: the client's fault, or that of who does not know yet.
type RequestError struct {
	Status     int
	Code, Text string
	Allow      string           // method, for a 405
	RetryAfter decision.Seconds // 0: no advice
}

// Dialect is what clients are answered in. New gives a server that of the deployments in service; Speak gives it another.
type Dialect struct {
	// Ready is the path of the readiness page.
	ReadyPath string
	// Parse translates a client's request. It decides nothing.
	Parse func(*http1.Request) (decision.Request, *upstream.Message, *RequestError)
	// Deciding are the fields that are not passed on to servers, Reports those that are not passed on to clients.
	IngressFields, ServerFields map[string]bool
	// Beyond is the status of a refusal for a quota's sake; 0: 503 as any other.
	OverQuotaStatus int
	// PassFailures has a server's own answer passed on where it failed and nothing else can be done.
	ForwardFailures bool
	// Times are those of clients' connections; nil: the usual ones. MostBody is for a request's body, in bytes; 0: the usual one. They
	// are asked for each connection.
	Timeouts func() *clientconn.Timeouts
	MaxBody  func() int64
}

// parse translates a client's request. Nothing here decides what becomes of it.
func (s *Server) parse(r *http1.Request) (request decision.Request, m *upstream.Message, bad *RequestError) {
	fail := func(status int, code, text string) (decision.Request, *upstream.Message, *RequestError) {
		return decision.Request{}, nil, &RequestError{Status: status, Code: code, Text: text}
	}
	path, _, _ := strings.Cut(r.Target, "?")
	member, ok := strings.CutPrefix(path, pathPrefix)
	if !ok || strings.Contains(member, "/") { // what stands between would be resolved otherwise elsewhere
		return fail(404, "request-unknown-path", "no such path")
	}
	for _, key := range [...]string{keyID, keyClass, keyPlan, keyTimeout, keyTerms, keyRetried} {
		if len(r.Header[key]) > 1 { // who counts the other one decides otherwise
			return fail(400, "request-twice", key+" stands there twice")
		}
	}
	// One customer under two spellings would have two quotas.
	request.Customer = strings.ToLower(member)
	if n, err := strconv.ParseUint(request.Customer, 16, 64); err != nil || len(request.Customer) != 16 || n >= 1<<33 {
		return fail(404, "request-unknown-customer", "the path does not end in a customer")
	}
	id := r.Header.Get(keyID)
	if !http1.Visible(id) || len(id) > maxIDLength {
		return fail(400, "request-bad-id", "X-Request-ID is missing or not a word")
	}
	request.Class = r.Header.Get(keyClass)
	method, known := (*s.methods.Load())[request.Class]
	if !known {
		return fail(400, "request-unknown-class", "X-Priority-Class names no class")
	}
	if r.Method != method && (method != "GET" || r.Method != "HEAD") {
		_, _, bad = fail(405, "request-wrong-method", "this class goes by "+method)
		bad.Allow = method
		return request, nil, bad
	}
	request.Plan = r.Header.Get(keyPlan)
	if !(*s.plans.Load())[request.Plan] {
		return fail(400, "request-unknown-plan", "X-Tier names no plan")
	}
	if request.TimeLeft, ok = decimal(r.Header.Get(keyTimeout)); !ok || request.TimeLeft <= 0 || request.TimeLeft > maxTimeout {
		return fail(400, "request-bad-timeout", "X-Timeout is not a time in seconds")
	}
	request.TimeLeft = max(request.TimeLeft/2, request.TimeLeft-answerTransit.Seconds())
	if !s.terms(r.Header.Get(keyTerms), &request) {
		return fail(400, "request-bad-terms", "X-Call-Terms does not state units, spread and first")
	}
	if http1.HasForbiddenTrailer(r.Trailer, ingressFields) {
		return fail(400, "request-bad-trailer", "a trailer states what belongs in the head")
	}
	request.Streamed = r.Streamed != nil
	request.ClientRetry = r.Header.Get(keyRetried) == "1"
	return request, &upstream.Message{Method: r.Method, Target: r.Target, ID: id, Body: r.Body, Trailer: r.Trailer, Fields: http1.AppendFields(nil, r.Header, ingressFields)}, nil // serve adds a long body
}

// terms reads 'units=2,spread=3,first=1'. Terms it does not know are passed over. What the settings do not
// allow is refused: it would use up the quota of the customer it names.
func (s *Server) terms(value string, r *decision.Request) bool {
	var units, spread, first bool
	for value != "" {
		var term string
		term, value, _ = strings.Cut(value, ",")
		name, number, _ := strings.Cut(strings.TrimSpace(term), "=")
		switch name {
		case "units":
			if units {
				return false // said twice: who counts the other one decides otherwise
			}
			if r.Units, units = decimal(number); r.Units <= 0 || r.Units > s.maxUnits {
				return false
			}
		case "spread":
			if spread {
				return false
			}
			n, err := strconv.ParseUint(number, 10, 31)
			if r.Gateways, spread = int(n), err == nil && n > 0 && int(n) <= s.ingresses; !spread {
				return false
			}
		case "first":
			if first {
				return false
			}
			n, err := strconv.ParseUint(number, 10, 31)
			if r.FirstGateway, first = int(n), err == nil && int(n) < s.ingresses; !first {
				return false
			}
		}
	}
	return units && spread && first
}

// decimal reads a plain decimal number: no sign, exponent, infinity or other form of ParseFloat.
func decimal(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && !math.IsInf(v, 0)
}
