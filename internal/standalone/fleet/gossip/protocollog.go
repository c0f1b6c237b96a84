package gossip

import (
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// rejectionLogInterval is the minimum time between two log lines about rejected packets, so that a foreign sender can't
// flood the log.
const rejectionLogInterval = 10 * time.Second

// rejectionTexts are the parts of memberlist's log lines by which rejected packets and streams are recognized, because
// memberlist reports rejections in no other way.
var rejectionTexts = []string{
	"Decrypt packet failed",
	"unacceptable label",
	"failed to receive",
	"not supported",
	"Failed to decode",
	"missing message type",
	"invalid checksum",
	"truncated messages",
	"Received invalid msgType",
	"double packet label",
	"packet too short",
	"label header",
}

// protocolLog receives memberlist's log. It counts rejections and logs other lines at debug level. It also remembers
// which failures were logged, so that an operation that is retried until it succeeds is logged once.
type protocolLog struct {
	log      log.Logger
	rejected *atomic.Int64

	mu           sync.Mutex // guards the fields below
	lastRejected time.Time  // time of the last log line about a rejection
	failing      map[failure]bool
}

var _ io.Writer = (*protocolLog)(nil)

// failure identifies an operation that failed and is retried.
type failure string

const (
	bindFailure failure = "bind"
	joinFailure failure = "join"
)

// Write handles one line of memberlist's log.
func (pl *protocolLog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if !slices.ContainsFunc(rejectionTexts, func(part string) bool { return strings.Contains(text, part) }) {
		level.Debug(pl.log).Log("msg", "message of the membership protocol's library",
			"code", "fleet-protocol", "text", text,
		)
		return len(b), nil
	}
	count := pl.rejected.Add(1)
	if pl.isRejectionDue() {
		level.Warn(pl.log).Log("msg", "rejected a packet or stream that is not of this fleet",
			"code", "fleet-refused", "count", count, "why", text,
		)
	}
	return len(b), nil
}

func (pl *protocolLog) isRejectionDue() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if time.Since(pl.lastRejected) <= rejectionLogInterval {
		return false
	}
	pl.lastRejected = time.Now()
	return true
}

// recordFailure records a failure, and reports whether it is the first of its kind since clearFailure, so that only
// this one is logged.
func (pl *protocolLog) recordFailure(kind failure) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.failing == nil {
		pl.failing = map[failure]bool{}
	}
	first := !pl.failing[kind]
	pl.failing[kind] = true
	return first
}

// clearFailure records that a failure is over.
func (pl *protocolLog) clearFailure(kind failure) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	delete(pl.failing, kind)
}
