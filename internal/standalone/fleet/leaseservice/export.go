package leaseservice

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// RoleExport is the role of sending the usage of all ingresses to billing. The lease holder posts the batches that the
// ingresses send to it. An ingress keeps a batch until billing has acknowledged it, and sends the same bytes each time.
const RoleExport = "export"

// FencingTokenHeader is the header with the fencing token, by which billing rejects requests of a former lease holder.
const FencingTokenHeader = "X-Fencing-Token"

const (
	maxBatchBytes    = 2 << 20          // bytes of a compressed batch
	maxResponseBytes = 64 << 10         // bytes that are read of a response from billing
	exportTimeout    = 10 * time.Second // wait of the exporting ingress for the lease holder's response

	// minExportTime is the shortest time limit for an export at the lease holder, in seconds. If more of the lease is
	// left, the limit is the end of the lease. A request that outlasts the lease does no harm, because billing rejects
	// its fencing token once it has seen a newer one.
	minExportTime = 1.0

	// unreachableTimeout is how long a lease holder that cannot reach billing keeps the role. It resigns the role at
	// the next failed request after that, because another ingress may be able to reach billing.
	unreachableTimeout = 4 * time.Second

	maxBillingConns        = 8               // connections to billing at a time
	billingConnIdleTimeout = 5 * time.Second // idle time after which a connection to billing is closed
)

// exportRequest is a request to billing, as the exporting ingress sends it to the lease holder.
type exportRequest struct {
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// exportResponse is the response of billing, or an error of the lease holder, for the exporting ingress.
type exportResponse struct {
	Status int                 `cbor:"1,keyasint"` // HTTP status; 0 if Body is an error text
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// billingClient is the client for requests to billing. It limits the number of connections.
var billingClient = &http.Client{Transport: &http.Transport{
	MaxConnsPerHost: maxBillingConns,
	IdleConnTimeout: billingConnIdleTimeout,
}}

// billingState is the endpoint of billing, and whether a lease holder can reach it.
type billingState struct {
	mu               sync.Mutex // guards endpoint and unreachableSince
	endpoint         string
	unreachableSince time.Time // first of the failed requests in a row; zero if the last request succeeded

	unreachable chan error // receives an error once billing was unreachable for longer than unreachableTimeout
}

func (b *billingState) setEndpoint(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpoint = endpoint
}

func (b *billingState) getEndpoint() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoint
}

// observe records the outcome of a request to billing. Any HTTP response counts as success, whatever its status.
func (b *billingState) observe(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err == nil:
		b.unreachableSince = time.Time{}
	case b.unreachableSince.IsZero():
		b.unreachableSince = time.Now()
	case time.Since(b.unreachableSince) > unreachableTimeout:
		select {
		case b.unreachable <- fmt.Errorf("%w: %w", errBillingUnreachable, err):
		default:
		}
	}
}

// AddExport makes this ingress request RoleExport, and send usage to the endpoint while it holds the lease.
func (s *Service) AddExport(endpoint string) {
	s.billing.setEndpoint(endpoint)
	s.AddRole(RoleExport, "", s.exportWork)
}

// exportWork is the work of RoleExport. It only resigns the role when billing is unreachable; handleExport sends the
// batches as they arrive.
func (s *Service) exportWork(ctx context.Context, _ func() (uint64, bool)) error {
	s.billing.observe(nil)
	select {
	case <-s.billing.unreachable: // discards an error of an earlier lease
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.billing.unreachable:
		return err
	}
}

// ExportTransport is the HTTP transport of an exporter. It sends requests to billing through the holder of RoleExport.
type ExportTransport struct{ Service *Service }

// RoundTrip sends a request to the lease holder, and returns the response of billing.
func (et ExportTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s := et.Service
	body, err := readBatch(r)
	if err != nil {
		return nil, err
	}
	leaseHolder := s.RoleHolder(RoleExport)
	if leaseHolder == "" {
		return nil, errNoLeaseHolder
	}
	data, err := cbor.Marshal(exportRequest{Header: r.Header, Body: body})
	if err != nil {
		return nil, err
	}
	answer, err := s.call(r.Context(), []string{leaseHolder}, topicExport, data, exportTimeout)
	if err != nil {
		return nil, err
	}
	var response exportResponse
	if err := cbor.Unmarshal(answer, &response); err != nil {
		return nil, fmt.Errorf("decode the response of %s to an export: %w", leaseHolder, err)
	}
	if response.Status == 0 {
		return nil, &ExportError{LeaseHolder: leaseHolder, Message: string(response.Body)}
	}
	return &http.Response{
		StatusCode:    response.Status,
		Header:        response.Header,
		Body:          io.NopCloser(bytes.NewReader(response.Body)),
		ContentLength: int64(len(response.Body)),
		Request:       r,
	}, nil
}

// readBatch reads and closes the body of a request, which may have up to maxBatchBytes.
func readBatch(r *http.Request) ([]byte, error) {
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBatchBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read a batch: %w", err)
	}
	if len(body) > maxBatchBytes {
		return nil, fmt.Errorf("%w: over %d bytes", errBatchTooLarge, maxBatchBytes)
	}
	return body, nil
}

// handleExport sends a batch of another ingress to billing, if this ingress holds RoleExport. The request carries the
// fencing token, so that billing rejects it if the lease is lost between the check and the request, for example because
// this process was paused.
func (s *Service) handleExport(m message) {
	var r exportRequest
	if len(m.data) < callIDLength || cbor.Unmarshal(m.data[callIDLength:], &r) != nil {
		return
	}
	s.mu.Lock()
	token, holds := s.leaseHolder.FencingToken(s.now(), RoleExport)
	leaseLeft := s.leaseHolder.ExpiresAt(RoleExport) - s.now()
	s.mu.Unlock()
	endpoint := s.billing.getEndpoint() // the locally configured one, so that other ingresses cannot choose the target
	s.workers.Go(func() {
		if !holds {
			s.respondToExport(m, exportResponse{Body: []byte(errNotLeaseHolder.Error())})
			return
		}
		timeout := time.Duration(max(leaseLeft, minExportTime) * float64(time.Second))
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		response, err := s.postToBilling(ctx, endpoint, r, token)
		if err != nil {
			response = exportResponse{Body: []byte(err.Error())}
		}
		s.respondToExport(m, response)
	})
}

// postToBilling posts a batch under a fencing token.
func (s *Service) postToBilling(
	ctx context.Context, endpoint string, batch exportRequest, token uint64,
) (exportResponse, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(batch.Body))
	if err != nil {
		return exportResponse{}, err
	}
	r.Header = batch.Header
	r.Header.Set(FencingTokenHeader, strconv.FormatUint(token, 10))
	response, err := billingClient.Do(r)
	s.billing.observe(err)
	if err != nil {
		return exportResponse{}, err
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes)) // only the status matters
	return exportResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func (s *Service) respondToExport(request message, response exportResponse) {
	if data, err := cbor.Marshal(response); err == nil {
		s.respond(request, topicExportResponse, data)
	}
}
