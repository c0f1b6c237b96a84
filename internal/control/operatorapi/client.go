package operatorapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	requestTimeout   = 5 * time.Second // for the connection, the call and its response
	maxResponseBytes = 1 << 20         // further bytes of a response are not read, which bounds memory
)

// Client calls one control node.
type Client struct {
	Addr string // control address of the node, as host:port
}

// Members gets the voters and learners. It returns the body as the node sent it, because a newer node may send fields
// that the type Members does not have. Errors are *RejectedError or those of the connection.
func (c Client) Members() ([]byte, error) { return c.call(http.MethodGet, "/members", nil) }

// Replace replaces a voter by a learner. It returns once the change is chosen. Errors are those of Members.
func (c Client) Replace(r Replacement) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = c.call(http.MethodPost, "/members/replace", body)
	return err
}

// Shards gets the state of the shards as known to the node. It returns the body as the node sent it. Errors are those
// of Members.
func (c Client) Shards() ([]byte, error) { return c.call(http.MethodGet, "/shards", nil) }

// Transfer makes the node transfer the lease of a shard to another voter. Errors are those of Members.
func (c Client) Transfer(t Transfer) error {
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	_, err = c.call(http.MethodPost, "/shards/transfer", body)
	return err
}

// call makes a call, and returns the body of its response.
func (c Client) call(method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := (&http.Client{Timeout: requestTimeout}).Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, rejection(response, responseBody)
	}
	return responseBody, nil
}

// rejection returns the error of a response whose status is not 200.
func rejection(response *http.Response, body []byte) *RejectedError {
	var sent struct{ Message string }
	if json.Unmarshal(body, &sent) != nil || sent.Message == "" {
		sent.Message = response.Status
	}
	return &RejectedError{Status: response.StatusCode, Message: sent.Message}
}
