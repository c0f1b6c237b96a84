package httpapi

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/control/electorate"
	"mulleinrouter/internal/control/proposals"
)

// The status and the body of an answer follow from the type of the error, also if it is wrapped.
func TestErrorReply(t *testing.T) {
	rejection := &configuration.RejectionError{Status: http.StatusConflict, Text: "another content"}
	for _, test := range []struct {
		name   string
		err    error
		status int
		body   string
	}{
		{"no contact", ErrNoContact, 503, `{"message":"no contact with a majority of the control nodes"}`},
		{"invalid call", badRequest("backend: missing"), 400, `{"message":"backend: missing"}`},
		{"rejected change", rejection, 409, `{"message":"another content"}`},
		{"wrapped rejection", fmt.Errorf("patch: %w", rejection), 409, `{"message":"another content"}`},
		{"no majority", proposals.ErrNoMajority, 503, `{"message":"not enough control nodes answer"}`},
		{
			"no majority for an electorate",
			&electorate.ChangeError{Cause: proposals.ErrNoMajority},
			409,
			`{"message":"not enough control nodes answer"}`,
		},
		{"unknown error", errors.New("interrupted"), 503, `{"message":"interrupted"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := errorReply(test.err)
			if got.status != test.status || string(got.body) != test.body {
				t.Errorf("got %d %s, want %d %s", got.status, got.body, test.status, test.body)
			}
		})
	}
}
