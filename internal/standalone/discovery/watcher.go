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
	dialTimeout    = time.Second
	silenceTimeout = 3 * time.Second // an empty line comes every 2 s: without one the watch is dead

	// silentSpread is over how many seconds a fleet whose watches fell silent together opens them again. A change that
	// a silent watch misses counts as received 6 s after the watch fell silent, and 3 s have passed by then.
	silentSpread = 2.0

	maxListBytes = 4 << 20

	rngStream = 2 // of the watcher's random numbers, beside those of other users of the seed
)

// Watcher keeps a directory up to date with discovery, and passes each update on.
type Watcher struct {
	Addr      string // host:port of discovery
	Directory *Directory
	OnUpdate  func(decision.Backends) // called from the goroutine of Run, and of RestoreList
	Log       log.Logger
	FleetSize int    // ingresses that ask the same discovery: they must not ask in step
	Seed      uint64 // of random delays

	// Rank returns this ingress's rank among the live ones, from 0, and how many there are; nil: it is unknown, and
	// random delays alone keep ingresses apart.
	Rank func() (rank, live int)

	replyTimeout time.Duration // for a response to begin, and for the complete list; 0: silenceTimeout
	watchTimeout time.Duration // for the next line of the watch; 0: silenceTimeout
	rev          int64         // of the last list
	hasList      bool          // there is a list of this address to go on from
	backoff      *backoff.Window
	dial         func(ctx context.Context, network, addr string) (net.Conn, error) // nil: TCP

	mu       sync.Mutex // guards the fields below
	nextAddr string     // address of the next connection; empty: Addr
	leave    func()     // ends the connection in use; nil: there is none
}

// SetAddress has the list followed at another address from now on. The last list stays until that address sends its
// own.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAddr = addr
	if w.leave != nil {
		w.leave()
	}
}

// begin sets the address of the next connection. The context that it returns ends with a change of the address.
func (w *Watcher) begin(ctx context.Context) (connCtx context.Context, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddr != "" && w.nextAddr != w.Addr {
		w.Addr, w.hasList = w.nextAddr, false // its revisions may be others
	}
	w.nextAddr = ""
	connCtx, w.leave = context.WithCancel(ctx)
	return connCtx, w.leave
}

// RestoreList applies the list that the ingress last had, before Run. If it names any server, only changes since
// then are asked for: a complete list costs discovery several times as much, and after a release most of a fleet
// would ask for one at once.
func (w *Watcher) RestoreList(l *List) {
	w.rev, w.hasList = l.Rev, len(l.Targets) > 0
	update := w.Directory.apply(l)
	update.Complete = true
	w.OnUpdate(update)
}

// Run follows the list until the context ends. While discovery is silent the last list stays.
func (w *Watcher) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.Seed, rngStream))
	w.backoff = backoff.New(w.FleetSize)
	// The first connection is opened at once. With a list from before, a server that drains meanwhile counts as known
	// to be draining, and must not be sent new requests (the drain rule, over a fleet of 300: roll, herd and join).
	for ctx.Err() == nil {
		w.runConnection(ctx, rng)
	}
}

// runConnection follows the list over one connection, and waits until the next one is due.
func (w *Watcher) runConnection(ctx context.Context, rng *rand.Rand) {
	connCtx, end := w.begin(ctx)
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
	sleep(connCtx, wait) // not at all if the address has changed
}

// reconnectDelay is the time until the next connection, after one that ended with an error.
func (w *Watcher) reconnectDelay(code string, err error, rng *rand.Rand) decision.Seconds {
	if code == codeSilent {
		// A watch that fell silent is opened again while its changes may still be late. A call that timed out has
		// waited long enough, and has lost its place in discovery's queue.
		if errors.Is(err, errWatchSilent) {
			return rng.Float64() * min(w.backoff.Length(), silentSpread)
		}
		w.backoff.Failed(1)
		return 0
	}
	fraction := rng.Float64()
	if w.Rank != nil { // one ingress after another over the window, whatever the others draw
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
