package counterclient

import (
	"context"
	"hash/fnv"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/decision"
)

const (
	pipelineCount = 4                      // connections in use; the counter resets those beyond 32 from one IP address
	checkInterval = 500 * time.Millisecond // between checks for idle and silent connections
)

// ReplyFunc receives the outcome of a call, and the total of its name if the call succeeded.
type ReplyFunc func(name string, outcome decision.Outcome, total float64)

// Client calls the counter at one address at a time.
type Client struct {
	timeout   time.Duration
	onReply   ReplyFunc
	log       log.Logger
	pipelines []*pipeline

	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // checkPipelines, and each pipeline's run and serve; Close waits for them

	mu      sync.Mutex    // guards the fields below
	addr    string        // host:port
	changed chan struct{} // closed when addr is replaced
}

// New returns a client whose calls time out after timeout. It calls onReply exactly once for each call.
func New(addr string, timeout time.Duration, onReply ReplyFunc, logger log.Logger) *Client {
	c := newClient(addr, timeout, onReply, logger, pipelineCount)
	for _, p := range c.pipelines {
		c.goroutines.Go(p.run)
	}
	c.goroutines.Go(c.checkPipelines)
	return c
}

// newClient returns a client without running its pipelines and checkPipelines.
func newClient(addr string, timeout time.Duration, onReply ReplyFunc, logger log.Logger, pipelines int) *Client {
	c := &Client{
		addr:    addr,
		changed: make(chan struct{}),
		timeout: timeout,
		onReply: onReply,
		log:     logger,
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for range pipelines {
		c.pipelines = append(c.pipelines, &pipeline{client: c})
	}
	return c
}

// SetAddress changes the address of the counter. Each pipeline sends new calls there once its new connection is open.
// Replies to calls in flight are still awaited on the old connection.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		close(c.changed)
		c.addr, c.changed = addr, make(chan struct{})
	}
}

// address returns the present address and a channel that is closed when it changes.
func (c *Client) address() (addr string, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.changed
}

// checkPipelines checks the connections of all pipelines until the client is closed.
func (c *Client) checkPipelines() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-ticker.C:
			for _, p := range c.pipelines {
				p.check(now)
			}
		}
	}
}

// Close ends the connections and the goroutines of the client, and waits for them. Before it returns, calls in flight
// are reported as reset, because the counter may have added them. It must not be called from onReply.
func (c *Client) Close() {
	c.cancel()
	for _, p := range c.pipelines {
		p.close()
	}
	c.goroutines.Wait()
}

// Add adds an amount to a name, and returns without waiting for the reply. The counter keeps a new name for keep
// seconds.
func (c *Client) Add(name string, amount float64, keep decision.Seconds) {
	h := fnv.New32a()
	io.WriteString(h, name)
	c.pipelines[h.Sum32()%uint32(len(c.pipelines))].add(name, amount, keep)
}
