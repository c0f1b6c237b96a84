package httpapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// publishedCalls are the published calls that the control address serves. A call without an endpoint is answered 404,
// which its caller may take for a valid answer. In this way locks once failed for weeks without being noticed.
var publishedCalls = []string{
	"PUT /instances/i", "DELETE /instances/i", "PATCH /config", "GET /config",
	"POST /locks/l", "PUT /locks/l", "DELETE /locks/l", "POST /numbers/n",
	"PUT /cells/g.k", "GET /cells/g.k", "GET /watch/g.",
}

func TestPublishedCallsHaveEndpoints(t *testing.T) {
	mux := http.NewServeMux()
	for _, table := range [][]endpoint{endpoints, applicationEndpoints, shardEndpoints} {
		for _, e := range table {
			mux.HandleFunc(e.pattern, func(http.ResponseWriter, *http.Request) {})
		}
	}
	for _, call := range publishedCalls {
		method, path, _ := strings.Cut(call, " ")
		if _, pattern := mux.Handler(httptest.NewRequest(method, path, nil)); pattern == "" {
			t.Errorf("%s has no endpoint", call)
		}
	}
}
