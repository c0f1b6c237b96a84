package control

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/control/httpapi"
)

// client is a connection of a server or an operator to the calls of a node.
type client struct {
	net.Conn
	r *bufio.Reader
}

// connect connects to a node's calls, over a pipe.
func (c *core) connect(addr string) *client {
	here, there := net.Pipe()
	c.nodes[addr].control.come <- there
	return &client{here, bufio.NewReader(here)}
}

// call makes a call and returns its status; 0: the connection has ended.
func (x *client) call(method, path, body string) int {
	if _, err := fmt.Fprintf(x, "%s %s HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
		return 0
	}
	return x.answer()
}

func (x *client) answer() int {
	r, err := http.ReadResponse(x.r, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// up tells whether a connection on which nothing is under way is still there.
func (x *client) up() bool {
	_ = x.SetReadDeadline(time.Now())
	_, err := x.r.ReadByte()
	_ = x.SetReadDeadline(time.Time{})
	var late net.Error
	return err != nil && asTimeout(err, &late)
}

func asTimeout(err error, late *net.Error) bool {
	var ok bool
	*late, ok = err.(net.Error)
	return ok && (*late).Timeout()
}

// Three thousand servers keep connections at a node that holds some hundreds. The operator is served in its time all the while, servers
// that leave are too, the idlest connections go and none with a call in hand.
func TestConnectionFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 3)
		pass(2 * time.Second)
		at := c.seeds[0]
		limit := c.nodes[at].connections.Stats().Limit
		c.True(limit < 1000)
		began := time.Now()
		c.Equal(c.connect(at).call("PATCH", "/config", upsert([]string{service("s", 1)}, nil)), 200)

		var servers []*client
		for i := range 3000 {
			x := c.connect(at)
			servers = append(servers, x)
			c.Equal(x.call("PUT", fmt.Sprint("/instances/i-", i), call1("serving", 1)), 200)
			synctest.Wait()
		}
		for version := range 5 {
			operator := c.connect(at)
			servers = append(servers, operator)
			c.Equal(operator.call("PATCH", "/config", upsert([]string{service("s", 2+version)}, nil)), 200)
			synctest.Wait()
		}
		for i := range 300 {
			x := c.connect(at)
			servers = append(servers, x)
			if i%2 == 0 {
				c.Equal(x.call("PUT", fmt.Sprint("/instances/i-", i), call1("draining", 2)), 200)
			} else {
				c.Equal(x.call("DELETE", fmt.Sprint("/instances/i-", i), ""), 200)
			}
			synctest.Wait()
		}
		c.True(time.Since(began) < time.Second)
		synctest.Wait()
		stats := c.nodes[at].connections.Stats()
		open := stats.Total() - stats.Internal
		c.True(open > limit/2)
		for i, x := range servers {
			c.Equal(x.up(), i >= len(servers)-open)
		}

		// Servers wait for the disks while a thousand more come: none that waits is closed.
		for _, a := range c.seeds {
			c.nodes[a].hang.set(true)
		}
		var waiting sync.WaitGroup
		answers := make(chan int, 200)
		for i := range cap(answers) {
			x := c.connect(at)
			waiting.Go(func() { answers <- x.call("PUT", fmt.Sprint("/instances/i-", 1000+i), call1("draining", 2)) })
		}
		synctest.Wait()
		c.Equal(c.nodes[at].connections.Stats().InFlight, cap(answers))
		for range 1000 {
			c.connect(at)
		}
		for _, a := range c.seeds {
			c.nodes[a].hang.set(false)
		}
		waiting.Wait()
		for range cap(answers) {
			c.Equal(<-answers, 200)
		}
		pass(6 * time.Second) // what is idle goes by itself
		stats = c.nodes[at].connections.Stats()
		c.Equal(stats.Total(), stats.Internal)

		// Calls whose bodies do not come take all that they may have. A server that leaves and an operator are served all the same, and what
		// does not come is given up after a second.
		began = time.Now()
		for i := range 3000 {
			x := c.connect(at)
			go fmt.Fprintf(x, "PUT /instances/i-%d HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\n", i)
			synctest.Wait()
		}
		late := c.connect(at)
		_, err := fmt.Fprint(late, "PUT /instances/i-3000 HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\n")
		c.NoErr(err)
		c.Equal(late.answer(), 503) // at once, though its body does not come
		c.True(time.Since(began) < httpapi.PromptBodyTimeout)
		c.Equal(c.connect(at).call("PATCH", "/config", upsert([]string{service("s", 10)}, nil)), 200)
		pass(httpapi.PromptBodyTimeout)
		c.Equal(c.connect(at).call("PUT", "/instances/i-2500", call1("draining", 3)), 200)
		c.Equal(c.connect(at).call("DELETE", "/instances/i-2501", ""), 200)
		c.True(time.Since(began) < time.Second)
		pass(httpapi.HeartbeatBodyTimeout)
		c.Equal(c.nodes[at].connections.Stats().InFlight, 0)
		c.True(!late.up())
		c.end()
	})
}
