package replication

import (
	"context"
	"net"
	"time"
)

// Times of eager connecting. A machine without power does not answer: the first packet of a connection is lost, and the
// kernel repeats it only after a second. A client that has just started, or has just lost its source, therefore opens a
// new connection every eagerInterval while the earlier ones are still pending, and uses the first that is established.
// At such a time both machines may return at any moment, and each tenth of a second delays all requests of an ingress.
// After eagerPeriod the usual backoff applies.
const (
	eagerPeriod   = 3 * time.Second
	eagerInterval = 50 * time.Millisecond
	eagerTimeout  = time.Second // time-out of each of these connections; a congested link may need this long
)

// dialFunc opens a connection.
type dialFunc func(context.Context) (net.Conn, error)

// dialResult is the result of an attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// eagerly returns a dialFunc that dials as dialEagerly does.
func eagerly(dial dialFunc) dialFunc {
	return func(ctx context.Context) (net.Conn, error) { return dialEagerly(ctx, dial) }
}

// dialEagerly opens connections until one is established or the context ends. At most eagerTimeout/eagerInterval+1 of
// them are pending at a time.
func dialEagerly(ctx context.Context, dial dialFunc) (net.Conn, error) {
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	begin := func() {
		limited, stop := context.WithTimeout(attempts, eagerTimeout)
		defer stop()
		conn, err := dial(limited)
		select {
		case results <- dialResult{conn, err}:
		case <-attempts.Done():
			if err == nil {
				conn.Close() // another connection was established first, or the context has ended
			}
		}
	}
	next := time.NewTicker(eagerInterval)
	defer next.Stop()
	go begin()
	for {
		select {
		case r := <-results:
			if r.err == nil {
				return r.conn, nil
			}
		case <-next.C:
			go begin()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
