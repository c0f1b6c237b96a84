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

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/control/httpapi"
)

// httpConn is a connection of a server or an operator to a node.
type httpConn struct {
	net.Conn
	reader *bufio.Reader
}

// connect connects to the HTTP listener of a node over a pipe.
func (c *testCluster) connect(addr string) *httpConn {
	here, there := net.Pipe()
	c.nodes[addr].control.conns <- there
	return &httpConn{here, bufio.NewReader(here)}
}

// call makes a call and returns its status, or 0 if the connection has ended.
func (c *httpConn) call(method, path, body string) int {
	const request = "%s %s HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n%s"
	if _, err := fmt.Fprintf(c, request, method, path, len(body), body); err != nil {
		return 0
	}
	return c.readStatus()
}

func (c *httpConn) readStatus() int {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// isOpen reports whether a connection without a call in flight is still open.
func (c *httpConn) isOpen() bool {
	_ = c.SetReadDeadline(time.Now())
	_, err := c.reader.ReadByte()
	_ = c.SetReadDeadline(time.Time{})
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Three thousand servers keep connections open to a node whose limit is some hundreds. Meanwhile, operators and
// departing servers are served in time. The node evicts the connections that have been idle longest, and none with a
// call in flight.
func TestConnectionFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		advance(2 * time.Second)
		node := c.seeds[0]
		limit := c.nodes[node].connections.Stats().Limit
		c.True(limit < 1000)
		began := time.Now()
		c.Equal(c.connect(node).call("PATCH", "/config", patchBody([]string{serviceJSON("s", 1)}, nil)), 200)

		var servers []*httpConn
		for i := range 3000 {
			x := c.connect(node)
			servers = append(servers, x)
			c.Equal(x.call("PUT", fmt.Sprint("/instances/i-", i), heartbeatJSON("serving", 1)), 200)
			synctest.Wait()
		}
		for version := range 5 {
			operator := c.connect(node)
			servers = append(servers, operator)
			c.Equal(operator.call("PATCH", "/config", patchBody([]string{serviceJSON("s", 2+version)}, nil)), 200)
			synctest.Wait()
		}
		for i := range 300 {
			x := c.connect(node)
			servers = append(servers, x)
			if i%2 == 0 {
				c.Equal(x.call("PUT", fmt.Sprint("/instances/i-", i), heartbeatJSON("draining", 2)), 200)
			} else {
				c.Equal(x.call("DELETE", fmt.Sprint("/instances/i-", i), ""), 200)
			}
			synctest.Wait()
		}
		c.True(time.Since(began) < time.Second)
		synctest.Wait()
		stats := c.nodes[node].connections.Stats()
		open := stats.Total() - stats.Internal
		c.True(open > limit/2)
		for i, x := range servers {
			c.Equal(x.isOpen(), i >= len(servers)-open)
		}

		// Calls of servers wait for the disks while a thousand more servers connect. No connection with a waiting call
		// is closed.
		for _, a := range c.seeds {
			c.nodes[a].stallingDisk.setStalled(true)
		}
		var waiting sync.WaitGroup
		answers := make(chan int, 200)
		for i := range cap(answers) {
			x := c.connect(node)
			waiting.Go(func() {
				answers <- x.call("PUT", fmt.Sprint("/instances/i-", 1000+i), heartbeatJSON("draining", 2))
			})
		}
		synctest.Wait()
		c.Equal(c.nodes[node].connections.Stats().InFlight, cap(answers))
		for range 1000 {
			c.connect(node)
		}
		for _, a := range c.seeds {
			c.nodes[a].stallingDisk.setStalled(false)
		}
		waiting.Wait()
		for range cap(answers) {
			c.Equal(<-answers, 200)
		}
		advance(6 * time.Second) // idle connections are closed
		stats = c.nodes[node].connections.Stats()
		c.Equal(stats.Total(), stats.Internal)

		// Calls whose bodies do not arrive occupy all slots that are open to them. A departing server and an operator
		// are served nevertheless, and calls without bodies are ended after a second.
		began = time.Now()
		for i := range 3000 {
			x := c.connect(node)
			go fmt.Fprintf(x, "PUT /instances/i-%d HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\n", i)
			synctest.Wait()
		}
		lateServer := c.connect(node)
		_, err := fmt.Fprint(lateServer, "PUT /instances/i-3000 HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\n")
		c.NoErr(err)
		c.Equal(lateServer.readStatus(), 503) // at once, although its body has not arrived
		c.True(time.Since(began) < httpapi.PromptBodyTimeout)
		c.Equal(c.connect(node).call("PATCH", "/config", patchBody([]string{serviceJSON("s", 10)}, nil)), 200)
		advance(httpapi.PromptBodyTimeout)
		c.Equal(c.connect(node).call("PUT", "/instances/i-2500", heartbeatJSON("draining", 3)), 200)
		c.Equal(c.connect(node).call("DELETE", "/instances/i-2501", ""), 200)
		c.True(time.Since(began) < time.Second)
		advance(httpapi.HeartbeatBodyTimeout)
		c.Equal(c.nodes[node].connections.Stats().InFlight, 0)
		c.True(!lateServer.isOpen())
		c.stopAll()
	})
}
