package httpapi

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/control/shards"
)

// maxApplicationBytes limits the body of a call, which has at most an owner and a value, both encoded.
const maxApplicationBytes = 16 << 10

// applicationEndpoints are the calls of applications. They are served only if applications coordinate through the
// control nodes. They need no majority lease for their answers, because the leaseholder of the shard gives these.
var applicationEndpoints = []endpoint{
	{pattern: "POST /locks/{id}", maxBody: maxApplicationBytes, caller: byApplication, handle: (*Server).acquireLock},
	{pattern: "PUT /locks/{id}", maxBody: maxApplicationBytes, caller: byApplication, handle: (*Server).renewLock},
	{pattern: "DELETE /locks/{id}", maxBody: maxApplicationBytes, caller: byApplication, handle: (*Server).releaseLock},
	{pattern: "POST /numbers/{id}", maxBody: maxApplicationBytes, caller: byApplication, handle: (*Server).nextNumber},
	{pattern: "PUT /cells/{id}", maxBody: maxApplicationBytes, caller: byApplication, prompt: true,
		handle: (*Server).putCell},
	{pattern: "GET /cells/{id}", caller: byApplication, handle: (*Server).getCell},
	{pattern: "GET /watch/{id}", caller: byApplication, handle: (*Server).watchGroup},
}

// lockBody is the body of a call on a lock.
type lockBody struct {
	Owner  string `json:"owner"`
	Fence  uint64 `json:"fence"`
	HoldMs int64  `json:"holdMs"`
}

// cellBody is the body of a put.
type cellBody struct {
	Payload *string `json:"payload"`
	Active  *uint64 `json:"active"` // required revision of the cell; 0 means that it must not exist, absent means any
}

// Bodies of answers.
type (
	fenceAnswer struct {
		Fence uint64 `json:"fence"`
	}
	numberAnswer struct {
		Payload uint64 `json:"payload"`
	}
	revisionAnswer struct {
		Revision uint64 `json:"revision"`
	}
	cellAnswer struct {
		Payload  string `json:"payload"`
		Revision uint64 `json:"revision"`
	}
	watchAnswer struct {
		Log      []coordination.Event `json:"log"`
		Revision uint64               `json:"revision"`
	}
)

func (s *Server) acquireLock(r *http.Request, body []byte) (reply, error) {
	return s.lockCall(r, body, coordination.AcquireLock)
}

func (s *Server) renewLock(r *http.Request, body []byte) (reply, error) {
	return s.lockCall(r, body, coordination.RenewLock)
}

func (s *Server) releaseLock(r *http.Request, body []byte) (reply, error) {
	return s.lockCall(r, body, coordination.ReleaseLock)
}

// lockCall parses and checks the body of a call on a lock, and passes the request to coordinate. A release that the
// leaseholder asks to confirm is redirected (see confirmRelease).
func (s *Server) lockCall(r *http.Request, body []byte, kind coordination.Kind) (reply, error) {
	var b lockBody
	if json.Unmarshal(body, &b) != nil {
		return reply{}, badRequest("the body cannot be read")
	}
	request := coordination.Request{Kind: kind, Owner: b.Owner, Fence: b.Fence, HoldMs: b.HoldMs}
	if b.Owner == "" || len(b.Owner) > coordination.MaxNameBytes {
		return reply{}, badRequest("owner: missing or too long")
	}
	if kind != coordination.ReleaseLock && (b.HoldMs <= 0 || b.HoldMs > coordination.MaxHoldMs) {
		return reply{}, badRequest("holdMs: out of bounds")
	}
	if kind == coordination.ReleaseLock {
		var err error
		if request.SentAfter, err = releaseSentAfter(r, request.Fence); err != nil {
			return reply{}, err
		}
	}
	result, err := s.evaluate(r, request)
	if err != nil {
		return reply{}, err
	}
	if result.Code == coordination.Unconfirmed && result.Hold != nil {
		return s.confirmRelease(r, *result.Hold), nil
	}
	if result.Code == coordination.OK && result.Hold != nil {
		rememberHold(r, cmp.Or(result.Fence, request.Fence), *result.Hold)
	}
	return resultReply(kind, result)
}

func (s *Server) nextNumber(r *http.Request, _ []byte) (reply, error) {
	return s.coordinate(r, coordination.Request{Kind: coordination.NextNumber})
}

