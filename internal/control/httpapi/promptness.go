package httpapi

import (
	"context"
	"net/http"
	"time"

	"mulleinrouter/internal/mutants"
)

// A put that is repeated is recognized only for some time (coordination.Tables). A suspended process keeps the calls
// that arrive meanwhile in its buffers, for any time, and no call says when it was sent. But such a process loses the
// majority lease. So a put is handled only if the lease was held without interruption from the time at which its
// connection began to wait for it: then the put was read at most majority.TTL after it had arrived.

// promptCallTimeout limits the handling of such a call. Its caller repeats it elsewhere after a second.
const promptCallTimeout = time.Second

// backlogSpan is the time after the start of a term of the lease in which connections are accepted that may have been
// waiting for that since before.
const backlogSpan = time.Second

// waitingConn is what is known about a connection that waits for its next call. The calls of a connection are handled
// one after the other, so it needs no mutex.
type waitingConn struct {
	term uint64 // term of the lease in which it began to wait; 0 means that the lease was not held
}

type waitingConnKey struct{}

// withWaitingConn adds the state of a connection that has just been accepted to its context.
func (s *Server) withWaitingConn(ctx context.Context) context.Context {
	conn := &waitingConn{}
	starting := time.Since(s.options.Started) < StartupGrace // no call is older than the process
	if term, span, ok := s.options.Lease.HeldFor(); ok && (span >= backlogSpan || starting) {
		conn.term = term
	}
	return context.WithValue(ctx, waitingConnKey{}, conn)
}

// beginWaiting records that a call is about to be answered, so that its connection waits for the next one.
func (s *Server) beginWaiting(r *http.Request) {
	conn, ok := r.Context().Value(waitingConnKey{}).(*waitingConn)
	if !ok {
		return
	}
	conn.term = 0
	if term, inContact := s.options.Lease.Current(); inContact {
		conn.term = term
	}
}

// isPrompt reports whether a call was read soon after it had arrived. A call that did not come over a connection of
// the HTTP server is.
func (s *Server) isPrompt(r *http.Request) bool {
	conn, ok := r.Context().Value(waitingConnKey{}).(*waitingConn)
	if !ok || mutants.On("httpapi/handles-late-puts") {
		return true
	}
	term, inContact := s.options.Lease.Current()
	started := time.Since(s.options.Started) < StartupGrace
	return inContact && (term == conn.term || started)
}
