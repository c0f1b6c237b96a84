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

// rejectionLogInterval is the least time between two log lines about rejected packets.
const rejectionLogInterval = 10 * time.Second

// rejectionTexts are parts of what memberlist logs of packets and streams that it rejects. It reports them in
// no other way.
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

// protocolLog takes memberlist's log: rejections are counted, the rest is for debugging. It also remembers
// which failures were logged, for those that are retried until they succeed.
type protocolLog struct {
	log      log.Logger
	rejected *atomic.Int64

	mu           sync.Mutex // guards what follows
	lastRejected time.Time  // when a rejection was last logged
	failing      map[failure]bool
}

var _ io.Writer = (*protocolLog)(nil)

// failure is a kind of failure that is retried.
type failure string

const (
	bindFailure failure = "bind"
	joinFailure failure = "join"
)

// Write takes a line of memberlist's log.
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

// fail reports whether a failure is the first one since it was last resolved.
func (pl *protocolLog) fail(kind failure) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.failing == nil {
		pl.failing = map[failure]bool{}
	}
	first := !pl.failing[kind]
	pl.failing[kind] = true
	return first
}

// resolve ends a failure.
func (pl *protocolLog) resolve(kind failure) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	delete(pl.failing, kind)
}
