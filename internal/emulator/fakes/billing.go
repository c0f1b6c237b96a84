package fakes

import (
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/usageexport"
)

// Billing takes batches of use, each once: one that comes again is known by its source and number, and must be the
// same to the letter.
type Billing struct {
	server *http.Server
	addr   string

	mu            sync.Mutex
	batches       map[string]string // digest by source and number
	tally         usage.Tally
	unmetered     usage.Sum
	repeats       int
	conflicts     int
	highestToken  uint64 // the highest fencing token that came
	rejected      int    // batches with an older one, which were refused
	unfenced      bool   // a fault: older ones are taken
	accepted      []AcceptedBatch
	pendingFaults []BillingFault // for the next calls, in order
}

// BillingFault is what it does wrong with one call.
type BillingFault int

// The faults.
const (
	NoFault      BillingFault = iota
	FailCall                  // answers 500 and takes nothing
	LoseReply                 // takes the batch, and the answer is lost
	NoReply                   // takes nothing and does not answer
	InvalidReply              // takes nothing and answers 200 with something else
	RateLimited               // takes nothing, answers 429 with Retry-After
)

// Start has it listen.
func (b *Billing) Start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("billing: %w", err)
	}
	b.addr, b.batches, b.tally = l.Addr().String(), map[string]string{}, usage.Tally{}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(l)
	return nil
}

// Addr is where it listens.
func (b *Billing) Addr() string { return b.addr }

// URL is where batches go.
func (b *Billing) URL() string { return "http://" + b.addr + "/v1/batches" }

// Stop ends it, connections and all.
func (b *Billing) Stop() { b.server.Close() }

// InjectFaults has it do wrong with the next calls, in order.
func (b *Billing) InjectFaults(faults ...BillingFault) {
	b.mu.Lock()
	b.pendingFaults = append(b.pendingFaults, faults...)
	b.mu.Unlock()
}

// Billed is what it has taken: the rows of all batches, what was not metered, how many batches came again, and
// how many came again as something else.
func (b *Billing) Billed() (tally usage.Tally, unmetered usage.Sum, repeats, conflicts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tally = usage.Tally{}
	tally.Merge(b.tally)
	return tally, b.unmetered, b.repeats, b.conflicts
}

// ServeHTTP takes a batch.
func (b *Billing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	z, err := gzip.NewReader(r.Body)
	if err != nil {
		http.Error(w, "not gzip", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(z, 64<<20))
	var batch usage.Batch
	if err != nil || json.Unmarshal(body, &batch) != nil || usageexport.Digest(body) != r.Header.Get("X-Content-SHA256") {
		http.Error(w, "not a batch", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	fault := NoFault
	if len(b.pendingFaults) > 0 {
		fault, b.pendingFaults = b.pendingFaults[0], b.pendingFaults[1:]
	}
	b.mu.Unlock()
	switch fault {
	case FailCall:
		http.Error(w, "not now", http.StatusInternalServerError)
		return
	case NoReply:
		<-r.Context().Done()
		return
	case InvalidReply:
		fmt.Fprintln(w, `{"welcome":true}`)
		return
	case RateLimited:
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if word := r.Header.Get(leaseservice.FencingTokenHeader); word != "" && !b.checkFencingToken(word, batch) {
		http.Error(w, "an older holder's", http.StatusPreconditionFailed)
		return
	}
	if !b.record(&batch, usageexport.Digest(body)) {
		http.Error(w, "another batch has this number", http.StatusConflict)
		return
	}
	if fault == LoseReply {
		abortConnection(w, "")
		return
	}
	json.NewEncoder(w).Encode(usage.Ack{Source: batch.Source, Number: batch.Number, Digest: usageexport.Digest(body)})
}

// AcceptedBatch is a batch as it came under a token.
type AcceptedBatch struct {
	Token  uint64
	Source string
	Number uint64
}

// checkFencingToken tells whether a batch's token is as new as any before.
func (b *Billing) checkFencingToken(word string, batch usage.Batch) bool {
	token, err := strconv.ParseUint(word, 10, 64)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || token < b.highestToken && !b.unfenced {
		b.rejected++
		return false
	}
	b.highestToken = max(b.highestToken, token)
	b.accepted = append(b.accepted, AcceptedBatch{token, batch.Source, batch.Number})
	return true
}

// Fenced is what came under tokens, in order, and how many batches were refused for an older one.
func (b *Billing) Fenced() (taken []AcceptedBatch, refused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.accepted), b.rejected
}

// record counts a batch, once. It tells whether it is the one that its number stands for.
func (b *Billing) record(batch *usage.Batch, digest string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := fmt.Sprintf("%s-%d", batch.Source, batch.Number)
	if was, ok := b.batches[key]; ok {
		b.repeats++
		if was != digest {
			b.conflicts++
		}
		return was == digest
	}
	b.batches[key] = digest
	for _, row := range batch.Rows {
		b.tally.Merge(usage.Tally{row.Key: row.Sum})
	}
	b.unmetered = b.unmetered.Add(batch.Unmetered)
	return true
}
