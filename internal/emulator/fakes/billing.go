package fakes

import (
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/usageexport"
)

const (
	maxBatchBytes = 64 << 20 // of a batch after decompression

	digestHeader = "X-Content-SHA256"

	retryAfterSeconds = "2" // of RateLimited
)

// Billing accepts batches of usage records, each once. A batch that is sent again is recognised by its source and
// number, and must have the same digest.
type Billing struct {
	httpServer

	mu            sync.Mutex        // guards the fields below
	digests       map[string]string // by source and number of the batch
	totals        BillingTotals
	highestToken  uint64 // of the fencing tokens received so far
	accepted      []AcceptedBatch
	rejected      int            // batches under an older fencing token
	pendingFaults []BillingFault // for the next calls, in order
}

// BillingTotals are the sums over all batches that billing has accepted.
type BillingTotals struct {
	Tally     usage.Tally
	Unmetered usage.Sum // used without a record of whose use it was
	Repeats   int       // batches that were sent again
	Conflicts int       // of these, how many had another digest than at first
}

// AcceptedBatch is a batch that was accepted under a fencing token.
type AcceptedBatch struct {
	Token  uint64
	Source string
	Number uint64
}

// BillingFault is a fault that Billing injects into one call.
type BillingFault int

// The faults of a call.
const (
	NoFault      BillingFault = iota
	FailCall                  // answers 500 and does not accept the batch
	LoseReply                 // accepts the batch, and closes the connection without a response
	NoReply                   // does not accept the batch and never answers
	InvalidReply              // does not accept the batch and answers 200 with another body
	RateLimited               // does not accept the batch and answers 429 with Retry-After
)

// Start listens on loopback. It returns a *ListenError.
func (b *Billing) Start() error {
	b.digests = map[string]string{}
	b.totals.Tally = usage.Tally{}
	return b.start("billing", &http.Server{Handler: b})
}

// URL is where batches are posted.
func (b *Billing) URL() string { return "http://" + b.addr + "/v1/batches" }

// InjectFaults adds faults for the next calls, one each, in order.
func (b *Billing) InjectFaults(faults ...BillingFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pendingFaults = append(b.pendingFaults, faults...)
}

// Totals returns the sums over the batches accepted so far.
func (b *Billing) Totals() BillingTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	totals := b.totals
	totals.Tally = usage.Tally{}
	totals.Tally.Merge(b.totals.Tally)
	return totals
}

// Fenced returns the batches accepted under fencing tokens, in order of arrival, and how many were rejected because
// they came under an older token.
func (b *Billing) Fenced() (accepted []AcceptedBatch, rejected int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.accepted), b.rejected
}

// ServeHTTP accepts or rejects a batch.
func (b *Billing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	batch, digest, err := readBatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault := b.nextFault()
	if injectBillingFault(w, r, fault) {
		return
	}
	token := r.Header.Get(leaseservice.FencingTokenHeader)
	if token != "" && !b.checkFencingToken(token, batch) {
		http.Error(w, "an older holder's", http.StatusPreconditionFailed)
		return
	}
	if !b.record(batch, digest) {
		http.Error(w, "another batch has this number", http.StatusConflict)
		return
	}
	if fault == LoseReply {
		abortConnection(w, "")
		return
	}
	json.NewEncoder(w).Encode(usage.Ack{Source: batch.Source, Number: batch.Number, Digest: digest})
}

// readBatch reads the batch of a request and checks its digest. Its errors are errNotGzip and errNotBatch.
func readBatch(r *http.Request) (batch *usage.Batch, digest string, err error) {
	uncompressed, err := gzip.NewReader(r.Body)
	if err != nil {
		return nil, "", errNotGzip
	}
	body, err := io.ReadAll(io.LimitReader(uncompressed, maxBatchBytes))
	if err != nil {
		return nil, "", errNotBatch
	}
	batch = &usage.Batch{}
	if json.Unmarshal(body, batch) != nil {
		return nil, "", errNotBatch
	}
	digest = usageexport.Digest(body)
	if digest != r.Header.Get(digestHeader) {
		return nil, "", errNotBatch
	}
	return batch, digest, nil
}

// nextFault takes the next pending fault.
func (b *Billing) nextFault() BillingFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pendingFaults) == 0 {
		return NoFault
	}
	fault := b.pendingFaults[0]
	b.pendingFaults = b.pendingFaults[1:]
	return fault
}

// injectBillingFault answers a call in place of billing, if the fault is one that keeps the batch from being
// accepted.
func injectBillingFault(w http.ResponseWriter, r *http.Request, fault BillingFault) (answered bool) {
	switch fault {
	case FailCall:
		http.Error(w, "not now", http.StatusInternalServerError)
	case NoReply:
		<-r.Context().Done()
	case InvalidReply:
		fmt.Fprintln(w, `{"welcome":true}`)
	case RateLimited:
		w.Header().Set("Retry-After", retryAfterSeconds)
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		return false
	}
	return true
}

// checkFencingToken reports whether a batch's fencing token is at least as new as all before it, and notes the batch
// if so.
func (b *Billing) checkFencingToken(header string, batch *usage.Batch) bool {
	token, err := strconv.ParseUint(header, 10, 64)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || token < b.highestToken {
		b.rejected++
		return false
	}
	b.highestToken = token
	b.accepted = append(b.accepted, AcceptedBatch{Token: token, Source: batch.Source, Number: batch.Number})
	return true
}

// record adds a batch to the totals unless it was added before. It reports whether no other batch has its source and
// number.
func (b *Billing) record(batch *usage.Batch, digest string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := fmt.Sprintf("%s-%d", batch.Source, batch.Number)
	if recorded, ok := b.digests[key]; ok {
		b.totals.Repeats++
		if recorded != digest {
			b.totals.Conflicts++
		}
		return recorded == digest
	}
	b.digests[key] = digest
	for _, row := range batch.Rows {
		b.totals.Tally.Merge(usage.Tally{row.Key: row.Sum})
	}
	b.totals.Unmetered = b.totals.Unmetered.Add(batch.Unmetered)
	return true
}
