package usageexport

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"mulleinrouter/internal/dataplane/usage"
)

const (
	answerTimeout  = 30 * time.Second // for a batch to be sent and answered
	maxAnswerBytes = 64 << 10         // bytes read of an answer; bounds memory if the endpoint sends more
)

// send posts a batch. Headers repeat its source, number and digest, so that the endpoint can identify the batch without
// reading its body. The result is that of Step, except that Sent is not set.
func (e *Exporter) send(ctx context.Context, body []byte) (Result, error) {
	var b usage.Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return Result{Answer: usage.Invalid}, fmt.Errorf("usage: the stored batch: %w", err)
	}
	digest := Digest(body)
	request, err := e.newRequest(ctx, b, body, digest)
	if err != nil {
		return Result{Answer: usage.Invalid}, fmt.Errorf("usage: batch %d: %w", b.Number, err)
	}
	response, err := e.Client.Do(request)
	if err != nil {
		return Result{Answer: usage.Retry}, fmt.Errorf("%w: batch %d: %w", ErrNotAcknowledged, b.Number, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Result{Answer: usage.Retry}, fmt.Errorf("%w: batch %d: %w", ErrNotAcknowledged, b.Number, err)
	}
	if err := e.callTestHook(afterSending); err != nil {
		return Result{Answer: usage.Retry}, err
	}
	var ack usage.Ack
	want := usage.Ack{Source: b.Source, Number: b.Number, Digest: digest}
	echoed := json.Unmarshal(text, &ack) == nil && ack == want
	answer := usage.InterpretStatus(response.StatusCode, echoed)
	if answer == usage.Acknowledged {
		return Result{Answer: answer}, nil
	}
	retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	err = fmt.Errorf("%w: batch %d: status %d, acknowledged %v",
		ErrNotAcknowledged, b.Number, response.StatusCode, echoed)
	return Result{Answer: answer, RetryAfter: max(0, retryAfter)}, err
}

func (e *Exporter) newRequest(ctx context.Context, b usage.Batch, body []byte, digest string) (*http.Request, error) {
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	_, err := z.Write(body)
	if err := errors.Join(err, z.Close()); err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Endpoint, &compressed)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Content-Encoding", "gzip")
	request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", b.Source, b.Number))
	request.Header.Set("X-Content-SHA256", digest)
	return request, nil
}
