package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"mulleinrouter/internal/cluster/coordination"
)

// A release must not end a hold that its owner has prolonged after sending the release (coordination.Tables). A node
// does not know when a release was sent, because the call may have been buffered while the process was suspended. There
// are two proofs that a release was sent after the owner's last answer:
//
//   - The release arrives on the connection over which that answer was sent. Calls on one connection are handled in the
//     order in which they were sent.
//   - The caller follows a redirect that was sent after the answer. A caller that timed out or crashed does not.

// sentAfterParameter is the query parameter of a redirected release. It has the hold's state at the redirect.
const sentAfterParameter = "sentAfter"

// rememberedHold is the hold that was granted or prolonged by the last such call on a connection. The calls of a
// connection are handled one after the other, so it needs no mutex.
type rememberedHold struct {
	lock  string
	fence uint64
	state coordination.HoldState
}

type rememberedHoldKey struct{}

// withRememberedHold adds an empty rememberedHold to the context of a connection.
func withRememberedHold(ctx context.Context) context.Context {
	return context.WithValue(ctx, rememberedHoldKey{}, &rememberedHold{})
}

// rememberHold records that the caller is about to be answered about a hold in a state.
func rememberHold(r *http.Request, fence uint64, state coordination.HoldState) {
	if hold, ok := r.Context().Value(rememberedHoldKey{}).(*rememberedHold); ok {
		*hold = rememberedHold{lock: r.PathValue("id"), fence: fence, state: state}
	}
}

// releaseSentAfter returns the state of the hold that a release is known to have been sent after, or nil.
func releaseSentAfter(r *http.Request, fence uint64) (*coordination.HoldState, error) {
	if text := r.URL.Query().Get(sentAfterParameter); text != "" {
		return parseHoldState(text)
	}
	hold, ok := r.Context().Value(rememberedHoldKey{}).(*rememberedHold)
	if !ok || hold.lock != r.PathValue("id") || hold.fence != fence {
		return nil, nil
	}
	state := hold.state
	return &state, nil
}

// confirmRelease is the redirect by which the caller of a release confirms that it still waits for the answer.
func (s *Server) confirmRelease(r *http.Request, state coordination.HoldState) reply {
	location := fmt.Sprintf("http://%s%s?%s=%d.%d", s.options.Self, r.URL.EscapedPath(), sentAfterParameter,
		state.Term, state.Prolongations)
	return reply{status: http.StatusTemporaryRedirect, body: []byte("{}"), location: location}
}

// parseHoldState parses the value of sentAfterParameter.
func parseHoldState(text string) (*coordination.HoldState, error) {
	term, prolongations, _ := strings.Cut(text, ".")
	var state coordination.HoldState
	var termErr, countErr error
	state.Term, termErr = strconv.ParseUint(term, 10, 64)
	state.Prolongations, countErr = strconv.ParseUint(prolongations, 10, 64)
	if termErr != nil || countErr != nil {
		return nil, badRequest(sentAfterParameter + ": not the state of a hold")
	}
	return &state, nil
}
