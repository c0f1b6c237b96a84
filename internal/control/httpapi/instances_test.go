package httpapi

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mulleinrouter/internal/cluster/replication"
)

// Guards against an instance whose id makes every frame with it unreadable, or adds fields to requests to servers.
func TestIDsOfInstances(t *testing.T) {
	const body = `{"address":"10.0.0.1:80","summary":{"backend":"s","capacity":1},"observed":{"phase":"serving"}}`
	clock := replication.NewClock(func() float64 { return 0 })
	for id, proper := range map[string]bool{
		"i-7f3a91c2": true, "ü": true, "with space": true, strings.Repeat("i", maxIDLength): true,
		"": false, strings.Repeat("i", maxIDLength+1): false, "i\xff": false, "\xc3": false, "i\r\nX-Tenant: t": false,
		"i\n": false, "\x00": false, "i\x7f": false,
	} {
		if _, err := parseInstance(id, []byte(body), clock); (err == nil) != proper {
			t.Errorf("heartbeat of %.20q: got %v, want it accepted: %v", id, err, proper)
		}
		if proper {
			continue
		}
		r := httptest.NewRequest(http.MethodDelete, "/instances/i", nil)
		r.SetPathValue("id", id)
		var rejection *Error
		if _, err := new(Server).deleteInstance(r, nil); !errors.As(err, &rejection) || rejection.Status != 400 {
			t.Errorf("end of %.20q: got %v, want 400", id, err)
		}
	}
}
