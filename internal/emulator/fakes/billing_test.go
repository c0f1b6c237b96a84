package fakes

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/usageexport"
)

func startBilling(t *testing.T) *Billing {
	t.Helper()
	b := &Billing{}
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Stop)
	return b
}

// postBatch posts a batch, with a fencing token if token is not 0. It returns the status, or 0 if there was no
// response.
func postBatch(t *testing.T, b *Billing, batch usage.Batch, token uint64) int {
	t.Helper()
	body, err := json.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(body); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPost, b.URL(), &compressed)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(digestHeader, usageexport.Digest(body))
	if token != 0 {
		request.Header.Set(leaseservice.FencingTokenHeader, strconv.FormatUint(token, 10))
	}
	client := &http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// testBatch returns a batch with one row.
func testBatch(number uint64, requests int64) usage.Batch {
	row := usage.Row{Key: usage.Key{Member: "m"}, Sum: usage.Sum{Requests: requests}}
	return usage.Batch{Source: "s", Number: number, Rows: []usage.Row{row}}
}

func TestBillingRepeats(t *testing.T) {
	b := startBilling(t)
	for _, step := range []struct {
		name  string
		batch usage.Batch
		want  int
	}{
		{"first", testBatch(1, 3), http.StatusOK},
		{"again", testBatch(1, 3), http.StatusOK},
		{"different batch with the same number", testBatch(1, 4), http.StatusConflict},
		{"next", testBatch(2, 5), http.StatusOK},
	} {
		if got := postBatch(t, b, step.batch, 0); got != step.want {
			t.Errorf("%s: status %d, want %d", step.name, got, step.want)
		}
	}
	want := BillingTotals{
		Tally:     usage.Tally{usage.Key{Member: "m"}: usage.Sum{Requests: 8}},
		Repeats:   2,
		Conflicts: 1,
	}
	if diff := cmp.Diff(want, b.Totals()); diff != "" {
		t.Errorf("Totals() (-want +got):\n%s", diff)
	}
}

func TestBillingFencing(t *testing.T) {
	b := startBilling(t)
	for _, step := range []struct {
		number, token uint64
		want          int
	}{
		{1, 4, http.StatusOK},
		{2, 4, http.StatusOK},
		{3, 6, http.StatusOK},
		{4, 5, http.StatusPreconditionFailed},
		{5, 0, http.StatusOK}, // a batch without a token is not checked
	} {
		if got := postBatch(t, b, testBatch(step.number, 1), step.token); got != step.want {
			t.Errorf("batch %d under token %d: status %d, want %d", step.number, step.token, got, step.want)
		}
	}
	accepted, rejected := b.Fenced()
	want := []AcceptedBatch{{4, "s", 1}, {4, "s", 2}, {6, "s", 3}}
	if diff := cmp.Diff(want, accepted); diff != "" || rejected != 1 {
		t.Errorf("Fenced(): %d rejected, want 1; accepted (-want +got):\n%s", rejected, diff)
	}
}

func TestBillingFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  BillingFault
		want   int // status, or 0 for no response
		billed bool
	}{
		{"none", NoFault, http.StatusOK, true},
		{"failed call", FailCall, http.StatusInternalServerError, false},
		{"lost reply", LoseReply, 0, true},
		{"no reply", NoReply, 0, false},
		{"invalid reply", InvalidReply, http.StatusOK, false},
		{"rate limited", RateLimited, http.StatusTooManyRequests, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startBilling(t)
			b.InjectFaults(test.fault)
			if got := postBatch(t, b, testBatch(1, 1), 0); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
			if billed := len(b.Totals().Tally) == 1; billed != test.billed {
				t.Errorf("billed = %v, want %v", billed, test.billed)
			}
		})
	}
}

func TestBillingRejectsBadBodies(t *testing.T) {
	b := startBilling(t)
	response, err := http.Post(b.URL(), "application/json", bytes.NewReader([]byte("{}")))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	want := errNotGzip.Error() + "\n"
	if err != nil || response.StatusCode != http.StatusBadRequest || string(text) != want {
		t.Errorf("status %d, body %q, error %v; want 400, %q", response.StatusCode, text, err, want)
	}
}

func TestListenError(t *testing.T) {
	cause := errors.New("no port")
	err := error(&ListenError{Server: "billing", Err: cause})
	if err.Error() != "billing: no port" || !errors.Is(err, cause) {
		t.Errorf("ListenError = %q, want %q, wrapping its cause", err, "billing: no port")
	}
}