func (s *Server) putCell(r *http.Request, body []byte) (reply, error) {
	var b cellBody
	if json.Unmarshal(body, &b) != nil {
		return reply{}, badRequest("the body cannot be read")
	}
	if b.Payload == nil || len(*b.Payload) > coordination.MaxValueBytes {
		return reply{}, badRequest("payload: missing or too long")
	}
	request := coordination.Request{Kind: coordination.PutCell, Value: *b.Payload, Expected: b.Active}
	return s.coordinate(r, request)
}

func (s *Server) getCell(r *http.Request, _ []byte) (reply, error) {
	return s.coordinate(r, coordination.Request{Kind: coordination.GetCell})
}

func (s *Server) watchGroup(r *http.Request, _ []byte) (reply, error) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return reply{}, badRequest("after: not a revision")
	}
	wait := int64(0)
	if text := query.Get("waitMs"); text != "" {
		if wait, err = strconv.ParseInt(text, 10, 64); err != nil || wait < 0 {
			return reply{}, badRequest("waitMs: not a time")
		}
	}
	request := coordination.Request{
		Kind: coordination.Watch, After: after, WaitMs: min(wait, coordination.MaxWaitMs),
	}
	return s.coordinate(r, request)
}

// coordinate evaluates a request, and returns the answer for its result.
func (s *Server) coordinate(r *http.Request, request coordination.Request) (reply, error) {
	result, err := s.evaluate(r, request)
	if err != nil {
		return reply{}, err
	}
	return resultReply(request.Kind, result)
}

// evaluate evaluates a request at the shard's leaseholder. It takes the name of the lock, number, cell or group from
// the path.
func (s *Server) evaluate(r *http.Request, request coordination.Request) (coordination.Result, error) {
	request.Name = r.PathValue("id")
	if request.Name == "" || len(request.Name) > coordination.MaxNameBytes || !utf8.ValidString(request.Name) {
		return coordination.Result{}, badRequest("no proper name")
	}
	result, err := s.options.Coordination.Do(r.Context(), request)
	switch {
	case errors.Is(err, shards.ErrUnknownOutcome):
		return result, &Error{http.StatusGatewayTimeout, err.Error()}
	case err != nil:
		return result, &Error{http.StatusServiceUnavailable, err.Error()}
	}
	return result, nil
}

// resultReply is the answer for a result.
func resultReply(kind coordination.Kind, result coordination.Result) (reply, error) {
	switch result.Code {
	case coordination.OK:
		return compactReply(http.StatusOK, successBody(kind, result))
	case coordination.Mismatch:
		return compactReply(http.StatusPreconditionFailed, revisionAnswer{result.Revision})
	case coordination.Conflict:
		return reply{}, &Error{http.StatusConflict, "another has the lock, or the hold is lost"}
	case coordination.NotFound:
		return reply{}, &Error{http.StatusNotFound, "there is no such cell"}
	case coordination.Compacted:
		return reply{}, &Error{http.StatusGone, "the events behind this revision are not kept any more"}
	case coordination.TooMany:
		return reply{}, &Error{http.StatusTooManyRequests, "too many records"}
	case coordination.TooManyOpen:
		return reply{}, &Error{http.StatusTooManyRequests, "too many calls in flight"}
	}
	return reply{}, &Error{http.StatusServiceUnavailable, "a later version's answer"}
}

// successBody is the body of a 200.
func successBody(kind coordination.Kind, result coordination.Result) any {
	switch kind {
	case coordination.AcquireLock:
		return fenceAnswer{result.Fence}
	case coordination.NextNumber:
		return numberAnswer{result.Number}
	case coordination.PutCell:
		return revisionAnswer{result.Revision}
	case coordination.GetCell:
		return cellAnswer{result.Value, result.Revision}
	case coordination.Watch:
		if result.Events == nil {
			result.Events = []coordination.Event{}
		}
		return watchAnswer{result.Events, result.Revision}
	case coordination.RenewLock, coordination.ReleaseLock:
	}
	return struct{}{}
}

func compactReply(status int, body any) (reply, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return reply{}, &Error{http.StatusInternalServerError, err.Error()}
	}
	return reply{status: status, body: text}, nil
}
