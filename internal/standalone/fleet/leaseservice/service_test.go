package leaseservice

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/membership"
)

// testTimeout is how long a test waits for an event. The first lease is gained only after an election, which takes
// about a second.
const testTimeout = 20 * time.Second

// fakeFleet is a fleet with one member. Messages to other members are lost.
type fakeFleet struct{ name string }

func (f fakeFleet) Self() membership.Member {
	self := membership.Member{Name: f.name}
	self.Boot, self.Nonce = 1, 1
	return self
}

func (f fakeFleet) Send(string, gossip.Topic, []byte) {}

func (f fakeFleet) Handle(gossip.Topic, func(string, []byte)) {}

// startService starts a service whose ingress is the only voter.
func startService(t *testing.T, change func(*Options)) *Service {
	t.Helper()
	logger := logtest.Discard()
	o := Options{Fleet: fakeFleet{"n1"}, Voters: []string{"n1"}, Dir: t.TempDir(), Log: logger}
	if change != nil {
		change(&o)
	}
	s := Start(o)
	t.Cleanup(s.Stop)
	return s
}

// receive receives from a channel, or fails the test after testTimeout.
func receive[T any](t *testing.T, what string, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("%s: nothing after %v", what, testTimeout)
	}
	return value
}

// recordedWork is the work of a role that reports its token when it starts, and reports its end.
type recordedWork struct {
	started chan uint64
	ended   chan struct{}
}

func newRecordedWork() *recordedWork {
	return &recordedWork{started: make(chan uint64, 8), ended: make(chan struct{}, 8)}
}

func (r *recordedWork) run(ctx context.Context, token func() (uint64, bool)) error {
	current, _ := token()
	r.started <- current
	<-ctx.Done()
	r.ended <- struct{}{}
	return nil
}

// TestResignAndRejoin checks that the work of a role runs under a token, ends with Resign, and runs again under a newer
// token after Rejoin.
func TestResignAndRejoin(t *testing.T) {
	t.Parallel()
	s := startService(t, nil)
	work := newRecordedWork()
	s.AddRole("role", "", work.run)
	first := receive(t, "work started", work.started)
	if token, ok := s.FencingToken("role"); !ok || token != first {
		t.Errorf("got token %d, %v, want %d, true", token, ok, first)
	}

	s.Resign()
	receive(t, "work ended", work.ended)
	if token, ok := s.FencingToken("role"); ok {
		t.Errorf("may act under token %d after Resign", token)
	}

	s.Rejoin()
	if second := receive(t, "work started again", work.started); second <= first {
		t.Errorf("got token %d after %d, want a newer one", second, first)
	}
	status, err := s.Status()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"n1"}, status.Voters); diff != "" || status.Leader != "n1" {
		t.Errorf("leader %q, want n1; voters (-want +got):\n%s", status.Leader, diff)
	}
	if len(status.Roles) != 1 || status.Roles[0].Holder != "n1" || len(status.History) != 2 {
		t.Errorf("got roles %+v and history %+v, want one role of n1 and two tenures", status.Roles, status.History)
	}
}

// TestStopWaitsForWork checks that Stop ends the work of roles and waits for its end.
func TestStopWaitsForWork(t *testing.T) {
	t.Parallel()
	s := startService(t, nil)
	work := newRecordedWork()
	s.AddRole("role", "", work.run)
	receive(t, "work started", work.started)
	s.Stop()
	select {
	case <-work.ended:
	default:
		t.Error("the work still runs after Stop")
	}
}

// TestRecordFailure checks that a service whose record cannot be stored resigns its roles, and requests them again once
// the record can be stored.
func TestRecordFailure(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex // guards failure
	var failure error
	setFailure := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		failure = err
	}
	s := startService(t, func(o *Options) {
		o.StoreRecord = func(Record) error {
			mu.Lock()
			defer mu.Unlock()
			return failure
		}
	})
	work := newRecordedWork()
	s.AddRole("role", "", work.run)
	first := receive(t, "work started", work.started)
	setFailure(errors.New("disk full"))
	receive(t, "work ended", work.ended)
	setFailure(nil)
	if second := receive(t, "work started again", work.started); second <= first {
		t.Errorf("got token %d after %d, want a newer one", second, first)
	}
}

// TestChangeVotersRejected checks that an operator's call that the leader rejects returns a CallError.
func TestChangeVotersRejected(t *testing.T) {
	t.Parallel()
	s := startService(t, nil)
	work := newRecordedWork()
	s.AddRole("role", "", work.run)
	receive(t, "work started", work.started) // the voter is the leader once it has granted a role
	for _, add := range []bool{true, false} {
		_, err := s.ChangeVoters("unknown", add)
		var rejected *CallError
		if !errors.As(err, &rejected) || !strings.HasPrefix(rejected.Message, "unknown: ") {
			t.Errorf("add %v: got error %v, want a CallError about unknown", add, err)
		}
	}
}

// TestExport checks that a batch is sent to billing through the lease holder, with the holder's fencing token, and that
// the response of billing is returned.
func TestExport(t *testing.T) {
	t.Parallel()
	tokens := make(chan string, 1)
	billing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		tokens <- r.Header.Get(FencingTokenHeader)
		w.WriteHeader(http.StatusAccepted)
		w.Write(append([]byte("received "), body...))
	}))
	t.Cleanup(billing.Close)
	s := startService(t, nil)
	client := &http.Client{Transport: ExportTransport{s}}
	if _, err := client.Post(billing.URL, "text/plain", strings.NewReader("batch")); !errors.Is(err, errNoLeaseHolder) {
		t.Errorf("without a lease holder: got error %v, want %v", err, errNoLeaseHolder)
	}

	work := newRecordedWork()
	s.AddExport(billing.URL)
	s.AddRole("role", "", work.run) // granted after RoleExport, because roles are granted in the order of names
	receive(t, "work started", work.started)
	response, err := client.Post(billing.URL, "text/plain", strings.NewReader("batch"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(body); response.StatusCode != http.StatusAccepted || got != "received batch" {
		t.Errorf("got status %d and body %q, want %d and %q",
			response.StatusCode, got, http.StatusAccepted, "received batch")
	}
	if token := receive(t, "fencing token", tokens); token == "" || token == "0" {
		t.Errorf("got fencing token %q, want one", token)
	}
}
