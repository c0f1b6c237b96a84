package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/backoff"
	"mulleinrouter/internal/decision"
)

const (
	dialTimeout    = time.Second     // for one attempt to connect
	silenceTimeout = 3 * time.Second // discovery sends an empty line every 2 s; without it the watch has failed

	// silentReconnectWindow is the time, in seconds, over which a fleet whose watches fell silent together reopens
	// them. It is short because an ingress is expected to know a change that a silent watch misses 6 s after the watch
	// fell silent, of which silenceTimeout takes 3 s.
	silentReconnectWindow = 2.0

	maxListBytes = 4 << 20 // bytes of a list or a line of the watch; bounds the memory of the ingress

	rngStream = 2 // separates the watcher's random numbers from those of other users of the seed
)

// Watcher keeps a directory up to date with discovery, and passes each update to OnUpdate.
type Watcher struct {
	Addr      string // host:port of discovery
	Directory *Directory
	OnUpdate  func(decision.Backends) // called by Run and RestoreList, in their goroutines
	Log       log.Logger
	FleetSize int    // ingresses that use the same discovery; their calls must be spread over time
	Seed      uint64 // seed of the random delays

	// Rank returns this ingress's rank among the live ones, from 0, and how many there are. If it is nil, the rank is
	// unknown, and only random delays spread the calls of the ingresses.
	Rank func() (rank, live int)

	replyTimeout time.Duration // for the head of a response and for the complete list, see get; 0 means silenceTimeout
	watchTimeout time.Duration // for the next line of the watch; 0 means silenceTimeout
	rev          int64         // revision of the last list
	hasList      bool          // rev is a revision of the present address, from which a watch can continue
	backoff      *backoff.Window
	dial         func(ctx context.Context, network, addr string) (net.Conn, error) // nil means TCP

	mu         sync.Mutex // guards the fields below
	nextAddr   string     // address of the next connection; empty means Addr
	cancelConn func()     // ends the connection in use; nil before the first connection
}

// SetAddress changes the address of discovery and ends the connection to the old one. The last list stays in use until
// the new address sends its list.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAddr = addr
	if w.cancelConn != nil {
		w.cancelConn()
	}
}

// beginConnection sets Addr to the address of the next connection. It returns a context that SetAddress cancels, and a
// function that cancels it.
func (w *Watcher) beginConnection(ctx context.Context) (connCtx context.Context, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddr != "" && w.nextAddr != w.Addr {
		w.Addr, w.hasList = w.nextAddr, false // revisions of another address may differ
	}
	w.nextAddr = ""
	connCtx, w.cancelConn = context.WithCancel(ctx)
	return connCtx, w.cancelConn
}

// RestoreList applies the list that the ingress had last. It must be called before Run. If the list has any target, Run
// asks only for the changes since then. A complete list costs discovery several times as much, and after a release
// most of a fleet would ask for one at the same time.
func (w *Watcher) RestoreList(l *List) {
	w.rev, w.hasList = l.Rev, len(l.Targets) > 0
	update := w.Directory.apply(l)
	update.Complete = true
	w.OnUpdate(update)
}

// Run follows the list until the context ends. While discovery is silent, the last list stays in use.
func (w *Watcher) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.Seed, rngStream))
	w.backoff = backoff.New(w.FleetSize)
	// The first connection is opened without a delay. If a server begins to drain meanwhile, the ingress is expected to
	// know it, and must not send it new requests, even if it still uses a restored list (checked with a fleet of 300 in
	// the test runs "roll", "herd" and "join").
	for ctx.Err() == nil {
		w.runConnection(ctx, rng)
	}
}

// runConnection follows the list over one connection, and then waits for the delay before the next one.
func (w *Watcher) runConnection(ctx context.Context, rng *rand.Rand) {
	connCtx, end := w.beginConnection(ctx)
	defer end()
	err := w.follow(connCtx)
	if ctx.Err() != nil {
		return
	}
	code := logCode(err)
	if connCtx.Err() != nil {
		code = "discovery-moved"
	}
	wait := w.reconnectDelay(code, err, rng)
	level.Info(w.Log).Log("msg", "discovery connection ended", "code", code, "rev", w.rev, "wait", wait, "error", err)
	sleep(connCtx, wait) // returns at once if the address has changed
}

// reconnectDelay returns the delay before the next connection, after one that ended with an error.
func (w *Watcher) reconnectDelay(code string, err error, rng *rand.Rand) decision.Seconds {
	if code == codeSilent {
		// A watch that fell silent is reopened soon, before the ingress is expected to know the changes that it missed.
		// A call that timed out is repeated at once, because it has already waited for the backoff time (see get) and
		// has lost its position in discovery's queue. A connect that timed out is also repeated at once, although it
		// has waited only for dialTimeout.
		if errors.Is(err, errWatchSilent) {
			return rng.Float64() * min(w.backoff.Length(), silentReconnectWindow)
		}
		w.backoff.Failed(1)
		return 0
	}
	fraction := rng.Float64()
	if w.Rank != nil { // each ingress has its own part of the window, whatever random numbers the others get
		rank, live := w.Rank()
		w.backoff.Resize(live)
		fraction = (float64(rank) + fraction) / float64(live)
	}
	return w.backoff.Failed(fraction)
}

// sleep waits for some seconds, or until the context ends.
func sleep(ctx context.Context, wait decision.Seconds) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(wait * float64(time.Second))):
	}
}
