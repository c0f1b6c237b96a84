package ingress

import (
	"math"
	"strconv"
	"strings"
	"time"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

const (
	pathPrefix                       = "/api/"
	maxTimeout      decision.Seconds = 300 // limit of X-Timeout in seconds, longer than any client waits
	defaultMaxUnits                  = 1e6 // limit of a request's units if the settings state none
	maxIDLength                      = 128 // limit of a request ID in bytes

	// answerTransit is subtracted from the client's timeout, because the answer must reach the client within it. At
	// most half of the timeout is subtracted.
	answerTransit = 10 * time.Millisecond
)

// Header fields of the standalone ingress's dialect, in textproto's canonical form. For another form, Get would
// allocate memory.
const (
	keyID      = "X-Request-Id"
	keyClass   = "X-Priority-Class"
	keyPlan    = "X-Tier"
	keyTimeout = "X-Timeout"
	keyTerms   = "X-Call-Terms"
	keyRetried = "X-Retried"
)

// newRequestError returns the error for a request that is not well-formed or names something unknown.
func newRequestError(status int, code, text string) *RequestError {
	return &RequestError{Status: status, Code: code, Text: text}
}

// parse translates a client's request in the standalone ingress's dialect. It does not add a streamed body to the
// message; handle does that.
func (s *Server) parse(r *http1.Request) (decision.Request, *upstream.Message, *RequestError) {
	request, err := s.parseHead(r)
	if err != nil {
		return decision.Request{}, nil, err
	}
	if http1.HasForbiddenTrailer(r.Trailer, ingressFields) {
		return decision.Request{}, nil,
			newRequestError(400, "request-bad-trailer", "a trailer states what belongs in the head")
	}
	message := &upstream.Message{
		Method:  r.Method,
		Target:  r.Target,
		ID:      r.Header.Get(keyID),
		Body:    r.Body,
		Trailer: r.Trailer,
		Fields:  http1.AppendFields(nil, r.Header, ingressFields),
	}
	return request, message, nil
}

// parseHead parses the target and the fields on which the ingress bases its decisions.
func (s *Server) parseHead(r *http1.Request) (request decision.Request, requestErr *RequestError) {
	if request.Customer, requestErr = parseCustomer(r); requestErr != nil {
		return request, requestErr
	}
	id := r.Header.Get(keyID)
	if !http1.Visible(id) || len(id) > maxIDLength {
		return request, newRequestError(400, "request-bad-id", "X-Request-ID is missing or not a word")
	}
	request.Class = r.Header.Get(keyClass)
	if requestErr = s.checkMethod(r.Method, request.Class); requestErr != nil {
		return request, requestErr
	}
	request.Plan = r.Header.Get(keyPlan)
	if !(*s.plans.Load())[request.Plan] {
		return request, newRequestError(400, "request-unknown-plan", "X-Tier names no plan")
	}
	timeout, ok := parseDecimal(r.Header.Get(keyTimeout))
	if !ok || timeout <= 0 || timeout > maxTimeout {
		return request, newRequestError(400, "request-bad-timeout", "X-Timeout is not a time in seconds")
	}
	request.TimeLeft = max(timeout/2, timeout-answerTransit.Seconds())
	if !s.parseTerms(r.Header.Get(keyTerms), &request) {
		return request, newRequestError(400, "request-bad-terms", "X-Call-Terms does not state units, spread and first")
	}
	request.Streamed = r.Streamed != nil
	request.ClientRetry = r.Header.Get(keyRetried) == "1"
	return request, nil
}

// parseCustomer parses the customer, which is the last element of the target's path: 16 hexadecimal digits with a value
// below 1<<33. It also checks that the request has no field of the dialect twice.
func parseCustomer(r *http1.Request) (customer string, requestErr *RequestError) {
	path, _, _ := strings.Cut(r.Target, "?")
	member, ok := strings.CutPrefix(path, pathPrefix)
	if !ok || strings.Contains(member, "/") { // programs differ in how they resolve a path with more elements
		return "", newRequestError(404, "request-unknown-path", "no such path")
	}
	for _, key := range [...]string{keyID, keyClass, keyPlan, keyTimeout, keyTerms, keyRetried} {
		if len(r.Header[key]) > 1 { // another program might use the other value and decide differently
			return "", newRequestError(400, "request-twice", key+" stands there twice")
		}
	}
	customer = strings.ToLower(member) // a customer with two spellings would get two quotas
	n, err := strconv.ParseUint(customer, 16, 64)
	if err != nil || len(customer) != 16 || n >= 1<<33 {
		return "", newRequestError(404, "request-unknown-customer", "the path does not end in a customer")
	}
	return customer, nil
}

// checkMethod checks that the class is known and that the request has the method of the class. HEAD is allowed where
// GET is.
func (s *Server) checkMethod(method, class string) *RequestError {
	want, known := (*s.methods.Load())[class]
	if !known {
		return newRequestError(400, "request-unknown-class", "X-Priority-Class names no class")
	}
	if method != want && (want != "GET" || method != "HEAD") {
		e := newRequestError(405, "request-wrong-method", "this class goes by "+want)
		e.Allow = want
		return e
	}
	return nil
}

// parseTerms parses terms such as 'units=2,spread=3,first=1'. Unknown terms are ignored. Values that the settings do
// not allow are an error, because the request would use up the quota of the customer that it names.
func (s *Server) parseTerms(value string, r *decision.Request) (ok bool) {
	// Whether each term was stated. A term stated twice is an error, because another program might use the other value.
	var units, spread, first bool
	for value != "" {
		var term string
		term, value, _ = strings.Cut(value, ",")
		name, number, _ := strings.Cut(strings.TrimSpace(term), "=")
		switch name {
		case "units":
			if units {
				return false
			}
			r.Units, units = parseDecimal(number)
			if r.Units <= 0 || r.Units > s.maxUnits {
				return false
			}
		case "spread":
			if spread {
				return false
			}
			r.Gateways, spread = parseInt(number)
			if spread = spread && r.Gateways > 0 && r.Gateways <= s.ingresses; !spread {
				return false
			}
		case "first":
			if first {
				return false
			}
			r.FirstGateway, first = parseInt(number)
			if first = first && r.FirstGateway < s.ingresses; !first {
				return false
			}
		}
	}
	return units && spread && first
}

// parseInt parses a decimal integer of up to 31 bits without a sign.
func parseInt(s string) (int, bool) {
	n, err := strconv.ParseUint(s, 10, 31)
	return int(n), err == nil
}

// parseDecimal parses a plain decimal number. It rejects signs, exponents, infinities and the other forms that
// ParseFloat accepts.
func parseDecimal(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && !math.IsInf(v, 0)
}
