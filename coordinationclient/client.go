package coordinationclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	attemptTimeout = time.Second            // for one attempt at one address
	initialBackoff = 20 * time.Millisecond  // before the second attempt; doubles after each further one
	maxBackoff     = 500 * time.Millisecond // upper limit of the backoff
	// maxResponseBytes is the largest part of a response body that is read, which bounds memory. The events of a watch
	// have 4 MiB, and JSON may need six bytes for one.
	maxResponseBytes = 32 << 20
)

// Client calls control nodes over HTTP.
type Client struct {
	addresses    []string
	http         *http.Client
	addressIndex atomic.Uint32 // index of the address in use, modulo the number of addresses
}

// New returns a client for one or more control nodes, each given as host:port. If transport is nil,
// http.DefaultTransport is used.
func New(addresses []string, transport http.RoundTripper) *Client {
	c := &Client{addresses: addresses, http: &http.Client{Transport: transport}}
	c.addressIndex.Store(rand.Uint32()) //nolint:gosec // distributes callers over the nodes
	return c
}

// response is a definite answer: any status but 429 and 5xx.
type response struct {
	status int
	body   []byte
	sentAt time.Time // time at which the answered attempt was sent
}

// call repeats a request until it gets a definite answer or the context ends. If body is nil, the request has no body.
// wait is added to the timeout of each attempt, because a node may delay its answer for that long.
func (c *Client) call(ctx context.Context, method, path string, body any, wait time.Duration) (*response, error) {
	var payload []byte // nil if the request has no body
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	var last error
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		answer, err := c.send(ctx, method, path, payload, attemptTimeout+wait)
		if err == nil {
			return answer, nil
		}
		if last = err; !sleep(ctx, backoff/2+rand.N(backoff/2)) { //nolint:gosec // jitter
			return nil, &UnknownOutcomeError{Last: errors.Join(ctx.Err(), last)}
		}
		c.addressIndex.Add(1)
	}
}

// send sends a request once. It returns an error if there was no definite answer.
func (c *Client) send(ctx context.Context, method, path string, body []byte, timeout time.Duration) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := c.addresses[int(c.addressIndex.Load()%uint32(len(c.addresses)))] //nolint:gosec // few addresses
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	sentAt := time.Now()
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode >= http.StatusInternalServerError || answer.StatusCode == http.StatusTooManyRequests {
		return nil, &StatusError{answer.StatusCode, string(text)}
	}
	return &response{answer.StatusCode, text, sentAt}, nil
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// decode decodes the body of a 200 response. For any other status it returns the error that statuses has for it, or
// else a *StatusError.
func (r *response) decode(body any, statuses map[int]error) error {
	if r.status == http.StatusOK {
		return json.Unmarshal(r.body, body)
	}
	if err := statuses[r.status]; err != nil {
		return err
	}
	return &StatusError{r.status, string(r.body)}
}

// NextNumber returns a number greater than every number returned for this name before. There may be gaps.
func (c *Client) NextNumber(ctx context.Context, name string) (uint64, error) {
	answer, err := c.call(ctx, http.MethodPost, "/numbers/"+url.PathEscape(name), struct{}{}, 0)
	if err != nil {
		return 0, err
	}
	var body struct {
		Payload uint64 `json:"payload"`
	}
	return body.Payload, answer.decode(&body, nil)
}

// Put writes a value to a cell and returns the new revision of the cell. Values should be unique, because a value that
// was put recently is treated as a repeated call and gets its first revision again. If expected is not nil, the cell
// must have that revision; 0 means that the cell must not exist. Errors are *MismatchError, *StatusError and
// *UnknownOutcomeError.
func (c *Client) Put(ctx context.Context, name, value string, expected *uint64) (revision uint64, err error) {
	request := struct {
		Payload string  `json:"payload"`
		Active  *uint64 `json:"active,omitempty"`
	}{value, expected}
	answer, err := c.call(ctx, http.MethodPut, "/cells/"+url.PathEscape(name), request, 0)
	if err != nil {
		return 0, err
	}
	var body struct {
		Revision uint64 `json:"revision"`
	}
	if answer.status == http.StatusPreconditionFailed {
		if err := json.Unmarshal(answer.body, &body); err != nil {
			return 0, err
		}
		return 0, &MismatchError{body.Revision}
	}
	return body.Revision, answer.decode(&body, nil)
}

// Get returns the value and the revision of a cell, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (value string, revision uint64, err error) {
	answer, err := c.call(ctx, http.MethodGet, "/cells/"+url.PathEscape(name), nil, 0)
	if err != nil {
		return "", 0, err
	}
	var body struct {
		Payload  string `json:"payload"`
		Revision uint64 `json:"revision"`
	}
	err = answer.decode(&body, map[int]error{http.StatusNotFound: ErrNotFound})
	return body.Payload, body.Revision, err
}

// Event is a put to a cell of a watched group.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"payload"`
	Revision uint64 `json:"revision"`
}

// watchWait is the time for which one long-polling request of a watch waits for events.
const watchWait = 5 * time.Second

// Revision returns the current revision of a group, whose name includes the trailing dot. A watch that starts after
// this revision gets all later puts.
func (c *Client) Revision(ctx context.Context, group string) (uint64, error) {
	_, revision, err := c.watchOnce(ctx, group, 0, 0)
	return revision, err
}

// Watch calls handle for every put to a group after a revision, in order, until handle returns an error or the context
// ends. It returns the revision up to which handle has processed all events, from which another Watch can resume, and
// either the error of handle, ErrCompacted, a *StatusError or an *UnknownOutcomeError.
func (c *Client) Watch(ctx context.Context, group string, after uint64, handle func(Event) error) (uint64, error) {
	for {
		events, until, err := c.watchOnce(ctx, group, after, watchWait)
		if err != nil {
			return after, err
		}
		for _, event := range events {
			if err := handle(event); err != nil {
				return after, err
			}
			after = event.Revision
		}
		after = max(after, until)
	}
}

// watchOnce returns the events of a group after a revision, and the revision up to which they are complete. If there
// are none, the node waits for one, for the time wait at most.
func (c *Client) watchOnce(ctx context.Context, group string, after uint64, wait time.Duration) (
	events []Event, until uint64, err error,
) {
	path := fmt.Sprintf("/watch/%s?after=%d&waitMs=%d", url.PathEscape(group), after, wait.Milliseconds())
	answer, err := c.call(ctx, http.MethodGet, path, nil, wait)
	if err != nil {
		return nil, 0, err
	}
	var body struct {
		Log      []Event `json:"log"`
		Revision uint64  `json:"revision"`
	}
	err = answer.decode(&body, map[int]error{http.StatusGone: ErrCompacted})
	return body.Log, body.Revision, err
}
