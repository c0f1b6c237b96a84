package usageexport

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.etcd.io/bbolt"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usagesegment"
)

// pollInterval is the time between two checks of Run for closed segments.
const pollInterval = 2 * time.Second

// Exporter sends the usage of one folder. Set the fields before Open.
type Exporter struct {
	Dir       string
	Endpoint  string        // URL of the billing endpoint
	Retention time.Duration // how long acknowledged segments are kept after their last write
	Client    *http.Client  // if nil, Open sets a client with the timeout answerTimeout
	Log       log.Logger

	db       *bbolt.DB
	source   string                  // name of the folder's records
	rng      *rand.Rand              // for random delays of retries
	testHook func(p hookPoint) error // set by tests; its error makes the exporter fail as if killed
}

// hookPoint is a point of the export at which a test may kill the exporter.
type hookPoint string

const (
	whileStoringBatch            hookPoint = "while storing the batch"
	beforeSending                hookPoint = "before sending"
	afterSending                 hookPoint = "after sending"
	beforeStoringAcknowledgement hookPoint = "before storing the acknowledgement"
	whileStoringAcknowledgement  hookPoint = "while storing the acknowledgement"
)

func (e *Exporter) callTestHook(p hookPoint) error {
	if e.testHook == nil {
		return nil
	}
	return e.testHook(p)
}

// Open opens and locks the store. The error is ErrLocked, ErrOtherSource or one of the file system.
func (e *Exporter) Open() error {
	if _, err := os.Stat(e.Dir); err != nil {
		return fmt.Errorf("usage: %w", err)
	}
	var err error
	if e.source, err = usagesegment.Source(e.Dir); err != nil {
		return fmt.Errorf("usage: %w", err)
	}
	if e.db, err = openStore(e.Dir, e.source); err != nil {
		return err
	}
	if e.Client == nil {
		e.Client = &http.Client{Timeout: answerTimeout}
	}
	e.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return nil
}

// Close closes the store.
func (e *Exporter) Close() error { return e.db.Close() }

// Run exports until the context ends.
func (e *Exporter) Run(ctx context.Context) {
	failures, code := 0, "" // consecutive failures, and the log code of the last one that was logged
	for ctx.Err() == nil {
		wait := pollInterval
		result, err := e.Step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			failures++
			delay := usage.RetryDelay(failures, result.Answer, result.RetryAfter, e.rng)
			wait = time.Duration(delay * float64(time.Second))
			if current := failureCode(result.Answer); current != code {
				code = current
				level.Error(e.Log).Log("msg", "a batch of usage was not acknowledged; it is retried",
					"code", code, "wait", wait.String(), "error", err,
				)
			}
		case result.Sent:
			if failures > 0 {
				level.Info(e.Log).Log("msg", "batches of usage are acknowledged again",
					"code", "usage-export-resumed", "tries", failures,
				)
			}
			failures = 0
			code = ""
			wait = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// failureCode returns the log code for a batch that was not acknowledged.
func failureCode(a usage.Reply) string {
	switch a {
	case usage.Conflict:
		return "usage-export-conflict"
	case usage.Invalid:
		return "usage-export-rejected"
	default:
		return "usage-export-failed"
	}
}

// Result is the outcome of a step.
type Result struct {
	Sent       bool        // a batch was sent and acknowledged; false without an error means that none is left
	Answer     usage.Reply // what the endpoint's response means for the batch; Retry if there was no response
	RetryAfter float64     // delay that the endpoint asked for, in seconds; 0 if it asked for none
}

// Step sends the stored batch, or makes the next one and sends it. The error is ErrNotAcknowledged for a batch that
// was not acknowledged, or one of the store or the segments.
func (e *Exporter) Step(ctx context.Context) (Result, error) {
	failed := Result{Answer: usage.Retry}
	body, err := e.pendingBody()
	if err != nil || body == nil {
		return failed, err
	}
	if err := e.callTestHook(beforeSending); err != nil {
		return failed, err
	}
	if result, err := e.send(ctx, body); err != nil {
		return result, err
	}
	if err := e.callTestHook(beforeStoringAcknowledgement); err != nil {
		return failed, err
	}
	if err := e.storeAcknowledgement(body); err != nil {
		return failed, err
	}
	e.removeExported()
	return Result{Sent: true, Answer: usage.Acknowledged}, nil
}

// removeExported removes the acknowledged segments whose Retention has passed. Segments that can't be removed are
// retried after the next batch.
func (e *Exporter) removeExported() {
	body, c, err := e.loadState()
	if err != nil || body != nil {
		return
	}
	segments, err := usagesegment.List(e.Dir)
	if err != nil {
		return
	}
	for _, s := range segments {
		info, err := os.Stat(s.Path)
		if err == nil && !s.Open && s.Number <= c.Segment && time.Since(info.ModTime()) > e.Retention {
			os.Remove(s.Path)
		}
	}
}
