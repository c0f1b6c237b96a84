package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/coordinationclient"
)

// handlers is an http.RoundTripper that calls the HTTP handlers of a cluster's nodes without connections.
type handlers struct{ cluster *testCluster }

func (h handlers) RoundTrip(r *http.Request) (*http.Response, error) {
	h.cluster.mu.Lock()
	node := h.cluster.nodes[r.URL.Host]
	h.cluster.mu.Unlock()
	if node == nil {
		return nil, errors.New("connection refused")
	}
	answered := make(chan *http.Response, 1)
	go func() {
		w := httptest.NewRecorder()
		node.api.HTTPServer().Handler.ServeHTTP(w, r)
		answered <- w.Result()
	}()
	select {
	case response := <-answered:
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// newClient returns a cluster whose shards have leaseholders, and a client of it.
func newClient(t *testing.T) (*testCluster, *coordinationclient.Client) {
	c := newCoordinationCluster(t)
	advance(3 * time.Second)
	return c, coordinationclient.New(c.seeds, handlers{c})
}

// An election with the client package has one leader at a time, even if the leaseholder of the lock's shard is lost.
// The next leader gets a higher fence.
func TestClientElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, client := newClient(t)
		defer c.stopAll()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		first, err := client.Acquire(ctx, "leader", "a", 3*time.Second)
		c.NoErr(err)
		if _, err := client.Acquire(ctx, "leader", "b", 3*time.Second); !errors.Is(err, coordinationclient.ErrTaken) {
			t.Errorf("a second owner acquires a held lock: got %v", err)
		}
		c.remove(leaseholderOfLockL(c))
		for range 5 {
			advance(500 * time.Millisecond)
			if err := first.Renew(ctx); err != nil || !first.Valid() {
				t.Fatalf("renewal after a loss: %v, %v left", err, first.Remaining())
			}
		}
		advance(first.Remaining()) // the first leader stops renewing
		if first.Valid() {
			t.Error("the lock is valid after its hold has expired")
		}
		advance(200 * time.Millisecond)
		second, err := client.Acquire(ctx, "leader", "b", 3*time.Second)
		c.NoErr(err)
		if second.Fence() <= first.Fence() {
			t.Errorf("fence %d after %d", second.Fence(), first.Fence())
		}
		c.NoErr(second.Release(ctx))
		c.True(!second.Valid())
	})
}

// A watch with the client package delivers every put in order, even if a node is lost meanwhile.
func TestClientWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, client := newClient(t)
		defer c.stopAll()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		revision, err := client.Revision(ctx, "g.")
		c.NoErr(err)
		_, err = client.Put(ctx, "g.a", "v0", nil)
		c.NoErr(err)
		done := errors.New("all seen")
		seen := make(chan error, 1)
		go func() {
			next := 0
			_, err := client.Watch(ctx, "g.", max(revision, 1), func(e coordinationclient.Event) error {
				if next++; e.Value != fmt.Sprint("v", next) {
					return fmt.Errorf("event %d is %+v", next, e)
				}
				if next == 9 {
					return done
				}
				return nil
			})
			seen <- err
		}()
		for n := 1; n < 10; n++ {
			if n == 5 {
				c.remove(c.seeds[0])
			}
			_, err := client.Put(ctx, "g.a", fmt.Sprint("v", n), nil)
			c.NoErr(err)
		}
		if err := <-seen; !errors.Is(err, done) {
			t.Error(err)
		}
	})
}
