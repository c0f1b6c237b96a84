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
	maxBatchBytes = 64 << 20 // maximum size of a batch after decompression, bytes; the rest of a larger one is not read

	digestHeader = "X-Content-SHA256"

	retryAfterSeconds = "2" // Retry-After value of RateLimited
)

// Billing accepts batches of usage records, and counts each batch once. It recognises a batch that is sent again by its
// source and number; such a batch must have the same digest.
type Billing struct {
	httpServer

	mu            sync.Mutex        // guards the fields below
	digests       map[string]string // digests of accepted batches, by source and number
	totals        BillingTotals
	highestToken  uint64 // highest fencing token received so far
	accepted      []AcceptedBatch
	rejected      int            // number of batches with an older or invalid fencing token
	pendingFaults []BillingFault // faults of the next calls, in order
}

// BillingTotals contains the sums over all batches that billing has accepted.
type BillingTotals struct {
	Tally     usage.Tally
	Unmetered usage.Sum // usage that was not recorded per customer
	Repeats   int       // number of batches that were sent again
	Conflicts int       // number of these whose digest differed from that of the first one
}

// AcceptedBatch identifies a batch whose fencing token was accepted.
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
	FailCall                  // does not accept the batch and answers 500
	LoseReply                 // accepts the batch and closes the connection without a response
	NoReply                   // does not accept the batch and never answers
	InvalidReply              // does not accept the batch and answers 200 without an acknowledgement in the body
	RateLimited               // does not accept the batch and answers 429 with Retry-After
)

// Start listens on loopback. It returns a *ListenError if it cannot.
func (b *Billing) Start() error {
	b.digests = map[string]string{}
	b.totals.Tally = usage.Tally{}
	return b.start("billing", &http.Server{Handler: b})
}

// URL returns the URL to which batches are posted.
func (b *Billing) URL() string { return "http://" + b.addr + "/v1/batches" }

// InjectFaults adds faults for the next calls, in order, one fault for each call.
func (b *Billing) InjectFaults(faults ...BillingFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pendingFaults = append(b.pendingFaults, faults...)
}

// Totals returns a copy of the sums over the batches accepted so far.
func (b *Billing) Totals() BillingTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	totals := b.totals
	totals.Tally = usage.Tally{}
	totals.Tally.Merge(b.totals.Tally)
	return totals
}

// Fenced returns the batches whose fencing tokens were accepted, in order of arrival, and the number of batches that
// were rejected because of an older or invalid token. The former include batches that were then rejected because a
// different batch has their number.
func (b *Billing) Fenced() (accepted []AcceptedBatch, rejected int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.accepted), b.rejected
}

// ServeHTTP accepts or rejects a batch, or injects the next pending fault.
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

// readBatch reads the batch of a request and checks its digest. It returns errNotGzip or errNotBatch if it is invalid.
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

// nextFault removes and returns the next pending fault.
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

// injectBillingFault handles a call if the fault prevents the batch from being accepted. It reports whether it handled
// the call.
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

// checkFencingToken reports whether the fencing token of a batch is at least as high as all earlier ones. If so, it
// adds the batch to those that Fenced returns.
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

// record adds a batch to the totals unless it was added before. It returns false if a different batch with the same
// source and number was added before.
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
