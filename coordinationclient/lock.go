package coordinationclient

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// Lock is a lock that was acquired for a limited time.
type Lock struct {
	client *Client
	path   string
	owner  string
	hold   time.Duration // time for which an acquisition or a renewal is valid
	fence  uint64

	mu         sync.Mutex // guards validUntil
	validUntil time.Time
}

// lockBody is the body of the requests that acquire, renew and release a lock.
type lockBody struct {
	Owner  string `json:"owner"`
	Fence  uint64 `json:"fence,omitempty"`
	HoldMs int64  `json:"holdMs,omitempty"`
}

// Acquire acquires a lock for the time hold. The owner's name must be unique among all callers. If the owner already
// holds the lock, it acquires the lock again with the same fencing token. The error is ErrTaken if another owner holds
// the lock, and ErrLost if the answer arrived so late that the time hold had passed.
func (c *Client) Acquire(ctx context.Context, name, owner string, hold time.Duration) (*Lock, error) {
	path := "/locks/" + url.PathEscape(name)
	answer, err := c.call(ctx, http.MethodPost, path, lockBody{Owner: owner, HoldMs: hold.Milliseconds()}, 0)
	if err != nil {
		return nil, err
	}
	var body struct {
		Fence uint64 `json:"fence"`
	}
	if err := answer.decode(&body, map[int]error{http.StatusConflict: ErrTaken}); err != nil {
		return nil, err
	}
	l := &Lock{client: c, path: path, owner: owner, hold: hold, fence: body.Fence, validUntil: answer.sentAt.Add(hold)}
	if !l.Valid() {
		return nil, ErrLost // the answer arrived after the time for which the lock was acquired
	}
	return l, nil
}

// Fence returns the fencing token of this lock. It is higher than that of every earlier holder.
func (l *Lock) Fence() uint64 { return l.fence }

// Valid reports whether the caller may regard itself as the holder at this moment.
func (l *Lock) Valid() bool { return l.Remaining() > 0 }

// Remaining returns for how much longer the caller may regard itself as the holder. It is 0 or less if the caller may
// not.
func (l *Lock) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.validUntil)
}

// Renew extends the lock. After ErrLost the caller does not hold it. After any other error the caller holds it for as
// long as Valid reports true.
func (l *Lock) Renew(ctx context.Context) error {
	body := lockBody{Owner: l.owner, Fence: l.fence, HoldMs: l.hold.Milliseconds()}
	answer, err := l.client.call(ctx, http.MethodPut, l.path, body, 0)
	if err != nil {
		return err
	}
	err = answer.decode(&struct{}{}, map[int]error{http.StatusConflict: ErrLost})
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.validUntil = time.Time{}
	case time.Until(l.validUntil) <= 0: // too late, because another owner may have held the lock in the meantime
		return ErrLost
	default:
		l.validUntil = answer.sentAt.Add(l.hold)
	}
	return err
}

// Release releases the lock. After the call, the caller no longer holds the lock, even if Release returns an error.
func (l *Lock) Release(ctx context.Context) error {
	l.mu.Lock()
	l.validUntil = time.Time{}
	l.mu.Unlock()
	answer, err := l.client.call(ctx, http.MethodDelete, l.path, lockBody{Owner: l.owner, Fence: l.fence}, 0)
	if err != nil {
		return err
	}
	return answer.decode(&struct{}{}, nil)
}
